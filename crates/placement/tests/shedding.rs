//! Tests of the counts by which boxes shed less urgent classes.

use placement::{ClassCount, ClassCounts, Shortage, ShortageSums};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Counts from urgencies, requests and refused ones.
fn counts(classes: &[(u8, u32, u32)]) -> ClassCounts {
    let count = |&(urgency, requests, refused): &_| ClassCount { urgency, requests, refused };
    ClassCounts { classes: classes.iter().map(count).collect() }
}

/// Guards against requests that are counted twice, for too long, or not at all when boxes get uneven shares.
#[test]
fn sums_over_boxes_equal_the_counts_of_the_last_second() {
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut boxes, mut sums) = (vec![Shortage::default(); 87], ShortageSums::default());
        let mut recent = [(0, 0); 4];
        for now in 0..5_000 {
            let skewed = (rng.random_range(0.0..1.0_f64).powi(3) * 87.0) as usize;
            let (urgency, refused) = (rng.random_range(0..4), rng.random_bool(0.1));
            boxes[skewed].record(urgency, now);
            if refused {
                boxes[skewed].record_refused(urgency, now);
            }
            if now >= 4_000 {
                recent[usize::from(urgency)].0 += 1;
                recent[usize::from(urgency)].1 += u32::from(refused);
            }
        }
        for (number, shortage) in (0..).zip(&boxes) {
            sums.on_report(address(number), &shortage.report(4_999), 4_999);
        }
        let expected: Vec<_> =
            (0..).zip(recent).map(|(urgency, (requests, refused))| (urgency, requests, refused)).collect();
        assert_eq!(sums.sum(4_999), counts(&expected), "seed {seed}");
    }
}

/// Guards against a class that is served while one in 25 of a more urgent class is refused, and against a class that
/// is shed for a less urgent one or for a few requests.
#[test]
fn a_class_is_shed_by_the_refusals_of_classes_above_only() {
    let mut shortage = Shortage::default();
    shortage.apply(&counts(&[(0, 9, 9), (2, 100, 2), (4, 50, 2), (6, 1_000, 900)]), 0);
    let shed: Vec<f64> = (0..7).map(|urgency| shortage.shed_ratio(urgency, 0)).collect();
    assert_eq!(shed, [0.0, 0.0, 0.0, 0.5, 0.5, 1.0, 1.0]);
    assert_eq!(shortage.refused_above(6, 0), 0.04);
    assert_eq!((shortage.refused_of(0, 0), shortage.refused_of(6, 0), shortage.refused_of(3, 0)), (1.0, 0.9, 0.0));
}

/// Guards against shedding by an owner that hears few boxes, by an old sum, by less than the box knows itself, or by a
/// box that has died.
#[test]
fn the_recent_sum_that_covers_most_requests_counts() {
    let mut shortage = Shortage::default();
    shortage.apply(&counts(&[(1, 1_000, 100)]), 0);
    shortage.apply(&counts(&[(1, 20, 0)]), 500);
    assert_eq!(shortage.refused_of(1, 999), 0.1);
    shortage.apply(&counts(&[(1, 20, 0)]), 1_000);
    assert_eq!(shortage.refused_of(1, 1_000), 0.0);
    for _ in 0..30 {
        shortage.record(1, 1_000);
        shortage.record_refused(1, 1_000);
    }
    assert_eq!((shortage.refused_of(1, 1_999), shortage.refused_of(1, 2_000)), (1.0, 0.0));
    let mut sums = ShortageSums::default();
    sums.on_report(address(1), &counts(&[(0, 40, 40)]), 0);
    sums.on_report(address(2), &counts(&[(0, 60, 0)]), 600);
    assert_eq!((sums.sum(999), sums.sum(1_000)), (counts(&[(0, 100, 40)]), counts(&[(0, 60, 0)])));
}

/// Guards against overflows, ratios above 1 and clocks that jump, whatever other boxes report.
#[test]
fn hostile_counts_neither_panic_nor_leave_the_bounds() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut sums, mut shortage) = (ShortageSums::default(), Shortage::default());
        for _ in 0..100 {
            let number = |rng: &mut ChaCha8Rng| if rng.random() { u32::MAX } else { rng.random_range(0..30) };
            let entries = rng.random_range(0..300);
            let hostile: Vec<_> = (0..entries).map(|_| (rng.random(), number(&mut rng), number(&mut rng))).collect();
            let hostile = counts(&hostile);
            let now = if rng.random_bool(0.1) { rng.random() } else { u64::MAX - rng.random_range(0..1_000) };
            sums.on_report(address(rng.random_range(0..5)), &hostile, now);
            let (sum, urgency) = (sums.sum(now), rng.random());
            assert!(sum.classes.len() <= 10 && sum.classes.iter().all(|class| class.refused <= class.requests));
            shortage.record_refused(urgency, now);
            shortage.apply(if rng.random() { &sum } else { &hostile }, now);
            for ratio in [shortage.refused_of(urgency, now), shortage.shed_ratio(urgency, now)] {
                assert!((0.0..=1.0).contains(&ratio), "seed {seed}: {ratio}");
            }
            assert!((0.0..=1.0).contains(&shortage.refused_above(urgency, now)), "seed {seed}");
        }
    }
}
