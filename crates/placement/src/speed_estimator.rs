//! Estimates an engine's speed from observations of its answers.

use crate::least_squares::LeastSquares;
use crate::{Prefill, Speed};

/// Weight of the newest observation in a moving average: about the last ten count.
const EWMA_WEIGHT: f32 = 0.1;

/// Cap on the observation counts: older observations hardly weigh in the fits.
const MAX_SAMPLES: f32 = 40.0;

/// Ratio of a prefill's duration to the longest expected gap from which on the gaps beside it show their upper bound.
/// Selected by the size of the prefill and not by the observed gap, since short gaps would select themselves.
const MIN_PREFILL_FACTOR: f64 = 1.3;

/// Weight of a gap that was shorter than expected. Often less was prefilled beside it than assumed, because the
/// server had cached more of the prompts.
const SHORTER_PAUSE_WEIGHT: f64 = 0.2;

/// Number of observed gaps that weigh as much as the initial values.
const PRIOR_SAMPLES: f64 = 8.0;

/// Number of observed gaps before the longest of them is used as a bound.
const MIN_PEAK_SAMPLES: u32 = 6;

/// Part of the difference to a shorter gap by which the peak decays.
const PEAK_DECAY_RATIO: f64 = 0.02;

/// Longest recent gap, beside any prefill.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    ms: f64,
    samples: u32,
}

impl Peak {
    fn record(&mut self, pause_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = if pause_ms > self.ms { 1.0 } else { PEAK_DECAY_RATIO };
        self.ms += (pause_ms - self.ms) * step;
    }

    /// Returns the longest known gap; unbounded until enough were observed.
    fn max_ms(&self) -> f64 {
        if self.samples < MIN_PEAK_SAMPLES {
            f64::INFINITY
        } else {
            self.ms
        }
    }
}

/// Estimates one engine's [`Speed`].
#[derive(Clone, Debug)]
pub struct SpeedEstimator {
    /// Features: one, thousands of tokens, and millions of attention pairs.
    prefill: LeastSquares<3>,
    /// Features: one, and thousands of tokens of context before what is processed.
    stalls: LeastSquares<2>,
    peak: Peak,
    speed: Speed,
}

impl Default for SpeedEstimator {
    fn default() -> Self {
        let speed = Speed::default();
        Self {
            prefill: LeastSquares::new([speed.base_ms, speed.read_ms, speed.pair_ms].map(f64::from)),
            stalls: LeastSquares::new([speed.stall_ms, speed.stall_depth_ms].map(f64::from)),
            peak: Peak::default(),
            speed,
        }
    }
}

impl SpeedEstimator {
    /// Returns the current estimate.
    #[must_use]
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// Records a first event that came `took_ms` after the send, when all of `prefill` had to be done before it.
    pub fn record_first_event(&mut self, prefill: Prefill, took_ms: f64) {
        self.prefill.update(&[1.0, prefill.tokens as f64 / 1e3, prefill.attention_pairs_k as f64 / 1e3], took_ms, 1.0);
        let [base, read, pair] = self.prefill.weights().map(|weight| weight as f32);
        self.speed.base_ms = base;
        self.speed.read_ms = read;
        self.speed.pair_ms = pair;
        self.speed.seen = (self.speed.seen + 1.0).min(MAX_SAMPLES);
    }

    /// Records the longest gap of an answer beside which at most `prefill` was pending.
    pub fn record_pause(&mut self, prefill: Prefill, pause_ms: f64) {
        if prefill.tokens == 0 {
            self.speed.calm_ms += (pause_ms as f32 - self.speed.calm_ms) * EWMA_WEIGHT;
            return;
        }
        let prefill_ms = self.speed.prefill_ms(prefill);
        self.peak.record(pause_ms);
        if prefill_ms < MIN_PREFILL_FACTOR * self.speed.max_stall_ms(prefill).min(self.peak.max_ms()) {
            return;
        }
        // The initial values are no better than the first observations, whichever way they differ.
        let weight = SHORTER_PAUSE_WEIGHT.max(1.0 / (1.0 + f64::from(self.speed.stalls_seen) / PRIOR_SAMPLES));
        self.stalls.update(&[1.0, prefill.depth_k()], pause_ms, weight);
        let [stall, depth] = self.stalls.weights().map(|weight| weight as f32);
        self.speed.stall_ms = stall;
        self.speed.stall_depth_ms = depth;
        self.speed.stalls_seen = (self.speed.stalls_seen + 1.0).min(MAX_SAMPLES);
    }

    /// Records an answer that was expected to have `tokens` tokens and took `took_ms` after its first event.
    pub fn record_answer(&mut self, tokens: u32, took_ms: f64) {
        if tokens > 0 {
            let per_token = (took_ms / f64::from(tokens)) as f32;
            self.speed.out_ms += (per_token - self.speed.out_ms) * EWMA_WEIGHT;
        }
    }
}
