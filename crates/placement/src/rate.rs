//! Recent work sent to a server.

use crate::Millis;

/// Time constant of the decay, after which work counts for about a third. Long enough to smooth over single requests,
/// which arrive a few per second at one engine, and short enough to follow a burst of some seconds.
const TIME_CONSTANT_MS: f64 = 3_000.0;

/// Milliseconds of work, summed with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    /// The sum, decayed up to `at`.
    sum: f64,
    at: Millis,
}

impl Rate {
    /// Records `work_ms` milliseconds of work that arrived now.
    pub(crate) fn record(&mut self, work_ms: f64, now: Millis) {
        self.sum = self.decayed(now) + work_ms;
        self.at = now;
    }

    /// Returns the share of time that the work takes; above 1 if more arrived than can be done.
    pub(crate) fn ratio(&self, now: Millis) -> f32 {
        (self.decayed(now) / TIME_CONSTANT_MS) as f32
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / TIME_CONSTANT_MS).exp()
    }
}
