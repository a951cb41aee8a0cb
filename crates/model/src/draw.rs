//! Random generation of deployments.
//!
//! The ranges are wide on purpose: known deployments are single points in them, and most drawn deployments resemble
//! none of these.

use crate::{Burst, Class, Deployment, EngineSpec, Fault, FaultKind};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;

/// Utilization of the engines without bursts: the fraction of their time that prefill and generation take.
const UTILIZATION: RangeInclusive<f64> = 0.25..=0.85;

/// Draws from a uniform distribution on a logarithmic scale.
fn log_uniform(rng: &mut ChaCha8Rng, range: RangeInclusive<f64>) -> f64 {
    rng.random_range(range.start().ln()..=range.end().ln()).exp()
}

fn round_to_3_digits(value: f64) -> f64 {
    let digits = 10_f64.powf(2.0 - value.abs().max(1e-9).log10().floor());
    (value * digits).round() / digits
}

fn draw_engine_spec(rng: &mut ChaCha8Rng) -> EngineSpec {
    EngineSpec {
        slots: log_uniform(rng, 8.0..=256.0) as u32,
        memory_tokens: log_uniform(rng, 100_000.0..=2_000_000.0) as u64,
        token_bytes: log_uniform(rng, 8_000.0..=200_000.0) as u64,
        link_mbps: round_to_3_digits(log_uniform(rng, 10_000.0..=400_000.0)),
        tokens_per_event: *[1, 2, 4, 6, 8].choose(rng).expect("non-empty list"),
        step_ms: round_to_3_digits(log_uniform(rng, 4.0..=14.0)),
        per_request_ms: round_to_3_digits(log_uniform(rng, 0.02..=0.2)),
        prefill_tokens_per_ms: round_to_3_digits(log_uniform(rng, 10.0..=90.0)),
        prefill_chunk_tokens: *[512, 1_024, 2_048, 4_096, 8_192].choose(rng).expect("non-empty list"),
        speed_spread: round_to_3_digits(rng.random_range(0.0..=0.3)),
    }
}

/// Draws a class whose requests take the fraction `utilization` of the time of all `engines`.
fn draw_class(rng: &mut ChaCha8Rng, index: usize, engine_spec: &EngineSpec, utilization: f64, engines: usize) -> Class {
    let shared_tokens = if rng.random_bool(0.8) { log_uniform(rng, 100.0..=16_000.0) as u32 } else { 0 };
    let own_tokens = round_to_3_digits(log_uniform(rng, 30.0..=4_000.0));
    let out_tokens = round_to_3_digits(log_uniform(rng, 20.0..=400.0));
    let uncached_prefill_ms = (own_tokens + 0.2 * f64::from(shared_tokens)) / engine_spec.prefill_tokens_per_ms;
    // Assumes that half of the slots are in use.
    let concurrent = f64::from(engine_spec.slots) / 2.0;
    let token_ms = (engine_spec.step_ms + engine_spec.per_request_ms * concurrent) / concurrent;
    let request_ms = uncached_prefill_ms + out_tokens * token_ms;
    let step_ms = (engine_spec.step_ms + engine_spec.per_request_ms * f64::from(engine_spec.slots))
        * f64::from(engine_spec.tokens_per_event);
    let chunk_ms = f64::from(engine_spec.prefill_chunk_tokens) / engine_spec.prefill_tokens_per_ms;
    let prefill_ms = (f64::from(shared_tokens) + own_tokens) / engine_spec.prefill_tokens_per_ms;
    let target_ms = round_to_3_digits((prefill_ms * log_uniform(rng, 1.5..=6.0) + step_ms).max(300.0));
    let gap_ms = round_to_3_digits(step_ms + chunk_ms * log_uniform(rng, 0.7..=6.0));
    Class {
        name: format!("class-{index}"),
        per_s: round_to_3_digits(utilization * engines as f64 * 1e3 / request_ms),
        urgency: rng.random_range(0..=6),
        subjects: log_uniform(rng, 3.0..=400.0) as u64,
        skew: round_to_3_digits(rng.random_range(0.2..=1.4)),
        shared_tokens,
        own_tokens,
        out_tokens,
        target_ms,
        gap_ms,
        timeout_ms: round_to_3_digits(target_ms * log_uniform(rng, 2.0..=6.0) + out_tokens * step_ms),
        worth: round_to_3_digits(log_uniform(rng, 0.3..=5.0)),
        late: round_to_3_digits(rng.random_range(0.0..=0.6)),
    }
}

/// Draws a fault. `requests_per_engine_s` is the average request rate per engine, which scales the limits that engines
/// announce.
fn draw_fault(rng: &mut ChaCha8Rng, seconds: f64, requests_per_engine_s: f64) -> Fault {
    let kinds = [FaultKind::Slow, FaultKind::Crash, FaultKind::Leave, FaultKind::Limit];
    let kind = *kinds.choose(rng).expect("non-empty list");
    let times = if kind == FaultKind::Limit {
        requests_per_engine_s * log_uniform(rng, 0.2..=0.8)
    } else {
        log_uniform(rng, 1.5..=8.0)
    };
    Fault {
        kind,
        at_s: round_to_3_digits(rng.random_range(0.1..=0.8) * seconds),
        for_s: round_to_3_digits(rng.random_range(0.05..=0.3) * seconds),
        share: round_to_3_digits(rng.random_range(0.05..=0.4)),
        times: round_to_3_digits(times),
    }
}

impl Deployment {
    /// Draws a deployment that lasts `seconds`, with at most `max_machines` (at least 3) boxes and as many engines, but
    /// one of each per hall at least.
    #[must_use]
    pub fn draw(seed: u64, seconds: f64, max_machines: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rng = &mut rng;
        let max_machines = max_machines.max(3) as f64;
        let halls = rng.random_range(1..=4);
        let boxes = (log_uniform(rng, 3.0..=max_machines) as usize).max(halls);
        let engines = (log_uniform(rng, 3.0..=max_machines) as usize).max(halls);
        let engine_spec = draw_engine_spec(rng);
        let class_count = rng.random_range(2..=5);
        let utilization = rng.random_range(UTILIZATION);
        let weights: Vec<f64> = (0..class_count).map(|_| rng.random_range(0.2..=1.0)).collect();
        let total_weight: f64 = weights.iter().sum();
        let classes: Vec<Class> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| draw_class(rng, index, &engine_spec, utilization * weight / total_weight, engines))
            .collect();
        let bursts = (0..rng.random_range(0..=2)).map(|_| Burst {
            class: classes.choose(rng).expect("non-empty list").name.clone(),
            at_s: round_to_3_digits(rng.random_range(0.1..=0.8) * seconds),
            for_s: round_to_3_digits(rng.random_range(0.05..=0.3) * seconds),
            times: round_to_3_digits(rng.random_range(1.5..=4.0)),
        });
        let bursts: Vec<Burst> = bursts.collect();
        let requests_per_engine_s = classes.iter().map(|class| class.per_s).sum::<f64>() / engines as f64;
        let faults = (0..rng.random_range(0..=3)).map(|_| draw_fault(rng, seconds, requests_per_engine_s)).collect();
        Self {
            name: format!("drawn-{seed}"),
            seconds,
            halls,
            boxes,
            engines,
            near_ms: round_to_3_digits(rng.random_range(0.1..=0.5)),
            far_ms: round_to_3_digits(log_uniform(rng, 0.5..=8.0)),
            engine_spec,
            classes,
            bursts,
            faults,
        }
    }
}
