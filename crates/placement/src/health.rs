//! How a server has behaved lately.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// How a send ended, as far as the server is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// A whole answer.
    Good,
    /// An answer that says the server failed.
    Failed,
    /// Full, or not the server expected: it did not run the request.
    NotRun,
    /// No answer, or a broken one.
    Broken,
    /// No connection; nothing was sent.
    Unreached,
    /// Ended by the caller; says nothing of the server.
    Left,
}

/// Failures in a row after which a server is left alone for a while. Two, since one may be chance.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// How long a failing server is left alone at first, and at most. A crash on the platform lasts seconds.
const MIN_PAUSE: Millis = 300;
const MAX_PAUSE: Millis = 2_400;

/// Weight of the newest ending in the mean of failures: about the last ten count.
const EWMA_WEIGHT: f64 = 0.12;

/// The record of one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Broken or unreached sends since the last answer.
    consecutive_failures: u32,
    /// Until when the server is left alone; afterwards one request tries it.
    pause_until: Millis,
    /// How long the next pause lasts.
    pause: Millis,
    /// Mean of failures, 0 to 1.
    failure_ratio: f64,
}

impl Health {
    /// Takes in how a send ended.
    pub fn record(&mut self, ending: Ending, now: Millis) {
        match ending {
            Ending::Good => self.record_answer(0.0),
            Ending::Failed => self.record_answer(1.0),
            Ending::NotRun | Ending::Left => {}
            Ending::Broken | Ending::Unreached => self.record_disconnect(ending, now),
        }
    }

    fn record_answer(&mut self, failed: f64) {
        self.consecutive_failures = 0;
        self.pause = 0;
        self.pause_until = 0;
        self.failure_ratio += (failed - self.failure_ratio) * EWMA_WEIGHT;
    }

    fn record_disconnect(&mut self, ending: Ending, now: Millis) {
        self.consecutive_failures += 1;
        self.failure_ratio += (1.0 - self.failure_ratio) * EWMA_WEIGHT;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || ending == Ending::Unreached {
            self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.pause_until = now + self.pause;
        }
    }

    /// True while the server is left alone.
    #[must_use]
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.pause_until
    }

    /// When the pause ends.
    #[must_use]
    pub fn pause_until(&self) -> Millis {
        self.pause_until
    }

    /// True when the next request is the first after a pause.
    #[must_use]
    pub fn is_half_open(&self, now: Millis) -> bool {
        self.pause > 0 && !self.is_paused(now)
    }

    /// A request tries the server after a pause: no other does until it has ended, or for a while.
    pub fn begin_probe(&mut self, now: Millis) {
        self.pause_until = now + self.pause;
    }

    /// The share of sends that failed lately.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
