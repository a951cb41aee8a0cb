//! Data halls whose servers are to get nothing.

use crate::Position;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The halls that are evacuated, as of one position of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Where these were the evacuated halls; none while nothing is known.
    pub position: Position,
    /// Names of the halls, as published.
    pub halls: BTreeSet<String>,
    /// Halls of which the publisher, back from an older copy, says something else than was known before: true where the hall
    /// was evacuated. That holds until the operator has written again, and is given up after a while.
    pub held: BTreeMap<String, bool>,
}

impl Evacuations {
    /// These halls and no others, as published.
    #[must_use]
    pub fn new(position: Position, halls: BTreeSet<String>) -> Self {
        Self { position, halls, held: BTreeMap::new() }
    }

    /// True while a hall is evacuated.
    #[must_use]
    pub fn evacuates(&self, hall: &str) -> bool {
        self.held.get(hall).copied().unwrap_or_else(|| self.halls.contains(hall))
    }

    /// All evacuated halls.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<String> {
        let held = self.held.iter().filter(|(_, evacuated)| **evacuated).map(|(hall, _)| hall);
        held.chain(&self.halls).filter(|hall| self.evacuates(hall)).cloned().collect()
    }

    /// Takes what is known of a later position, or held besides at the same. True when other halls are evacuated now.
    pub fn take(&mut self, newer: Self) -> bool {
        if newer.position < self.position {
            return false;
        }
        let before = self.evacuated();
        let later_era = newer.position.restored_since(self.position);
        if later_era {
            let differ = before.symmetric_difference(&newer.halls);
            self.held = differ.map(|hall| (hall.clone(), before.contains(hall))).collect();
        }
        if newer.position > self.position {
            // A hall that was given back and is published at a later position may have been evacuated anew: rather nothing for it.
            self.held.retain(|hall, evacuated| *evacuated || !newer.halls.contains(hall) || later_era);
            self.position = newer.position;
            self.halls = newer.halls;
        }
        for (hall, evacuated) in newer.held {
            // Where two boxes knew different things, one knew less: rather nothing for a hall than too much.
            *self.held.entry(hall).or_default() |= evacuated;
        }
        self.evacuated() != before
    }

    /// Takes which evacuations began (true) or ended up to a later position of the same era. True when other halls are
    /// evacuated now.
    pub fn change(&mut self, changes: Vec<(String, bool)>, position: Position) -> bool {
        if position <= self.position {
            return false;
        }
        let before = self.evacuated();
        self.position = position;
        for (hall, lasts) in changes {
            // The operator has written again.
            self.held.remove(&hall);
            if lasts {
                self.halls.insert(hall);
            } else {
                self.halls.remove(&hall);
            }
        }
        self.evacuated() != before
    }

    /// Gives up what was held. True when other halls are evacuated now.
    pub fn release(&mut self) -> bool {
        let before = self.evacuated();
        self.held.clear();
        self.evacuated() != before
    }
}
