//! Expected number of answers that a placement makes late.

use crate::{Load, Speed, Work};

/// Relative uncertainty of expected pauses and memory use. A pause expected to be shorter than the limit by up to
/// this ratio may exceed it, and one expected to be longer by up to this ratio may stay below it.
const UNCERTAINTY_RATIO: f64 = 0.08;

/// Share of the latency target up to which an expected first event is certain to be in time. Events between a
/// placement and the prefill, such as requests from other boxes, make waits longer and never shorter.
const CERTAIN_WAIT_RATIO: f64 = 0.6;

/// Returns the probability that the first event comes after the target.
pub(crate) fn first_event_late(wait_ms: f64, target_ms: f64) -> f64 {
    ((wait_ms / target_ms.max(1.0) - CERTAIN_WAIT_RATIO) / (1.0 - CERTAIN_WAIT_RATIO)).clamp(0.0, 1.0)
}

/// Returns the probability that a quantity with this expected value, such as a pause or the memory that answers will
/// use, exceeds `limit`.
pub(crate) fn exceeds(expected: f64, limit: f64) -> f64 {
    ((expected / limit.max(1.0) - 1.0 + UNCERTAINTY_RATIO) / (2.0 * UNCERTAINTY_RATIO)).clamp(0.0, 1.0)
}

/// Returns the probability that an answer that takes `took_ms` is made late by one of `per_second` stalls.
pub(crate) fn stall_probability(per_second: f64, took_ms: f64) -> f64 {
    1.0 - (-per_second * took_ms / 1e3).exp()
}

/// Returns the expected number of running requests that the engine preempts and prefills again, for want of memory
/// before they complete or for want of a slot.
pub(crate) fn preemptions(load: &Load, work: &Work, memory: u64, slots: u32) -> f64 {
    let displaces = load.running >= slots && load.not_displaced_by(work.urgency) < slots;
    exceeds((load.held + u64::from(work.held)) as f64, memory as f64) + if displaces { 1.0 } else { 0.0 }
}

/// Returns the expected number of running answers that become late when `work` is added to a load.
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
