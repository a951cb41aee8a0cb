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
    /// As many requests a second of all boxes together as it said that it takes, each with leave.
    Limited,
    /// Nothing while others are sound: the publisher is back from an older copy, which alone has it, and it may have ended.
    Doubted,
    /// Nothing while others are sound: it failed lately.
    Paused,
    /// Nothing of this box: the server asked for rest.
    Resting,
    /// Nothing: its hall is evacuated.
    Evacuated,
    /// Nothing: it is about to end.
    Leaving,
}

impl Standing {
    /// True where nothing may be sent by any box, whatever else there is.
    pub(crate) fn closed(self) -> bool {
        matches!(self, Self::Evacuated | Self::Leaving)
    }

    /// True where this box may send nothing, whatever else there is.
    pub(crate) fn shut(self) -> bool {
        self.closed() || self == Self::Resting
    }
}

impl Member {
    /// What is in force for it.
    pub(crate) fn standing(&self, now: Millis) -> Standing {
        if self.leaving {
            Standing::Leaving
        } else if self.evacuated {
            Standing::Evacuated
        } else if now < self.rest_until {
            Standing::Resting
        } else if now < self.doubted_until {
            Standing::Doubted
        } else if self.paused(now) {
            Standing::Paused
        } else if self.cold(now) {
            Standing::Cold
        } else if self.limit.quota().is_some() {
            Standing::Limited
        } else {
            Standing::Open
        }
    }
}
