//! Admission state of a server. It is derived in one place, so that every caller applies the same rules.

use crate::member::Member;
use crate::Millis;

/// Limits on the requests that may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionState {
    /// Any request that suits it.
    Open,
    /// A few requests per second from all boxes together, each with a send permit from its owner: the server has just
    /// started, or has turned cold again.
    Cold,
    /// As many requests per second from all boxes together as its own limit allows, each with a send permit.
    Limited,
    /// Nothing while healthy servers are available. The publisher was restored from an older copy, and only that copy
    /// lists the server, so it may have terminated.
    Unconfirmed,
    /// Nothing while healthy servers are available: it failed recently.
    Paused,
    /// Nothing from this box: the server asked for a back-off.
    BackingOff,
    /// Nothing: its hall is evacuated.
    Evacuated,
    /// Nothing: it is about to terminate.
    Leaving,
}

impl AdmissionState {
    /// True if no box may send anything, even if no other server is available.
    pub(crate) fn is_closed(self) -> bool {
        matches!(self, Self::Evacuated | Self::Leaving)
    }

    /// True if this box may send nothing, even if no other server is available.
    pub(crate) fn is_blocked(self) -> bool {
        self.is_closed() || self == Self::BackingOff
    }
}

impl Member {
    /// Returns its current admission state.
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
