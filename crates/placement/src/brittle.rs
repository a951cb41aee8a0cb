//! Services whose servers fall over if they have to turn too many requests away.

use crate::Millis;

/// Time for which a service counts as brittle after an answer that says so. Longer than a quiet service may go without an
/// answer.
const BRITTLE_TTL: Millis = 5_000;

/// Interval at which a box announces to the others that a service is brittle, unless another box does.
const ANNOUNCE_INTERVAL: Millis = 2_000;

/// Whether the servers of a service are brittle.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Brittle {
    /// Until when they count as brittle; in the past if they don't.
    until: Millis,
    /// When other boxes are to be told again.
    next_announcement: Millis,
}

impl Brittle {
    /// Records that a server said so, to this box or to another one. Returns true if the other boxes should be told.
    pub(crate) fn record(&mut self, now: Millis) -> bool {
        self.until = now + BRITTLE_TTL;
        let is_due = now >= self.next_announcement;
        if is_due {
            self.next_announcement = now + ANNOUNCE_INTERVAL;
        }
        is_due
    }

    /// True while the servers count as brittle.
    pub(crate) fn holds(self, now: Millis) -> bool {
        now < self.until
    }
}
