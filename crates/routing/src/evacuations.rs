//! Data halls whose servers are to get nothing.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The halls that are evacuated, as of one revision of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision of the publisher at which these were the evacuated halls; 0 while nothing is known.
    pub revision: u64,
    /// Names of the halls.
    pub halls: BTreeSet<String>,
}

impl Evacuations {
    /// Takes what is known of a later revision. True when other halls are evacuated now.
    pub fn take(&mut self, newer: Self) -> bool {
        if newer.revision <= self.revision {
            return false;
        }
        let changed = newer.halls != self.halls;
        *self = newer;
        changed
    }
}
