//! The figures of one request: times by class and by customer, and its one outcome.

use crate::Outcome;
use metrics::Histogram;
use std::time::Instant;
use telemetry::Event;

/// The figures of one request. Counts one outcome: the one it is closed with, or `gone`.
pub struct Journal {
    class: String,
    customer: String,
    began: Instant,
    last: Option<Instant>,
    between: Histogram,
    closed: bool,
}

impl Journal {
    /// A request that came in now.
    #[must_use]
    pub fn open(class: &str, customer: &str) -> Self {
        let labels = [("class", class.to_owned()), ("customer", customer.to_owned())];
        Self {
            class: class.to_owned(),
            customer: customer.to_owned(),
            began: Instant::now(),
            last: None,
            between: metrics::histogram!("cleatshelf_between_tokens_seconds", &labels),
            closed: false,
        }
    }

    /// A token is passed on.
    pub fn token(&mut self) {
        let now = Instant::now();
        match self.last {
            None => self.record("cleatshelf_first_token_seconds", now),
            Some(last) => self.between.record(now.duration_since(last).as_secs_f64()),
        }
        self.last = Some(now);
    }

    fn record(&self, name: &'static str, now: Instant) {
        let labels = [("class", self.class.clone()), ("customer", self.customer.clone())];
        metrics::histogram!(name, &labels).record(now.duration_since(self.began).as_secs_f64());
    }

    /// The request has ended.
    pub fn close(mut self, outcome: Outcome) {
        self.count(outcome);
    }

    fn count(&mut self, outcome: Outcome) {
        if self.closed {
            // Dropping a closed journal is the rule; closing it once more would be a second outcome.
            if outcome != Outcome::Gone {
                telemetry::emit(Event::SecondOutcomeBroken, format_args!("outcome={}", outcome.as_str()));
            }
            return;
        }
        self.closed = true;
        if outcome == Outcome::Whole {
            self.record("cleatshelf_whole_answer_seconds", Instant::now());
        }
        let labels = [("class", self.class.clone()), ("outcome", outcome.as_str().to_owned())];
        metrics::counter!("cleatshelf_requests_total", &labels).increment(1);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.count(Outcome::Gone);
    }
}
