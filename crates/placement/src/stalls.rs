//! How long the reading of prompts has lately held up the answers beside it.

use crate::impact::exceeds;
use crate::Millis;
use std::collections::VecDeque;

/// How far back stalls count: about as long as an answer takes, and what came lately comes again.
const WINDOW: Millis = 3_000;

/// Most stalls that are kept; more in the window are as bad as these.
const MAX_STALLS: usize = 48;

/// The expected stalls of one server within the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stalls {
    recent: VecDeque<(Millis, u32)>,
}

impl Stalls {
    /// Reading that began now is expected to make a pause of so many milliseconds.
    pub(crate) fn record(&mut self, pause_ms: f64, now: Millis) {
        if self.recent.len() == MAX_STALLS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, pause_ms as u32));
    }

    /// How many a second made pauses longer than this; 0 where no pause is too long.
    pub(crate) fn per_second(&self, gap_ms: u32, now: Millis) -> f32 {
        if gap_ms == 0 {
            return 0.0;
        }
        let recent = self.recent.iter().filter(|(at, _)| at + WINDOW >= now);
        let too_long: f64 = recent.map(|(_, pause)| exceeds(f64::from(*pause), f64::from(gap_ms))).sum();
        too_long as f32 * 1_000.0 / WINDOW as f32
    }
}
