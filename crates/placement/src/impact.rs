//! How many answers a choice is expected to make late.

use crate::{Load, Speed, Work};

/// How far pauses and memory differ from what is expected, as a part of it: a pause expected to be this much shorter than
/// what an answer bears may be too long, one that is this much longer may be borne.
const UNCERTAINTY_RATIO: f64 = 0.08;

/// The part of its aim up to which an expected first event is sure to come in time: what comes between a choice and the
/// reading, as other boxes' requests, makes waits longer and never shorter.
const CERTAIN_WAIT_RATIO: f64 = 0.6;

/// The chance that the first event comes after the aim.
pub(crate) fn first_event_late(wait_ms: f64, target_ms: f64) -> f64 {
    ((wait_ms / target_ms.max(1.0) - CERTAIN_WAIT_RATIO) / (1.0 - CERTAIN_WAIT_RATIO)).clamp(0.0, 1.0)
}

/// The chance that something expected to be so much, as a pause or the memory that answers will fill, is more than `most`.
pub(crate) fn exceeds(expected: f64, limit: f64) -> f64 {
    ((expected / limit.max(1.0) - 1.0 + UNCERTAINTY_RATIO) / (2.0 * UNCERTAINTY_RATIO)).clamp(0.0, 1.0)
}

/// The chance that one of the stalls that come `per_second` makes an answer late that takes so long.
pub(crate) fn stall_probability(per_second: f64, took_ms: f64) -> f64 {
    1.0 - (-per_second * took_ms / 1e3).exp()
}

/// How many of those that run are put back and read again: for want of memory before they have ended, or of a place.
pub(crate) fn preemptions(load: &Load, work: &Work, memory: u64, slots: u32) -> f64 {
    let displaces = load.running >= slots && load.not_displaced_by(work.urgency) < slots;
    exceeds((load.held + u64::from(work.held)) as f64, memory as f64) + if displaces { 1.0 } else { 0.0 }
}

/// How many answers running beside it become late when `work` is added to a load.
pub(crate) fn others_late(load: &Load, work: &Work, speed: &Speed) -> f64 {
    if work.prefill.tokens == 0 {
        return 0.0;
    }
    let before = speed.expected_stall_ms(load.prefill);
    let after = speed.expected_stall_ms(load.prefill.plus(work.prefill));
    let late = |gap_ms: u32, ms: f64| exceeds(ms, f64::from(gap_ms));
    load.gap_limits
        .iter()
        .map(|(gap, count)| f64::from(*count) * (late(*gap, after) - late(*gap, before)).max(0.0))
        .sum()
}
