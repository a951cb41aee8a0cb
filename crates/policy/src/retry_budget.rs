//! The retry budget: a fraction of regular traffic, so that retries cannot amplify an outage.

/// Retries that are earned by first attempts and spent by further ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries available now; never below 0 or above `max`.
    left: f64,
    /// Retries earned by each first attempt.
    share: f64,
    /// Maximum number of retries that can be saved up.
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: 20.0, share: 0.1, most: 50.0 }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one retry. Returns false if none is left.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
