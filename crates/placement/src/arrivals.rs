//! Times of recent requests to a server.

use crate::cold::COLD_WINDOW;
use crate::permit::Quota;
use crate::Millis;
use std::collections::VecDeque;

/// Send times in ascending order, as far back as they may still count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    times: VecDeque<Millis>,
    /// The longest window asked for; older times are dropped.
    longest: Millis,
}

impl Arrivals {
    /// Records a request sent now.
    pub(crate) fn record(&mut self, now: Millis) {
        let longest = self.longest.max(COLD_WINDOW);
        while self.times.front().is_some_and(|at| at + longest <= now) {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the number of requests sent within the last `span` milliseconds.
    pub(crate) fn count_within(&self, span: Millis, now: Millis) -> u32 {
        let first = self.times.partition_point(|at| at + span <= now);
        u32::try_from(self.times.len() - first).unwrap_or(u32::MAX)
    }

    /// Returns when `quota` allows one more request: now, or when the oldest request that fills it leaves the window.
    pub(crate) fn free_at(&mut self, quota: &Quota, now: Millis) -> Millis {
        self.longest = self.longest.max(quota.window);
        let Some(max) = usize::try_from(quota.max_requests).ok().filter(|max| *max > 0) else { return Millis::MAX };
        let filled_until = self.times.len().checked_sub(max).map(|first| self.times[first] + quota.window);
        filled_until.map_or(now, |at| at.max(now))
    }
}
