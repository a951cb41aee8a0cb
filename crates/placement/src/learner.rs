//! Learns one engine's speed from what is seen of its answers.

use crate::fit::Fit;
use crate::{Reading, Speed};

/// How much the newest observation of a mean counts: about the last ten do.
const NEWEST: f32 = 0.1;

/// Observations are counted up to about so many: older ones hardly weigh in the fits.
const SEEN_MOST: f32 = 40.0;

/// How much longer than a pause the reading beside it must have taken to say that the pause was as long as pauses get.
const BOUND_BY_STEPS: f64 = 1.5;

/// How much a pause counts that was shorter than expected: often less was read beside it than was known of, since the
/// server kept more of the prompts.
const SHORTER_PAUSE: f64 = 0.2;

/// Pauses that weigh as much as the first guess.
const GUESS_SEEN: f64 = 8.0;

/// Learns one engine's [`Speed`].
#[derive(Clone, Debug)]
pub struct Learner {
    /// Over one, thousands of tokens and millions of pairs.
    reading: Fit<3>,
    /// Over one and thousands of tokens that stand before what is read.
    stalls: Fit<2>,
    speed: Speed,
}

impl Default for Learner {
    fn default() -> Self {
        let speed = Speed::default();
        Self {
            reading: Fit::new([speed.base_ms, speed.read_ms, speed.pair_ms].map(f64::from)),
            stalls: Fit::new([speed.stall_ms, speed.stall_depth_ms].map(f64::from)),
            speed,
        }
    }
}

impl Learner {
    /// What was learned.
    #[must_use]
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// A first event came so long after the send, when all of `reading` had to be read before it.
    pub fn first_event(&mut self, reading: Reading, took_ms: f64) {
        self.reading.learn(&[1.0, reading.tokens as f64 / 1e3, reading.pairs_k as f64 / 1e3], took_ms, 1.0);
        let [base, read, pair] = self.reading.weights().map(|weight| weight as f32);
        self.speed.base_ms = base;
        self.speed.read_ms = read;
        self.speed.pair_ms = pair;
        self.speed.seen = (self.speed.seen + 1.0).min(SEEN_MOST);
    }

    /// An answer's longest pause was this long, and the most that was read beside it was `reading`.
    pub fn pause(&mut self, reading: Reading, pause_ms: f64) {
        if reading.tokens == 0 || self.speed.read(reading) < BOUND_BY_STEPS * pause_ms {
            return;
        }
        // The first guess is no better than the first pauses, whichever way they differ from it.
        let shorter = SHORTER_PAUSE.max(1.0 / (1.0 + f64::from(self.speed.stalls_seen) / GUESS_SEEN));
        self.stalls.learn(&[1.0, reading.depth_k()], pause_ms, shorter);
        let [stall, depth] = self.stalls.weights().map(|weight| weight as f32);
        self.speed.stall_ms = stall;
        self.speed.stall_depth_ms = depth;
        self.speed.stalls_seen = (self.speed.stalls_seen + 1.0).min(SEEN_MOST);
    }

    /// An answer that was expected to have so many tokens took this long after its first event.
    pub fn answer(&mut self, tokens: u32, took_ms: f64) {
        if tokens > 0 {
            let per_token = (took_ms / f64::from(tokens)) as f32;
            self.speed.out_ms += (per_token - self.speed.out_ms) * NEWEST;
        }
    }
}
