//! Metrics of one request: latencies by class and customer, and the outcome.

use crate::Outcome;
use metrics::Histogram;
use std::time::Instant;
use telemetry::Event;

/// Metrics of one request. Counts exactly one outcome: the one passed to [`RequestMetrics::finish`], or `gone` on drop.
pub struct RequestMetrics {
    class: String,
    customer: String,
    started: Instant,
    last_token: Option<Instant>,
    between: Histogram,
    finished: bool,
}

impl RequestMetrics {
    /// Starts the measurement of a new request.
    #[must_use]
    pub fn new(class: &str, customer: &str) -> Self {
        let labels = [("class", class.to_owned()), ("customer", customer.to_owned())];
        Self {
            class: class.to_owned(),
            customer: customer.to_owned(),
            started: Instant::now(),
            last_token: None,
            between: metrics::histogram!("cleatshelf_between_tokens_seconds", &labels),
            finished: false,
        }
    }

    /// Records a forwarded token.
    pub fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token {
            None => self.record_elapsed("cleatshelf_first_token_seconds", now),
            Some(last) => self.between.record(now.duration_since(last).as_secs_f64()),
        }
        self.last_token = Some(now);
    }

    fn record_elapsed(&self, name: &'static str, now: Instant) {
        let labels = [("class", self.class.clone()), ("customer", self.customer.clone())];
        metrics::histogram!(name, &labels).record(now.duration_since(self.started).as_secs_f64());
    }

    /// Records the outcome.
    pub fn finish(mut self, outcome: Outcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        if self.finished {
            // The drop after `finish` is expected; any other call would count a second outcome.
            if outcome != Outcome::Disconnected {
                telemetry::emit(Event::SecondOutcomeBroken, format_args!("outcome={}", outcome.as_str()));
            }
            return;
        }
        self.finished = true;
        if outcome == Outcome::Complete {
            self.record_elapsed("cleatshelf_whole_answer_seconds", Instant::now());
        }
        let labels = [("class", self.class.clone()), ("outcome", outcome.as_str().to_owned())];
        metrics::counter!("cleatshelf_requests_total", &labels).increment(1);
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.record_outcome(Outcome::Disconnected);
    }
}
