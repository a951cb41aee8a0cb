//! Rate limit for calls to the platform.

use policy::Time;

/// A token bucket for calls to the platform.
#[derive(Clone, Debug)]
pub struct CallBudget {
    /// Calls that may be made now; from 0 to `burst`.
    tokens: f64,
    /// Sustained number of calls per second.
    per_second: f64,
    /// Maximum number of calls at once.
    burst: f64,
    last_refill: Time,
    /// Calls made so far.
    pub calls_made: u64,
}

impl CallBudget {
    /// Creates a budget of `per_second` sustained calls per second, and up to `burst` at once.
    #[must_use]
    pub fn new(per_second: f64, burst: f64, now: Time) -> Self {
        Self { tokens: burst, per_second, burst, last_refill: now, calls_made: 0 }
    }

    /// Takes one call from the budget. Returns false if none is available.
    #[must_use]
    pub fn try_acquire(&mut self, now: Time) -> bool {
        let gained = now.since(self.last_refill) as f64 / 1_000.0 * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.last_refill = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.calls_made += 1;
        true
    }
}
