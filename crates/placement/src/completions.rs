//! How often places at a server become free.

use crate::Millis;
use std::collections::VecDeque;

/// How far back ends count: long enough for some ends of answers of seconds, short enough to follow a burst.
const WINDOW: Millis = 2_000;

/// Most ends that are kept. More a window mean that places become free faster than anybody waits.
const MAX_COMPLETIONS: usize = 256;

/// When requests that ran at a server ended lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    recent: VecDeque<Millis>,
}

impl Completions {
    /// One ended.
    pub(crate) fn record(&mut self, now: Millis) {
        if self.recent.len() == MAX_COMPLETIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Milliseconds between two of them on average; 0 where none ended lately.
    pub(crate) fn interval_ms(&self, now: Millis) -> f32 {
        let count = self.recent.iter().filter(|at| **at + WINDOW >= now).count();
        if count == 0 {
            return 0.0;
        }
        WINDOW as f32 / count as f32
    }
}
