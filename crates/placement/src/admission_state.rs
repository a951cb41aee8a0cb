//! What is in force for a server, derived in one place and asked by everybody.

use crate::member::Member;
use crate::Millis;

/// What may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionState {
    /// Whatever suits it.
    Open,
    /// A few requests a second of all boxes together, each with its owner's leave: it has just started, or turned cold
    /// again.
    Cold,
    /// As many requests a second of all boxes together as it said that it takes, each with leave.
    Limited,
    /// Nothing while others are sound: the publisher is back from an older copy, which alone has it, and it may have ended.
    Unconfirmed,
    /// Nothing while others are sound: it failed lately.
    Paused,
    /// Nothing of this box: the server asked for rest.
    BackingOff,
    /// Nothing: its hall is evacuated.
    Evacuated,
    /// Nothing: it is about to end.
    Leaving,
}

impl AdmissionState {
    /// True where nothing may be sent by any box, whatever else there is.
    pub(crate) fn is_closed(self) -> bool {
        matches!(self, Self::Evacuated | Self::Leaving)
    }

    /// True where this box may send nothing, whatever else there is.
    pub(crate) fn is_blocked(self) -> bool {
        self.is_closed() || self == Self::BackingOff
    }
}

impl Member {
    /// What is in force for it.
    pub(crate) fn admission_state(&self, now: Millis) -> AdmissionState {
        if self.leaving {
            AdmissionState::Leaving
        } else if self.evacuated {
            AdmissionState::Evacuated
        } else if now < self.back_off_until {
            AdmissionState::BackingOff
        } else if now < self.unconfirmed_until {
            AdmissionState::Unconfirmed
        } else if self.is_paused(now) {
            AdmissionState::Paused
        } else if self.is_cold(now) {
            AdmissionState::Cold
        } else if self.limit.quota().is_some() {
            AdmissionState::Limited
        } else {
            AdmissionState::Open
        }
    }
}
