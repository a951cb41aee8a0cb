//! Rate at which slots at a server become free.

use crate::Millis;
use std::collections::VecDeque;

/// Time for which completions count: long enough to see some completions of answers that take seconds, short enough
/// to follow a burst.
const WINDOW: Millis = 2_000;

/// Most completions kept. With more than this per window, slots become free faster than requests queue up.
const MAX_COMPLETIONS: usize = 256;

/// Times of recent completions at a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    recent: VecDeque<Millis>,
}

impl Completions {
    /// Records a completion.
    pub(crate) fn record(&mut self, now: Millis) {
        if self.recent.len() == MAX_COMPLETIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Returns the average interval between completions in milliseconds; 0 without recent ones.
    pub(crate) fn interval_ms(&self, now: Millis) -> f32 {
        let count = self.recent.iter().filter(|at| **at + WINDOW >= now).count();
        if count == 0 {
            return 0.0;
        }
        WINDOW as f32 / count as f32
    }
}
