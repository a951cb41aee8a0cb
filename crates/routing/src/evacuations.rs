//! Data halls whose servers are to get nothing.

use crate::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The halls that are evacuated, as of one position of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Where these were the evacuated halls; none while nothing is known.
    pub position: Position,
    /// Names of the halls, as published.
    pub halls: BTreeSet<String>,
    /// Halls that were evacuated before the publisher came back from an older copy, which doesn't say so. That holds until the
    /// operator has written again, and is given up after a while.
    pub held: BTreeSet<String>,
    /// Halls of which the operator has written in this era: what it wrote counts, and nothing is held of them.
    pub written: BTreeSet<String>,
}

impl Evacuations {
    /// These halls and no others, as published.
    #[must_use]
    pub fn new(position: Position, halls: BTreeSet<String>) -> Self {
        Self { position, halls, ..Self::default() }
    }

    /// True while a hall is evacuated: as published, or as it was known. The publisher's word alone can't tell an evacuation that was
    /// ended after its copy from one that was ordered while it was away, so that either counts.
    #[must_use]
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.halls.contains(hall) || self.held.contains(hall)
    }

    /// All evacuated halls.
    #[must_use]
    pub fn evacuated_halls(&self) -> BTreeSet<String> {
        self.halls.union(&self.held).cloned().collect()
    }

    /// Takes what is known of a later position, or held besides at the same. True when other halls are evacuated now.
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

    /// Takes which evacuations began (true) or ended up to a later position of the same era. True when other halls are
    /// evacuated now.
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

    /// Gives up what was held. True when other halls are evacuated now.
    pub fn drop_held(&mut self) -> bool {
        let before = self.evacuated_halls();
        self.held.clear();
        self.evacuated_halls() != before
    }
}
