//! What came of a played deployment.

use crate::{Class, Micros};
use hdrhistogram::Histogram;
use serde::Serialize;

/// What came of a class's requests.
///
/// Worth is what its answers are worth over what they would be worth in time: an answer in time counts whole, a late one by the part that the
/// class says, all others nothing. Tokens and prices don't count.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassOutcome {
    /// Name of the class.
    pub class: String,
    /// Requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answered with a first event in time and no pause too long.
    pub in_time: u64,
    /// Answered otherwise.
    pub late: u64,
    /// Refused, and not served when they came back.
    pub refused: u64,
    /// Neither: callers left, or sends broke off.
    pub lost: u64,
    /// Milliseconds to the first event from the caller's first try, of those that got one: median and 95 of 100.
    pub first_ms: [u64; 2],
    /// What they are worth, and would be worth in time.
    pub worth: f64,
    /// The latter.
    #[serde(rename = "owed")]
    pub max_worth: f64,
}

/// What came of one play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Tokens that engines read.
    #[serde(rename = "read_tokens")]
    pub prefilled_tokens: u64,
    /// Tokens of shared parts that some engine had read before and none needed to read again.
    #[serde(rename = "again_tokens")]
    pub recomputed_tokens: u64,
    /// Tokens that engines fetched from each other.
    #[serde(rename = "moved_tokens")]
    pub fetched_tokens: u64,
    /// Requests that engines put back for want of memory.
    #[serde(rename = "put_back")]
    pub preempted: u64,
    /// Questions of boxes to owners.
    #[serde(rename = "questions")]
    pub owner_queries: u64,
    /// Choices that boxes made.
    pub choices: u64,
}

impl Outcome {
    /// Worth of all classes over what they would be worth in time.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let max_worth: f64 = self.classes.iter().map(|class| class.max_worth).sum();
        self.classes.iter().map(|class| class.worth).sum::<f64>() / max_worth.max(f64::MIN_POSITIVE)
    }
}

/// Counts for one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassRecorder {
    pub(crate) outcome: ClassOutcome,
    first_event_ms: Histogram<u64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    Answered,
    Refused,
    Lost,
}

impl ClassRecorder {
    pub(crate) fn new(class: &Class) -> Self {
        let outcome = ClassOutcome { class: class.name.clone(), ..ClassOutcome::default() };
        Self { outcome, first_event_ms: Histogram::new(3).expect("three digits") }
    }

    pub(crate) fn record(&mut self, class: &Class, end: RequestEnd, first_event: Option<Micros>, max_gap: Micros) {
        self.outcome.requests += 1;
        self.outcome.max_worth += class.worth;
        let in_time =
            first_event.is_some_and(|first| first as f64 <= class.aim_ms * 1e3) && max_gap as f64 <= class.gap_ms * 1e3;
        if let Some(first) = first_event {
            // The histogram grows as needed.
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
