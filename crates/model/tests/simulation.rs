//! Simulations of whole deployments.

use model::{Arm, Class, Deployment, EngineSpec, Fault, FaultKind, Outcome, Simulation};

fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 400_000,
        token_bytes: 20_000,
        link_mbps: 100_000.0,
        tokens_per_event: 4,
        step_ms: 8.0,
        per_request_ms: 0.05,
        prefill_tokens_per_ms: 40.0,
        prefill_chunk_tokens: 2_048,
        speed_spread: 0.0,
    }
}

fn class(name: &str, per_s: f64) -> Class {
    Class {
        name: name.to_owned(),
        per_s,
        urgency: 1,
        subjects: 10,
        skew: 0.8,
        shared_tokens: 4_000,
        own_tokens: 200.0,
        out_tokens: 60.0,
        target_ms: 1_000.0,
        gap_ms: 300.0,
        timeout_ms: 8_000.0,
        worth: 1.0,
        late: 0.3,
    }
}

fn deployment(per_s: f64) -> Deployment {
    Deployment {
        name: "test".to_owned(),
        seconds: 20.0,
        halls: 2,
        boxes: 6,
        engines: 6,
        near_ms: 0.3,
        far_ms: 2.0,
        engine_spec: engine_spec(),
        classes: vec![class("talk", per_s)],
        bursts: Vec::new(),
        faults: Vec::new(),
    }
}

fn simulate(deployment: &Deployment, arm: Arm) -> Outcome {
    Simulation::new(deployment, arm, 7).run()
}

/// Asserts that every request ended in exactly one way, and that no answer is worth more than one in time.
fn assert_consistent(deployment: &Deployment, outcome: &Outcome, context: &str) {
    for (class, class_outcome) in deployment.classes.iter().zip(&outcome.classes) {
        let ended = class_outcome.in_time + class_outcome.late + class_outcome.refused + class_outcome.lost;
        assert_eq!(class_outcome.requests, ended, "{context}: {class_outcome:?}");
        assert!(class_outcome.worth <= class_outcome.max_worth, "{context}: {class_outcome:?}");
        assert!(
            (class_outcome.max_worth - class.worth * class_outcome.requests as f64).abs()
                < 1e-6 * class_outcome.max_worth.max(1.0),
            "{context}"
        );
    }
}

#[test]
fn every_arm_answers_in_time_at_low_load() {
    let deployment = deployment(6.0);
    for arm in Arm::ALL {
        let outcome = simulate(&deployment, arm);
        let talk = &outcome.classes[0];
        assert_consistent(&deployment, &outcome, arm.as_str());
        assert!(talk.requests > 80, "{talk:?}");
        assert!(talk.in_time as f64 >= 0.97 * talk.requests as f64, "{}: {talk:?}", arm.as_str());
        assert!(talk.first_ms[0] <= talk.first_ms[1]);
    }
}

#[test]
fn drawn_deployments_complete_and_repeat_exactly() {
    for seed in 1..=12 {
        let deployment = Deployment::draw(seed, 6.0, 12);
        for arm in [Arm::Placement, Arm::Two] {
            let outcome = Simulation::new(&deployment, arm, seed).run();
            assert_consistent(&deployment, &outcome, &deployment.name);
            assert_eq!(outcome, Simulation::new(&deployment, arm, seed).run(), "{}", deployment.name);
        }
    }
}

#[test]
fn all_arms_get_the_same_arrivals() {
    let deployment = deployment(20.0);
    let requests: Vec<u64> = Arm::ALL.iter().map(|arm| simulate(&deployment, *arm).classes[0].requests).collect();
    assert!(requests.iter().all(|count| *count == requests[0]), "{requests:?}");
    let other = Simulation::new(&deployment, Arm::Least, 8).run();
    assert_ne!(other.classes[0].requests, requests[0], "another seed gives other arrivals");
}

#[test]
fn prefix_arm_recomputes_fewer_shared_parts() {
    let deployment = deployment(30.0);
    let by_prefix = simulate(&deployment, Arm::Prefix);
    let least_loaded = simulate(&deployment, Arm::Least);
    assert!(
        by_prefix.recomputed_tokens * 2 < least_loaded.recomputed_tokens,
        "{} and {}",
        by_prefix.recomputed_tokens,
        least_loaded.recomputed_tokens
    );
    // Arrivals are the same, so the difference in prefilled tokens comes from recomputed ones.
    let (prefilled_diff, recomputed_diff) = (
        least_loaded.prefilled_tokens - by_prefix.prefilled_tokens,
        least_loaded.recomputed_tokens - by_prefix.recomputed_tokens,
    );
    assert!(
        prefilled_diff.abs_diff(recomputed_diff) * 10 <= recomputed_diff,
        "{prefilled_diff} fewer tokens prefilled, {recomputed_diff} fewer recomputed"
    );
    assert_eq!(least_loaded.fetched_tokens, 0, "baseline arms fetch nothing");
    // At most each of ten parts once at each of six engines. The first prefill of a part doesn't count, but concurrent
    // requests for the same part each do.
    assert!(least_loaded.recomputed_tokens <= 10 * 6 * 4_000, "{}", least_loaded.recomputed_tokens);
}

#[test]
fn smaller_prefill_chunks_delay_other_requests_less() {
    let mut deployment = deployment(20.0);
    deployment.classes[0].subjects = 100_000;
    deployment.classes[0].skew = 0.0;
    deployment.classes[0].shared_tokens = 12_000;
    deployment.classes[0].gap_ms = 150.0;
    deployment.engine_spec.prefill_chunk_tokens = 8_192;
    let large = simulate(&deployment, Arm::Least).classes[0].clone();
    deployment.engine_spec.prefill_chunk_tokens = 512;
    let small = simulate(&deployment, Arm::Least).classes[0].clone();
    assert!(small.in_time > 2 * large.in_time, "{small:?} and {large:?}");
}

#[test]
fn requests_preempted_for_memory_still_end() {
    let mut deployment = deployment(40.0);
    deployment.engine_spec.memory_tokens = 9_000;
    deployment.classes[0].out_tokens = 300.0;
    let outcome = simulate(&deployment, Arm::Least);
    assert!(outcome.preempted > 0);
    assert_consistent(&deployment, &outcome, "little memory");
    assert!(outcome.classes[0].in_time + outcome.classes[0].late > 0);
    // A prompt larger than the engine's memory is never prefilled.
    deployment.engine_spec.memory_tokens = 3_000;
    let outcome = simulate(&deployment, Arm::Least);
    assert_eq!(outcome.classes[0].lost, outcome.classes[0].requests);
}

#[test]
fn faults_do_not_raise_the_worth_and_every_request_ends() {
    let without_faults = simulate(&deployment(30.0), Arm::Placement);
    for (kind, share) in
        [(FaultKind::Slow, 0.5), (FaultKind::Crash, 0.5), (FaultKind::Leave, 0.5), (FaultKind::Crash, 1.0)]
    {
        let mut deployment = deployment(30.0);
        deployment.faults.push(Fault { kind, at_s: 5.0, for_s: 5.0, share, times: 6.0 });
        for arm in [Arm::Placement, Arm::Least] {
            let outcome = simulate(&deployment, arm);
            assert_consistent(&deployment, &outcome, &format!("{kind:?}"));
            assert!(outcome.worth() > 0.3, "{kind:?} at {share}, {}: {}", arm.as_str(), outcome.worth());
        }
        let worth_with_fault = simulate(&deployment, Arm::Placement).worth();
        assert!(
            worth_with_fault < without_faults.worth() + 0.01,
            "{kind:?} at {share}: {worth_with_fault}, {} without",
            without_faults.worth()
        );
    }
}

#[test]
fn querying_owners_raises_the_worth_at_high_load() {
    let deployment = deployment(60.0);
    let with_owners = simulate(&deployment, Arm::Placement).worth();
    let without_owners = simulate(&deployment, Arm::WithoutOwners).worth();
    assert!(with_owners > without_owners, "{with_owners} and {without_owners}");
}

/// Guards against a panic when the only running request of an engine generates more than its memory holds: more was
/// released than had been counted.
#[test]
fn a_lone_request_that_outgrows_the_memory_is_counted_as_it_is_released() {
    for memory_tokens in [4_400, 4_600, 5_000, 9_000] {
        let mut deployment = deployment(2.0);
        deployment.classes[0].out_tokens = 300.0;
        deployment.engine_spec.memory_tokens = memory_tokens;
        let outcome = simulate(&deployment, Arm::Least);
        assert_consistent(&deployment, &outcome, &format!("{memory_tokens} tokens"));
    }
}
