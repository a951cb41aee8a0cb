//! A moment, as the control thread sees it.

use serde::{Deserialize, Serialize};

/// Milliseconds since a moment of no meaning, on a clock that counts through a freeze.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// This moment, `ms` milliseconds later.
    #[must_use]
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this moment; 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
