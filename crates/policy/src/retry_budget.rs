//! The retry budget: a fraction of regular traffic, so that retries cannot amplify an outage.

/// Retries that are earned by first attempts and spent by further ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries available now; never below 0 or above `max`.
    available: f64,
    /// Retries earned by each first attempt.
    earned_per_attempt: f64,
    /// Maximum number of retries that can be saved up.
    max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: 20.0, earned_per_attempt: 0.1, max: 50.0 }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.earned_per_attempt).min(self.max);
    }

    /// Takes one retry. Returns false if none is left.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
