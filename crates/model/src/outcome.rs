//! Results of a simulation run.

use crate::{Class, Micros};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Results of the requests of one class.
///
/// An answer in time counts with the full worth of the class, a late one with the fraction that the class sets, and a
/// refused or lost request with nothing. Neither the number of tokens nor prices matter.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassOutcome {
    /// Name of the class.
    pub class: String,
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests answered with the first event within the latency target and every gap within the limit.
    pub in_time: u64,
    /// Requests answered late.
    pub late: u64,
    /// Requests refused at their last attempt. One that is refused first and lost on a retry counts as lost.
    pub refused: u64,
    /// Requests whose caller gave up or whose last permitted send lost its connection.
    pub lost: u64,
    /// Median and 95th percentile of the time in milliseconds from the caller's first attempt to the first event, over
    /// the requests that received one.
    pub first_ms: [u64; 2],
    /// Worth of all answers.
    pub worth: f64,
    /// Worth that the answers to all requests would have in time.
    #[serde(rename = "owed")]
    pub max_worth: f64,
}

/// Results of one simulation run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Results by class.
    pub classes: Vec<ClassOutcome>,
    /// Prompt tokens that engines prefilled.
    #[serde(rename = "read_tokens")]
    pub prefilled_tokens: u64,
    /// Tokens of shared parts that engines had to prefill although some engine had already received them in an earlier
    /// request.
    #[serde(rename = "again_tokens")]
    pub recomputed_tokens: u64,
    /// Tokens whose KV cache entries engines fetched from each other.
    #[serde(rename = "moved_tokens")]
    pub fetched_tokens: u64,
    /// Number of preemptions for lack of memory.
    #[serde(rename = "put_back")]
    pub preempted: u64,
    /// Status queries and permit requests from boxes to owners.
    #[serde(rename = "questions")]
    pub owner_queries: u64,
    /// Placement decisions of boxes.
    pub choices: u64,
}

impl Outcome {
    /// Returns the worth of all answers relative to their worth if all were in time.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let max_worth: f64 = self.classes.iter().map(|class| class.max_worth).sum();
        self.classes.iter().map(|class| class.worth).sum::<f64>() / max_worth.max(f64::MIN_POSITIVE)
    }
}

/// Collects the results of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassRecorder {
    pub(crate) outcome: ClassOutcome,
    first_event_ms: Histogram<u64>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    Answered,
    Refused,
    Lost,
}

impl ClassRecorder {
    pub(crate) fn new(class: &Class) -> Self {
        let outcome = ClassOutcome { class: class.name.clone(), ..ClassOutcome::default() };
        Self { outcome, first_event_ms: Histogram::new(3).expect("3 significant digits are valid") }
    }

    /// Records the end of a request; `first_event` is the time from its first attempt to its first event.
    pub(crate) fn record(&mut self, class: &Class, end: RequestEnd, first_event: Option<Micros>, max_gap: Micros) {
        self.outcome.requests += 1;
        self.outcome.max_worth += class.worth;
        let in_time = first_event.is_some_and(|first| first as f64 <= class.target_ms * 1e3)
            && max_gap as f64 <= class.gap_ms * 1e3;
        if let Some(first) = first_event {
            // The histogram resizes itself as needed.
            self.first_event_ms.saturating_record(first / 1_000);
        }
        match end {
            RequestEnd::Answered if in_time => {
                self.outcome.in_time += 1;
                self.outcome.worth += class.worth;
            }
            RequestEnd::Answered => {
                self.outcome.late += 1;
                self.outcome.worth += class.worth * class.late;
            }
            RequestEnd::Refused => self.outcome.refused += 1,
            RequestEnd::Lost => self.outcome.lost += 1,
        }
    }

    pub(crate) fn finish(self) -> ClassOutcome {
        let first_ms = [0.5, 0.95].map(|quantile| self.first_event_ms.value_at_quantile(quantile));
        ClassOutcome { first_ms, ..self.outcome }
    }
}
