//! How many calls a box may make to the platform.

use policy::Time;

/// Calls that may be calls_made now; fills up slowly.
#[derive(Clone, Debug)]
pub struct CallBudget {
    /// Calls left, never below 0 or above `most`.
    left: f64,
    /// Calls gained in a second.
    per_second: f64,
    /// Most calls that can be saved up.
    most: f64,
    filled: Time,
    /// Calls made so far.
    pub calls_made: u64,
}

impl CallBudget {
    /// `per_second` calls a second in the long run, `most` at once.
    #[must_use]
    pub fn new(per_second: f64, most: f64, now: Time) -> Self {
        Self { left: most, per_second, most, filled: now, calls_made: 0 }
    }

    /// Takes one call; false when none is left.
    #[must_use]
    pub fn try_acquire(&mut self, now: Time) -> bool {
        let gained = now.since(self.filled) as f64 / 1_000.0 * self.per_second;
        self.left = (self.left + gained).min(self.most);
        self.filled = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        self.calls_made += 1;
        true
    }
}
