//! How many second sends a service may get.

use crate::Millis;
use std::collections::VecDeque;

/// Part of the shared slack that all boxes together may use; the rest covers what a box can't know,
/// as how many others there are.
const SLACK_USED: f64 = 0.7;

/// Part of the share of requests that second sends may reach.
const RATIO_USED: f64 = 0.8;

/// This box's part of the bound on second sends to one service, over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Second sends allowed for each first one.
    ratio: f64,
    /// Second sends allowed besides, by all boxes together.
    slack: f64,
    /// Length of the window.
    window: Millis,
    /// Times of first and of second sends within the window.
    first: VecDeque<Millis>,
    second: VecDeque<Millis>,
}

impl RetryBudget {
    /// A budget of `ratio` second sends for each first and `slack` besides, over `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        Self { ratio, slack, window, first: VecDeque::new(), second: VecDeque::new() }
    }

    /// Counts a first send.
    pub fn record_request(&mut self, now: Millis) {
        self.first.push_back(now);
        self.forget(now);
    }

    /// Takes a second send if this box, one of `boxes`, may make one.
    pub fn take_retry(&mut self, boxes: usize, now: Millis) -> bool {
        self.forget(now);
        let own_slack = self.slack * SLACK_USED / boxes.max(1) as f64;
        let allowed = own_slack + self.ratio * RATIO_USED * self.first.len() as f64;
        if self.second.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.second.push_back(now);
        true
    }

    fn forget(&mut self, now: Millis) {
        for times in [&mut self.first, &mut self.second] {
            while times.front().is_some_and(|at| at + self.window < now) {
                times.pop_front();
            }
        }
    }
}
