//! The budget for retries: a share of good traffic, so that retries can't amplify an outage.

/// Retries earned by first tries and spent by further ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be made now; never below 0 or above `most`.
    left: f64,
    /// Retries earned by each first try.
    share: f64,
    /// Most retries that can be saved up.
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: 20.0, share: 0.1, most: 50.0 }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one retry; false when none is left.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
