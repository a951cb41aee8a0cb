//! How the engines of a pool are divided between prompts that take long to read and those that don't.
//!
//! Reading holds up the answers beside it: an engine that reads without an end gives one token for each piece of a prompt.
//! Where long prompts go to any engine, all of them read under load, and no answer that bears no long pause finds one
//! that doesn't. So a part of the engines is preferred for long prompts, and the others for the rest. Every box derives
//! the same order of engines from their lives, and the size of the part from what owners say, without a word between
//! them; two boxes whose parts differ by some engines do no harm. It is a preference and not a wall: what does not fit
//! goes to the other side.

use crate::demand::Demand;
use crate::Millis;

/// The part of their time that engines for long prompts are to spend reading: beyond, waits grow fast.
const MAX_LONG_PREFILL_RATIO: f64 = 0.6;

/// The same of the other engines, where answers are to meet little of it.
const MAX_SHORT_PREFILL_RATIO: f64 = 0.2;

/// A prompt is long where reading it takes this part of the shortest pause that answers of the pool bear: a few of them
/// in a row make a pause too long.
const LONG_PREFILL_RATIO: f64 = 0.25;

/// How long the division takes to follow most of the way. A burst of long prompts is over in seconds, and a burst of short
/// ones that follows it must not meet its division: over 2 s worth is 0.767, over 0.5 s 0.787, over 0.2 s 0.783 (mean of four
/// runs of two days with such bursts). Parts that move between engines meanwhile are fetched.
const TIME_CONSTANT_MS: f64 = 500.0;

/// The part of a pool that short prompts get at most before long ones are served.
const MAX_SHORT_PRIORITY_RATIO: f64 = 0.5;

/// Work below this part of a pool says nothing of how to divide it.
const MIN_USAGE_RATIO: f64 = 0.001;

/// The division of a pool's engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Split {
    /// The part of the engines that is preferred for long prompts, from 0 to 1.
    share: f64,
    /// When it was last looked at.
    updated_at: Millis,
}

impl Default for Split {
    /// Before anything is known, every engine reads.
    fn default() -> Self {
        Self { share: 1.0, updated_at: 0 }
    }
}

impl Split {
    /// True for an engine that is preferred for long prompts, by its position in the order of engines, from 0 to 1.
    pub(crate) fn prefers_long(&self, position: f64) -> bool {
        position < self.share
    }

    /// The part of the engines that is preferred for long prompts.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// When [`Split::follow`] was last called.
    pub(crate) fn updated_at(&self) -> Millis {
        self.updated_at
    }

    /// Moves towards what is needed now: both sides get engines in proportion to what their work takes.
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

/// The part of a pool that long prompts are to get, where their work takes `long` pools of its size and the rest `short`.
///
/// Where there is enough for both, each gets its part in proportion. Where there isn't, the short ones get what they take, up
/// to half: reading waits in a queue, while an answer that reading holds up is late.
fn share(long: f64, short: f64) -> f64 {
    let even = short / (long + short);
    1.0 - even.max(short.min(MAX_SHORT_PRIORITY_RATIO))
}

/// How much a prompt counts as long, from 0 to 1, by what it takes to read and the shortest pause that answers of the
/// pool bear, both in milliseconds; 0 where they bear any pause.
pub(crate) fn longness(read_ms: f64, gap_ms: f64) -> f64 {
    if gap_ms <= 0.0 {
        return 0.0;
    }
    (read_ms / (LONG_PREFILL_RATIO * gap_ms) - 0.5).clamp(0.0, 1.0)
}

/// True for what counts as long rather than short.
pub(crate) fn is_long(longness: f64) -> bool {
    longness >= 0.5
}
