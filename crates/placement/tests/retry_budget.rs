//! Tests that the second sends of all boxes together stay within the bound.

use placement::RetryBudget;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW: u64 = 10_000;
const BOXES: usize = 7;

#[test]
fn second_sends_stay_within_the_bound_for_uneven_boxes() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budgets = vec![RetryBudget::new(RATIO, SLACK, WINDOW); BOXES];
        let (mut first, mut second) = (Vec::new(), Vec::new());
        for now in (0..40_000_u64).step_by(20) {
            let at = if rng.random_bool(0.7) { 0 } else { rng.random_range(0..BOXES) };
            budgets[at].record_request(now);
            first.push(now);
            while budgets[at].take_retry(BOXES, now) {
                second.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|t| **t + WINDOW >= now).count() as f64;
            let bound = RATIO * within(&first) + SLACK;
            assert!(within(&second) <= bound, "seed {seed}, {now} ms: {} of {bound}", within(&second));
        }
    }
}

#[test]
fn slack_is_restored_after_the_window() {
    let mut budget = RetryBudget::new(0.0, 20.0, WINDOW);
    let taken = (0..50).filter(|_| budget.take_retry(BOXES, 0)).count();
    assert_eq!(taken, 2);
    assert!(!budget.take_retry(BOXES, WINDOW));
    assert!(budget.take_retry(BOXES, WINDOW + 1));
}
