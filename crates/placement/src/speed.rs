//! What an engine was observed to take.

use crate::Prefill;
use serde::{Deserialize, Serialize};

/// Observations of its own that count as much as what is known of other engines of the same pool.
const PRIOR_SAMPLES: f32 = 4.0;

/// How fast an engine reads prompts and answers, and how long its reading holds up the answers beside it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Milliseconds from a send to its first event that are not spent reading.
    pub base_ms: f32,
    /// Milliseconds for reading a thousand tokens.
    pub read_ms: f32,
    /// Milliseconds for a million pairs of a token that is read and one before it.
    pub pair_ms: f32,
    /// Milliseconds for a generated token, with all that runs beside it.
    pub out_ms: f32,
    /// Observations behind these figures; old ones count less.
    pub seen: f32,
    /// Longest pause between two events of an answer beside which nothing is read, in milliseconds.
    pub calm_ms: f32,
    /// Longest pause between two events that reading without an end makes, in milliseconds, if nothing stands before
    /// what is read.
    pub stall_ms: f32,
    /// How much longer it is for each thousand tokens that stand before.
    pub stall_depth_ms: f32,
    /// Observations behind these two.
    pub stalls_seen: f32,
}

impl Default for Speed {
    /// Before anything was observed: the middle of what published engines take, from 10 to 60 ms for a thousand tokens,
    /// and some hundred for an event beside reading. A handful of observations outweighs it.
    fn default() -> Self {
        Self {
            base_ms: 20.0,
            read_ms: 25.0,
            pair_ms: 0.4,
            out_ms: 15.0,
            seen: 0.0,
            calm_ms: 30.0,
            stall_ms: 200.0,
            stall_depth_ms: 4.0,
            stalls_seen: 0.0,
        }
    }
}

impl Speed {
    /// Milliseconds for reading.
    #[must_use]
    pub fn prefill_ms(&self, prefill: Prefill) -> f64 {
        let tokens = prefill.tokens as f64 / 1e3 * f64::from(self.read_ms);
        tokens + prefill.attention_pairs_k as f64 / 1e3 * f64::from(self.pair_ms)
    }

    /// Tokens that are read between two events at most.
    #[must_use]
    pub fn chunk_tokens(&self) -> u32 {
        (self.stall_ms / self.read_ms.max(f32::MIN_POSITIVE) * 1e3) as u32
    }

    /// The longest pause between two events of answers beside it, in milliseconds, that reading all this makes.
    #[must_use]
    pub fn expected_stall_ms(&self, prefill: Prefill) -> f64 {
        if prefill.tokens == 0 {
            return 0.0;
        }
        (self.prefill_ms(prefill) + f64::from(self.calm_ms)).min(self.max_stall_ms(prefill))
    }

    /// The longest such pause at the depth of `reading`, however much is read.
    #[must_use]
    pub fn max_stall_ms(&self, prefill: Prefill) -> f64 {
        f64::from(self.stall_ms) + prefill.depth_k() * f64::from(self.stall_depth_ms)
    }

    /// The mean of several, weighted by their observations up to `most` each; the default where there are none.
    #[must_use]
    pub fn mean<'a>(speeds: impl Iterator<Item = &'a Self>, max_samples: f32) -> Self {
        let mut mean = Self::default();
        for speed in speeds {
            let weight = speed.seen.min(max_samples);
            mean.blend_reading(speed, weight_ratio(weight, mean.seen));
            mean.seen += weight;
            let weight = speed.stalls_seen.min(max_samples);
            mean.blend_stalls(speed, weight_ratio(weight, mean.stalls_seen));
            mean.stalls_seen += weight;
        }
        mean
    }

    /// This, as far as it rests on observations, and `other` for the rest.
    #[must_use]
    pub fn or_fallback(&self, other: &Self) -> Self {
        let mut blended = *self;
        blended.blend_reading(other, weight_ratio(PRIOR_SAMPLES, self.seen));
        blended.blend_stalls(other, weight_ratio(PRIOR_SAMPLES, self.stalls_seen));
        blended
    }

    fn blend_reading(&mut self, other: &Self, share: f32) {
        for (own, other) in [
            (&mut self.base_ms, other.base_ms),
            (&mut self.read_ms, other.read_ms),
            (&mut self.pair_ms, other.pair_ms),
            (&mut self.out_ms, other.out_ms),
            (&mut self.calm_ms, other.calm_ms),
        ] {
            *own += (other - *own) * share;
        }
    }

    fn blend_stalls(&mut self, other: &Self, share: f32) {
        self.stall_ms += (other.stall_ms - self.stall_ms) * share;
        self.stall_depth_ms += (other.stall_depth_ms - self.stall_depth_ms) * share;
    }
}

/// The part that `weight` is of itself and what was there before.
fn weight_ratio(weight: f32, before: f32) -> f32 {
    if weight <= 0.0 {
        return 0.0;
    }
    weight / (weight + before)
}
