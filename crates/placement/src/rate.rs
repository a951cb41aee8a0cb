//! How much of something came a second, lately.

use crate::Millis;

/// After this long an amount counts a third: long enough to smooth over single requests, which come a few a second
/// to one engine, and short enough to follow a burst of some seconds.
const MEMORY: f64 = 3_000.0;

/// A sum that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    /// What came, as far as it still counted at `at`.
    sum: f64,
    at: Millis,
}

impl Rate {
    /// So much came now.
    pub(crate) fn note(&mut self, amount: f64, now: Millis) {
        self.sum = self.left(now) + amount;
        self.at = now;
    }

    /// How much came a second.
    pub(crate) fn per_second(&self, now: Millis) -> f64 {
        self.left(now) / MEMORY * 1e3
    }

    fn left(&self, now: Millis) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / MEMORY).exp()
    }
}
