//! A server whose slots are handed out, and the service time that was learned for it.

use crate::Millis;

/// Expected service time of servers while none of the service is known. It is short on purpose: an underestimate lets
/// requests wait that can't start in time, up to their longest useful wait, until the first answers correct it; an
/// overestimate would refuse requests that could have been served.
pub(crate) const DEFAULT_SERVICE_MS: f64 = 100.0;

/// Number of answers that the learned service time is averaged over. A change of speed shows within about two rounds
/// of a server with 6 slots to 12 slots, and one slow answer shifts it by a sixteenth.
const AVERAGED_ANSWERS: u32 = 16;

/// A server whose slots are handed out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub(crate) slots: u32,
    pub(crate) usable: bool,
    /// Slots in use.
    pub(crate) used: u32,
    /// True if it was in the last list of servers.
    pub(crate) listed: bool,
    /// It gets no grants before this time, because it has turned a request away.
    blocked_until: Millis,
    /// It gets grants only if no other slot is free before this time, because a request has failed there.
    avoided_until: Millis,
    service_ms: f64,
    answers: u32,
}

impl Server {
    /// True if it may get requests, now or later.
    pub(crate) fn is_usable(&self) -> bool {
        self.usable && self.slots > 0
    }

    /// True if a slot may be granted now.
    pub(crate) fn is_free(&self, now: Millis) -> bool {
        self.usable && self.used < self.slots && now >= self.blocked_until
    }

    /// Returns the used part of its slots.
    pub(crate) fn used_ratio(&self) -> f64 {
        f64::from(self.used) / f64::from(self.slots)
    }

    /// Returns the learned service time in milliseconds.
    pub(crate) fn learned_ms(&self) -> Option<f64> {
        (self.answers > 0).then_some(self.service_ms)
    }

    /// Records a service time, from the grant of a slot until the release was received.
    pub(crate) fn record_answer(&mut self, service_ms: Millis) {
        self.answers = (self.answers + 1).min(AVERAGED_ANSWERS);
        let deviation = service_ms.max(1) as f64 - self.service_ms;
        self.service_ms += deviation / f64::from(self.answers);
    }

    /// Records that the server turned a request away: others use its slots, and one is expected to be free after
    /// about one service time.
    pub(crate) fn record_turned_away(&mut self, expected_ms: f64, now: Millis) {
        self.blocked_until = now + expected_ms.ceil() as Millis;
    }

    /// Records that a request failed. A server that fails requests at once has free slots most of the time; if it had
    /// the shortest service time, it would attract all requests until it is no longer listed as usable.
    pub(crate) fn record_failure(&mut self, expected_ms: f64, now: Millis) {
        self.avoided_until = now + expected_ms.ceil() as Millis;
    }

    /// True if other servers are preferred, because a request has failed here.
    pub(crate) fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }
}
