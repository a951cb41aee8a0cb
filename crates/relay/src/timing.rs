//! Where the time of a request went.

use routing::Route;
use std::time::Duration;
use tokio::time::Instant;

/// Where the time of a request went.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    /// Time from the start of the request to the first event.
    pub(crate) first: Option<Duration>,
    /// The longest pause between two events.
    pub(crate) pause: Duration,
    /// Time spent choosing servers, with the waits for owners and slots, over all completed choices.
    chosen: Duration,
    /// Start of the current choice. Kept here, because a choice that is dropped at the deadline can't add its time.
    choosing_since: Option<Instant>,
}

impl Timing {
    /// Records that a choice begins.
    pub(crate) fn begin_choice(&mut self) {
        self.choosing_since = Some(Instant::now());
    }

    /// Records that a choice has ended.
    pub(crate) fn end_choice(&mut self) {
        self.chosen = self.choice_time();
        self.choosing_since = None;
    }

    /// Returns the time spent on choices, including one in progress.
    pub(crate) fn choice_time(&self) -> Duration {
        self.chosen + self.choosing_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns which of the route's targets a complete stream missed, or `None` if it was in time.
    pub(crate) fn late_reason(&self, route: &Route) -> Option<&'static str> {
        if self.first.is_some_and(|first| first > route.latency_target) {
            return Some("first");
        }
        route.gap_target.is_some_and(|target| self.pause > target).then_some("pause")
    }
}
