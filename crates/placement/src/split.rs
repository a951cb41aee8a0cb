//! Splits the engines of a pool between prompts with long prefill and all others.
//!
//! Prefill stalls the answers beside it: an engine under continuous prefill generates one token per chunk of a
//! prompt. If long prompts go to any engine, all engines do prefill under load, and answers that need short gaps find
//! no engine that provides them. So a share of the engines is preferred for long prompts, and the others for the
//! rest. Every box derives the same order of engines from their instance ids, and the size of the share from the
//! status that owners report, without further communication; it does no harm if the shares of two boxes differ by
//! some engines. The split is a preference and not a partition: what doesn't fit goes to the other side.

use crate::demand::Demand;
use crate::Millis;

/// Target for the share of time that engines for long prompts spend on prefill; above it, waits grow fast.
const MAX_LONG_PREFILL_RATIO: f64 = 0.6;

/// Target for the share of time that the other engines spend on prefill, whose answers should meet little of it.
const MAX_SHORT_PREFILL_RATIO: f64 = 0.2;

/// A prompt is long if its prefill takes this share of the shortest gap limit in the pool: a few such prompts in a
/// row cause a gap that is too long.
const LONG_PREFILL_RATIO: f64 = 0.25;

/// Time constant with which the split follows the demand. A burst of long prompts is over in seconds, and a burst of
/// short ones after it must not meet its split, for which 2 s is too slow; 0.2 s has no advantage. Parts that move
/// between engines meanwhile are fetched.
const TIME_CONSTANT_MS: f64 = 500.0;

/// Largest share of a pool that short prompts get before long ones are served.
const MAX_SHORT_PRIORITY_RATIO: f64 = 0.5;

/// Below this share of a pool, the demand is too small to derive a split from.
const MIN_USAGE_RATIO: f64 = 0.001;

/// Split of a pool's engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Split {
    /// Share of the engines that is preferred for long prompts, from 0 to 1.
    share: f64,
    /// Time of the last update.
    updated_at: Millis,
}

impl Default for Split {
    /// Until demand is known, all engines take long prompts.
    fn default() -> Self {
        Self { share: 1.0, updated_at: 0 }
    }
}

impl Split {
    /// True for an engine that is preferred for long prompts, by its position in the order of engines, from 0 to 1.
    pub(crate) fn prefers_long(&self, position: f64) -> bool {
        position < self.share
    }

    /// Returns the share of the engines that is preferred for long prompts.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Returns the time of the last [`Split::update`].
    pub(crate) fn updated_at(&self) -> Millis {
        self.updated_at
    }

    /// Moves the split towards the current demand: both sides get engines in proportion to what their work needs.
    pub(crate) fn update(&mut self, demand: Demand, now: Millis) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        let long = demand.long.engines_needed(MAX_LONG_PREFILL_RATIO);
        let short = demand.short.engines_needed(MAX_SHORT_PREFILL_RATIO);
        if long + short < MIN_USAGE_RATIO {
            return;
        }
        let target = share(long, short);
        self.share += (target - self.share) * (1.0 - (-elapsed / TIME_CONSTANT_MS).exp());
    }
}

/// Returns the share of a pool for long prompts, if their work needs `long` pools of its size and the rest `short`.
///
/// If there is enough for both, each gets its part in proportion. Otherwise short prompts get what they need, up to
/// half: prefill can wait in a queue, while an answer stalled by prefill is late.
fn share(long: f64, short: f64) -> f64 {
    let proportional = short / (long + short);
    1.0 - proportional.max(short.min(MAX_SHORT_PRIORITY_RATIO))
}

/// Returns how much a prompt counts as long, from 0 to 1, given its prefill time and the shortest gap limit in the
/// pool, both in milliseconds; 0 without a gap limit.
pub(crate) fn longness(prefill_ms: f64, gap_ms: f64) -> f64 {
    if gap_ms <= 0.0 {
        return 0.0;
    }
    (prefill_ms / (LONG_PREFILL_RATIO * gap_ms) - 0.5).clamp(0.0, 1.0)
}

/// True if a prompt counts as long.
pub(crate) fn is_long(longness: f64) -> bool {
    longness >= 0.5
}
