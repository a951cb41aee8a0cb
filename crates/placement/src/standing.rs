//! What is in force for a server, derived in one place and asked by everybody.

use crate::member::Member;
use crate::Millis;

/// What may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Whatever suits it.
    Open,
    /// A few requests a second of all boxes together, each with its owner's leave: it has just started, or turned cold
    /// again.
    Cold,
    /// Nothing while others are sound: it failed lately.
    Paused,
    /// Nothing: its hall is evacuated.
    Evacuated,
    /// Nothing: it is about to end.
    Leaving,
}

impl Standing {
    /// True where nothing may be sent, whatever else there is.
    pub(crate) fn closed(self) -> bool {
        matches!(self, Self::Evacuated | Self::Leaving)
    }
}

impl Member {
    /// What is in force for it.
    pub(crate) fn standing(&self, now: Millis) -> Standing {
        if self.server.draining {
            Standing::Leaving
        } else if self.evacuated {
            Standing::Evacuated
        } else if self.paused(now) {
            Standing::Paused
        } else if self.cold(now) {
            Standing::Cold
        } else {
            Standing::Open
        }
    }
}
