//! Recent stalls of answers by the prefill of other prompts.

use crate::impact::exceeds;
use crate::Millis;
use std::collections::VecDeque;

/// Time for which stalls count: about the duration of an answer. Recent stalls predict further ones.
const WINDOW: Millis = 3_000;

/// Most stalls kept. A window with more of them is as bad as one with this many.
const MAX_STALLS: usize = 48;

/// Expected stalls of one server within the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stalls {
    recent: VecDeque<(Millis, u32)>,
}

impl Stalls {
    /// Records a prefill that began now and is expected to cause a gap of `pause_ms`.
    pub(crate) fn record(&mut self, pause_ms: f64, now: Millis) {
        if self.recent.len() == MAX_STALLS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, pause_ms as u32));
    }

    /// Returns how many stalls per second exceeded this gap; 0 if no gap is too long.
    pub(crate) fn per_second(&self, gap_ms: u32, now: Millis) -> f32 {
        if gap_ms == 0 {
            return 0.0;
        }
        let recent = self.recent.iter().filter(|(at, _)| at + WINDOW >= now);
        let too_long: f64 = recent.map(|(_, pause)| exceeds(f64::from(*pause), f64::from(gap_ms))).sum();
        too_long as f32 * 1_000.0 / WINDOW as f32
    }
}
