//! Positions in a publisher's history.

use serde::{Deserialize, Serialize};

/// A revision within an era of the publisher. Revisions increase within an era. When the publisher is
/// restored from an older backup, a new era begins and revision numbers of the previous era are reused for
/// other content. Revisions are therefore only comparable together with their era, and any position of a
/// later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Incremented each time the publisher is restored from a backup. Compared first.
    pub era: u64,
    /// Increases with each change within an era; 0 while nothing is known.
    pub revision: u64,
}

impl Position {
    /// The position before anything has been read.
    pub const NONE: Self = Self { era: 0, revision: 0 };

    /// Creates a position from an era and a revision.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns true if something has been read.
    #[must_use]
    pub fn is_known(self) -> bool {
        self != Self::NONE
    }

    /// Returns true if the publisher was restored from a backup between `former`, which must be known, and
    /// this position.
    #[must_use]
    pub fn restored_since(self, former: Self) -> bool {
        former.is_known() && self.era > former.era
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
