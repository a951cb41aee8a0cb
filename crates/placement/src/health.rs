//! Recent failures of a server.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Outcome of a send, as far as the server is responsible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// A complete answer.
    Good,
    /// An answer that reports a failure of the server.
    Failed,
    /// Full, or not the expected server: it did not run the request.
    NotRun,
    /// No answer, or a broken one.
    Broken,
    /// No answer in time; the request was given up there in favour of another server. The server may only be paused.
    Silent,
    /// No connection; nothing was sent.
    Unreached,
    /// Ended by the caller; says nothing about the server.
    Left,
}

/// Consecutive failures after which a server is paused. Two, since a single one may be chance.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// First and longest pause of a failing server. A crash on the platform lasts seconds.
const MIN_PAUSE: Millis = 300;
const MAX_PAUSE: Millis = 2_400;

/// Weight of the newest outcome in the moving average of failures: about the last ten count.
const EWMA_WEIGHT: f64 = 0.12;

/// Failure record of one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Broken or unreached sends since the last answer.
    consecutive_failures: u32,
    /// End of the pause; after it, one request probes the server.
    pause_until: Millis,
    /// Length of the current or last pause; doubles with each further failure.
    pause: Millis,
    /// Moving average of failures, from 0 to 1.
    failure_ratio: f64,
}

impl Health {
    /// Records the outcome of a send.
    pub fn record(&mut self, ending: Ending, now: Millis) {
        match ending {
            Ending::Good => self.record_answer(0.0),
            Ending::Failed => self.record_answer(1.0),
            Ending::NotRun | Ending::Left => {}
            Ending::Broken | Ending::Unreached => self.record_disconnect(ending, now),
            Ending::Silent => self.record_silence(now),
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

    /// A sound server may be silent for a second, so this is no failure: the pause doesn't grow with the number of requests
    /// that the server has then, and ends without a probe.
    fn record_silence(&mut self, now: Millis) {
        self.pause_until = self.pause_until.max(now + MIN_PAUSE);
    }

    /// True while the server is paused.
    #[must_use]
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.pause_until
    }

    /// Returns the end of the pause.
    #[must_use]
    pub fn pause_until(&self) -> Millis {
        self.pause_until
    }

    /// True if the next request is a half-open probe: the first one after a pause.
    #[must_use]
    pub fn is_half_open(&self, now: Millis) -> bool {
        self.pause > 0 && !self.is_paused(now)
    }

    /// Begins a half-open probe: no other request is sent until it has ended, or for another pause.
    pub fn begin_probe(&mut self, now: Millis) {
        self.pause_until = now + self.pause;
    }

    /// Returns the recent share of sends that failed.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
