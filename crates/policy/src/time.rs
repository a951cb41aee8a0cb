//! Time as the control thread sees it.

use serde::{Deserialize, Serialize};

/// Milliseconds since an arbitrary moment, on a clock that keeps counting while the process is frozen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Returns the moment `ms` milliseconds after this one.
    #[must_use]
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this moment; 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
