//! Evacuated data halls, whose servers get no requests.

use crate::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated halls as of one position of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Position at which these halls were evacuated; [`Position::NONE`] while nothing is known.
    pub position: Position,
    /// Names of the evacuated halls, as published.
    pub halls: BTreeSet<String>,
    /// Halls that were evacuated before the publisher was restored from an older backup that doesn't list
    /// them. They remain evacuated until the operator writes again, or for a limited time.
    pub held: BTreeSet<String>,
    /// Halls whose state the operator has written in this era. The written state applies, and they are never
    /// in `held`.
    pub written: BTreeSet<String>,
}

impl Evacuations {
    /// Creates the set of evacuated halls as published.
    #[must_use]
    pub fn new(position: Position, halls: BTreeSet<String>) -> Self {
        Self { position, halls, ..Self::default() }
    }

    /// Returns true if a hall is evacuated, either as published or as known from before a restore. After a
    /// restore, the published state alone doesn't distinguish an evacuation that ended after the backup from
    /// one that was ordered while the publisher was unavailable, so both count.
    #[must_use]
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.halls.contains(hall) || self.held.contains(hall)
    }

    /// Returns all evacuated halls.
    #[must_use]
    pub fn evacuated_halls(&self) -> BTreeSet<String> {
        self.halls.union(&self.held).cloned().collect()
    }

    /// Merges a state at a later position, or further held halls at the same position. Returns true if the
    /// set of evacuated halls has changed.
    pub fn merge(&mut self, newer: Self) -> bool {
        if newer.position < self.position {
            return false;
        }
        let before = self.evacuated_halls();
        if newer.position.restored_since(self.position) {
            self.held.clone_from(&before);
            self.written.clear();
        }
        if newer.position > self.position {
            self.position = newer.position;
            self.halls = newer.halls;
        }
        self.held.extend(newer.held);
        self.written.extend(newer.written);
        self.prune_held();
        self.evacuated_halls() != before
    }

    /// Removes held halls that the operator has written or that are published as evacuated.
    fn prune_held(&mut self) {
        self.held.retain(|hall| !self.written.contains(hall) && !self.halls.contains(hall));
    }

    /// Applies evacuations that began (true) or ended (false) up to a later position of the same era. Returns
    /// true if the set of evacuated halls has changed.
    pub fn apply(&mut self, changes: Vec<(String, bool)>, position: Position) -> bool {
        if position <= self.position {
            return false;
        }
        let before = self.evacuated_halls();
        self.position = position;
        for (hall, evacuated) in changes {
            self.written.insert(hall.clone());
            if evacuated {
                self.halls.insert(hall);
            } else {
                self.halls.remove(&hall);
            }
        }
        self.prune_held();
        self.evacuated_halls() != before
    }

    /// Drops the held halls. Returns true if the set of evacuated halls has changed.
    pub fn drop_held(&mut self) -> bool {
        let before = self.evacuated_halls();
        self.held.clear();
        self.evacuated_halls() != before
    }
}
