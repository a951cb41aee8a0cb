//! Where in a publisher's history something was read.

use serde::{Deserialize, Serialize};

/// A revision of one era of the publisher. Revisions rise within an era; when the publisher comes back from an older copy,
/// a new era begins, and revisions of the former one are given out again to other content. So a revision says nothing without its
/// era, and whatever is of a later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Rises by one each time that the publisher comes back from a copy. Compared first.
    pub era: u64,
    /// Rises with each change within an era; 0 while nothing is known.
    pub revision: u64,
}

impl Position {
    /// Where nothing is known yet.
    pub const NONE: Self = Self { era: 0, revision: 0 };

    /// A revision of an era.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// True where something was read.
    #[must_use]
    pub fn is_known(self) -> bool {
        self != Self::NONE
    }

    /// True where the publisher came back from a copy between `former`, which is known, and this.
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
