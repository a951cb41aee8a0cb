//! Draws deployments.
//!
//! Ranges are wide: deployments that we know are points in them, and most of what is drawn is like none of these.

use crate::{Burst, Class, Deployment, EngineSpec, Fault, FaultKind};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;

/// How busy engines are without bursts: the part of their time that reading and making tokens takes.
const BUSY: RangeInclusive<f64> = 0.25..=0.85;

/// Draws evenly on a logarithmic scale.
fn wide(rng: &mut ChaCha8Rng, range: RangeInclusive<f64>) -> f64 {
    rng.random_range(range.start().ln()..=range.end().ln()).exp()
}

fn rounded(value: f64) -> f64 {
    let digits = 10_f64.powf(2.0 - value.abs().max(1e-9).log10().floor());
    (value * digits).round() / digits
}

fn engine_spec(rng: &mut ChaCha8Rng) -> EngineSpec {
    EngineSpec {
        slots: wide(rng, 8.0..=256.0) as u32,
        memory_tokens: wide(rng, 100_000.0..=2_000_000.0) as u64,
        token_bytes: wide(rng, 8_000.0..=200_000.0) as u64,
        link_mbps: rounded(wide(rng, 10_000.0..=400_000.0)),
        stride: *[1, 2, 4, 6, 8].choose(rng).expect("not empty"),
        step_ms: rounded(wide(rng, 4.0..=14.0)),
        run_ms: rounded(wide(rng, 0.02..=0.2)),
        read_per_ms: rounded(wide(rng, 10.0..=90.0)),
        piece_tokens: *[512, 1_024, 2_048, 4_096, 8_192].choose(rng).expect("not empty"),
        unlike: rounded(rng.random_range(0.0..=0.3)),
    }
}

/// A class whose engines' share of time is `busy` of all `engines`.
fn class(rng: &mut ChaCha8Rng, index: usize, engine_spec: &EngineSpec, busy: f64, engines: usize) -> Class {
    let shared_tokens = if rng.random_bool(0.8) { wide(rng, 100.0..=16_000.0) as u32 } else { 0 };
    let own_tokens = rounded(wide(rng, 30.0..=4_000.0));
    let out_tokens = rounded(wide(rng, 20.0..=400.0));
    let read_ms = (own_tokens + 0.2 * f64::from(shared_tokens)) / engine_spec.read_per_ms;
    // Beside as many others as half of the places hold.
    let beside = f64::from(engine_spec.slots) / 2.0;
    let token_ms = (engine_spec.step_ms + engine_spec.run_ms * beside) / beside;
    let takes_ms = read_ms + out_tokens * token_ms;
    let step_ms =
        (engine_spec.step_ms + engine_spec.run_ms * f64::from(engine_spec.slots)) * f64::from(engine_spec.stride);
    let piece_ms = f64::from(engine_spec.piece_tokens) / engine_spec.read_per_ms;
    let whole_ms = (f64::from(shared_tokens) + own_tokens) / engine_spec.read_per_ms;
    let aim_ms = rounded((whole_ms * wide(rng, 1.5..=6.0) + step_ms).max(300.0));
    let gap_ms = rounded(step_ms + piece_ms * wide(rng, 0.7..=6.0));
    Class {
        name: format!("class-{index}"),
        per_s: rounded(busy * engines as f64 * 1e3 / takes_ms),
        urgency: rng.random_range(0..=6),
        subjects: wide(rng, 3.0..=400.0) as u64,
        skew: rounded(rng.random_range(0.2..=1.4)),
        shared_tokens,
        own_tokens,
        out_tokens,
        aim_ms,
        gap_ms,
        limit_ms: rounded(aim_ms * wide(rng, 2.0..=6.0) + out_tokens * step_ms),
        worth: rounded(wide(rng, 0.3..=5.0)),
        late: rounded(rng.random_range(0.0..=0.6)),
    }
}

/// A fault of engines that get so many requests a second each.
fn fault(rng: &mut ChaCha8Rng, seconds: f64, per_s: f64) -> Fault {
    let kinds = [FaultKind::Slow, FaultKind::Crash, FaultKind::Leave, FaultKind::Limit];
    let kind = *kinds.choose(rng).expect("not empty");
    let times = if kind == FaultKind::Limit { per_s * wide(rng, 0.2..=0.8) } else { wide(rng, 1.5..=8.0) };
    Fault {
        kind,
        at_s: rounded(rng.random_range(0.1..=0.8) * seconds),
        for_s: rounded(rng.random_range(0.05..=0.3) * seconds),
        share: rounded(rng.random_range(0.05..=0.4)),
        times: rounded(times),
    }
}

impl Deployment {
    /// Draws a deployment of `seconds`, with at most so many boxes and engines.
    #[must_use]
    pub fn draw(seed: u64, seconds: f64, max_machines: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rng = &mut rng;
        let most = max_machines.max(3) as f64;
        let halls = rng.random_range(1..=4);
        let boxes = (wide(rng, 3.0..=most) as usize).max(halls);
        let engines = (wide(rng, 3.0..=most) as usize).max(halls);
        let engine_spec = engine_spec(rng);
        let count = rng.random_range(2..=5);
        let busy = rng.random_range(BUSY);
        let parts: Vec<f64> = (0..count).map(|_| rng.random_range(0.2..=1.0)).collect();
        let whole: f64 = parts.iter().sum();
        let classes: Vec<Class> = parts
            .iter()
            .enumerate()
            .map(|(index, part)| class(rng, index, &engine_spec, busy * part / whole, engines))
            .collect();
        let bursts = (0..rng.random_range(0..=2)).map(|_| Burst {
            class: classes.choose(rng).expect("not empty").name.clone(),
            at_s: rounded(rng.random_range(0.1..=0.8) * seconds),
            for_s: rounded(rng.random_range(0.05..=0.3) * seconds),
            times: rounded(rng.random_range(1.5..=4.0)),
        });
        let bursts: Vec<Burst> = bursts.collect();
        let per_s = classes.iter().map(|class| class.per_s).sum::<f64>() / engines as f64;
        let faults = (0..rng.random_range(0..=3)).map(|_| fault(rng, seconds, per_s)).collect();
        Self {
            name: format!("drawn-{seed}"),
            seconds,
            halls,
            boxes,
            engines,
            near_ms: rounded(rng.random_range(0.1..=0.5)),
            far_ms: rounded(wide(rng, 0.5..=8.0)),
            engine_spec,
            classes,
            bursts,
            faults,
        }
    }
}
