//! How much work came to a server lately.

use crate::Millis;

/// After so many milliseconds work counts a third: long enough to smooth over single requests, which come a few a second
/// to one engine, and short enough to follow a burst of some seconds.
const TIME_CONSTANT_MS: f64 = 3_000.0;

/// Milliseconds of work, a sum that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    /// What came, as far as it still counted at `at`.
    sum: f64,
    at: Millis,
}

impl Rate {
    /// Work of so many milliseconds came now.
    pub(crate) fn record(&mut self, work_ms: f64, now: Millis) {
        self.sum = self.decayed(now) + work_ms;
        self.at = now;
    }

    /// The part of the time that it takes; above 1 where more came than can be done.
    pub(crate) fn ratio(&self, now: Millis) -> f32 {
        (self.decayed(now) / TIME_CONSTANT_MS) as f32
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / TIME_CONSTANT_MS).exp()
    }
}
