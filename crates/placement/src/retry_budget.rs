//! Budget of retries (second sends) per service.

use crate::Millis;
use std::collections::VecDeque;

/// Part of the shared slack that all boxes together use. The rest covers what a box can't know exactly, such as the
/// number of other boxes.
const SLACK_RATIO: f64 = 0.7;

/// Part of the allowed ratio of second sends to requests that is used.
const RETRY_RATIO_FACTOR: f64 = 0.8;

/// This box's share of the bound on second sends to one service, over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Second sends allowed per request.
    ratio: f64,
    /// Additional second sends allowed for all boxes together.
    slack: f64,
    /// Length of the window.
    window: Millis,
    /// Times of requests and of second sends within the window.
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` second sends per request and `slack` additional ones, over `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        Self { ratio, slack, window, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes a second send if this box, one of `boxes`, may make one.
    pub fn take_retry(&mut self, boxes: usize, now: Millis) -> bool {
        self.expire(now);
        let own_slack = self.slack * SLACK_RATIO / boxes.max(1) as f64;
        let allowed = own_slack + self.ratio * RETRY_RATIO_FACTOR * self.requests.len() as f64;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| at + self.window < now) {
                times.pop_front();
            }
        }
    }
}
