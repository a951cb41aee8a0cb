//! Observed speed of an engine.

use crate::Prefill;
use serde::{Deserialize, Serialize};

/// Number of an engine's own observations that weigh as much as the mean of other engines of its pool.
const PRIOR_SAMPLES: f32 = 4.0;

/// Speed of an engine at prefill and generation, and the stalls that its prefill causes in other answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Milliseconds from a send to its first event that are not spent on prefill.
    pub base_ms: f32,
    /// Milliseconds of prefill per thousand tokens.
    pub read_ms: f32,
    /// Milliseconds of prefill per million attention pairs.
    pub pair_ms: f32,
    /// Milliseconds per generated token, under the current load.
    pub out_ms: f32,
    /// Observations behind these figures; old ones count less.
    pub seen: f32,
    /// Longest gap between two events of an answer without concurrent prefill, in milliseconds.
    pub calm_ms: f32,
    /// Longest gap between two events under continuous prefill, in milliseconds, with no context before the tokens
    /// that are processed.
    pub stall_ms: f32,
    /// Increase of that gap per thousand tokens of context.
    pub stall_depth_ms: f32,
    /// Observations behind the two stall figures.
    pub stalls_seen: f32,
}

impl Default for Speed {
    /// Initial values: the middle of published figures for engines, from 10 to 60 ms per thousand tokens and some
    /// hundred milliseconds per event during prefill. A handful of observations outweighs them.
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
    /// Returns the milliseconds that a prefill takes.
    #[must_use]
    pub fn prefill_ms(&self, prefill: Prefill) -> f64 {
        let tokens = prefill.tokens as f64 / 1e3 * f64::from(self.read_ms);
        tokens + prefill.attention_pairs_k as f64 / 1e3 * f64::from(self.pair_ms)
    }

    /// Returns the number of tokens processed between two events at most.
    #[must_use]
    pub fn chunk_tokens(&self) -> u32 {
        (self.stall_ms / self.read_ms.max(f32::MIN_POSITIVE) * 1e3) as u32
    }

    /// Returns the longest gap between two events of concurrent answers, in milliseconds, that this prefill is
    /// expected to cause.
    #[must_use]
    pub fn expected_stall_ms(&self, prefill: Prefill) -> f64 {
        if prefill.tokens == 0 {
            return 0.0;
        }
        (self.prefill_ms(prefill) + f64::from(self.calm_ms)).min(self.max_stall_ms(prefill))
    }

    /// Returns the longest such gap at the depth of `prefill`, whatever its size.
    #[must_use]
    pub fn max_stall_ms(&self, prefill: Prefill) -> f64 {
        f64::from(self.stall_ms) + prefill.depth_k() * f64::from(self.stall_depth_ms)
    }

    /// Returns the mean of several, weighted by their observations up to `max_samples` each; the default if there are
    /// none.
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

    /// Returns a blend of this, weighted by its observations, and `other`.
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

/// Returns the ratio of `weight` to its sum with `before`.
fn weight_ratio(weight: f32, before: f32) -> f32 {
    if weight <= 0.0 {
        return 0.0;
    }
    weight / (weight + before)
}
