//! Learns one engine's speed from what is seen of its answers.

use crate::least_squares::LeastSquares;
use crate::{Prefill, Speed};

/// How much the newest observation of a mean counts: about the last ten do.
const EWMA_WEIGHT: f32 = 0.1;

/// Observations are counted up to about so many: older ones hardly weigh in the fits.
const MAX_SAMPLES: f32 = 40.0;

/// How much longer than the longest expected pause a reading must take for the pauses beside it to say how long they
/// get. Chosen by what is read and not by the pause that came of it: short pauses would choose themselves.
const MIN_PREFILL_FACTOR: f64 = 1.3;

/// How much a pause counts that was shorter than expected: often less was read beside it than was known of, since the
/// server kept more of the prompts.
const SHORTER_PAUSE_WEIGHT: f64 = 0.2;

/// Pauses that weigh as much as the first guess.
const PRIOR_SAMPLES: f64 = 8.0;

/// Pauses that must have been seen before the longest of them says how long they get.
const MIN_PEAK_SAMPLES: u32 = 6;

/// How much of the way to a shorter pause the longest one shrinks.
const PEAK_DECAY_RATIO: f64 = 0.02;

/// The longest pause seen lately, beside any reading.
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

    /// The longest that pauses are known to get; without a bound until enough were seen.
    fn max_ms(&self) -> f64 {
        if self.samples < MIN_PEAK_SAMPLES {
            f64::INFINITY
        } else {
            self.ms
        }
    }
}

/// Learns one engine's [`Speed`].
#[derive(Clone, Debug)]
pub struct SpeedEstimator {
    /// Over one, thousands of tokens and millions of pairs.
    prefill: LeastSquares<3>,
    /// Over one and thousands of tokens that stand before what is read.
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
    /// What was learned.
    #[must_use]
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// A first event came so long after the send, when all of `reading` had to be read before it.
    pub fn record_first_event(&mut self, prefill: Prefill, took_ms: f64) {
        self.prefill.update(&[1.0, prefill.tokens as f64 / 1e3, prefill.attention_pairs_k as f64 / 1e3], took_ms, 1.0);
        let [base, read, pair] = self.prefill.weights().map(|weight| weight as f32);
        self.speed.base_ms = base;
        self.speed.read_ms = read;
        self.speed.pair_ms = pair;
        self.speed.seen = (self.speed.seen + 1.0).min(MAX_SAMPLES);
    }

    /// An answer's longest pause was this long, and the most that was read beside it was `reading`.
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
        // The first guess is no better than the first pauses, whichever way they differ from it.
        let weight = SHORTER_PAUSE_WEIGHT.max(1.0 / (1.0 + f64::from(self.speed.stalls_seen) / PRIOR_SAMPLES));
        self.stalls.update(&[1.0, prefill.depth_k()], pause_ms, weight);
        let [stall, depth] = self.stalls.weights().map(|weight| weight as f32);
        self.speed.stall_ms = stall;
        self.speed.stall_depth_ms = depth;
        self.speed.stalls_seen = (self.speed.stalls_seen + 1.0).min(MAX_SAMPLES);
    }

    /// An answer that was expected to have so many tokens took this long after its first event.
    pub fn record_answer(&mut self, tokens: u32, took_ms: f64) {
        if tokens > 0 {
            let per_token = (took_ms / f64::from(tokens)) as f32;
            self.speed.out_ms += (per_token - self.speed.out_ms) * EWMA_WEIGHT;
        }
    }
}
