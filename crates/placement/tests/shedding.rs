//! Tests of the counts by which boxes shed less urgent classes.

use placement::{ClassCount, ClassCounts, Loss, Shortage, ShortageSums};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Counts from urgencies, requests (all of the last second, slightly larger the less urgent they are) and those that
/// found no slot.
fn counts(classes: &[(u8, u32, u32)]) -> ClassCounts {
    let count = |&(urgency, requests, refused): &_| ClassCount {
        urgency,
        requests,
        work_k: requests.saturating_mul(10_000 + u32::from(urgency)),
        lost: refused,
        recent: requests,
        recent_refused: refused,
    };
    ClassCounts { classes: classes.iter().map(count).collect() }
}

/// Guards against requests that are counted twice, for too long, or not at all when boxes get uneven shares.
#[test]
fn sums_over_boxes_equal_the_counts_of_the_last_five_seconds() {
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut boxes, mut sums) = (vec![Shortage::default(); 87], ShortageSums::default());
        let mut expected = [ClassCount::default(); 4];
        for now in 0..10_000 {
            let skewed = (rng.random_range(0.0..1.0_f64).powi(3) * 87.0) as usize;
            let (urgency, lost) = (rng.random_range(0..4), rng.random_bool(0.1));
            let loss = if rng.random() { Loss::NoSlot } else { Loss::CustomerShare };
            boxes[skewed].record(urgency, 1_000, now);
            if lost {
                boxes[skewed].record_lost(urgency, loss, now);
            }
            let count = &mut expected[usize::from(urgency)];
            if now >= 5_000 {
                (count.urgency, count.requests, count.work_k) = (urgency, count.requests + 1, count.work_k + 1);
                count.lost += u32::from(lost);
            }
            if now >= 9_000 {
                count.recent += 1;
                count.recent_refused += u32::from(lost && loss == Loss::NoSlot);
            }
        }
        for (number, shortage) in (0..).zip(&boxes) {
            sums.on_report(address(number), &shortage.report(9_999), 9_999);
        }
        assert_eq!(sums.sum(9_999).classes, expected, "seed {seed}");
    }
}

/// Guards against a class that is shed by its own losses or those below, or while a less urgent one is still served:
/// what that one is let in for would be lost by the more urgent one.
#[test]
fn a_class_is_shed_by_the_losses_above_and_after_all_classes_below() {
    let shed = |classes: &[(u8, u32, u32)]| -> Vec<f64> {
        let mut shortage = Shortage::default();
        shortage.apply(&counts(classes), 0);
        (0..8).map(|urgency| (shortage.shed_ratio(urgency, u32::MAX, true, 0) * 100.0).round() / 100.0).collect()
    };
    // 80 of the first 2,400, less the first five, are halfway from a 48th to a 24th: half of the work below.
    let some = [(0, 2_400, 80), (3, 200, 0), (6, 100, 0), (7, 100, 90)];
    assert_eq!(shed(&some), [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 1.0]);
    let less = [(0, 2_400, 67), (3, 200, 0), (6, 100, 0), (7, 100, 90)];
    assert_eq!(shed(&less), [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.96]);
    let all = [(0, 2_400, 106), (3, 200, 0), (6, 100, 0)];
    assert_eq!([shed(&all)[3], shed(&all)[6]], [1.0, 1.0]);
    let few = [(0, 20, 5), (3, 200, 0), (6, 100, 0)];
    assert_eq!(shed(&few), [0.0; 8], "five losses in five seconds are half of what counts");
    for seed in 0..1_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let classes: Vec<_> =
            (0..8).map(|urgency| (urgency, rng.random_range(1..500), rng.random_range(0..50))).collect();
        let shed = shed(&classes);
        for class in 1..8 {
            assert!(shed[class - 1] == 0.0 || shed[class] == 1.0, "seed {seed}: {shed:?}");
        }
    }
}

/// Guards against many short requests that are shed for a few more urgent ones with long answers, and against large ones
/// that are served since their class is small on average.
#[test]
fn requests_no_larger_than_the_lost_ones_are_not_shed() {
    let shed = |lost_urgency: u8| {
        let mut shortage = Shortage::default();
        let class = |urgency: u8, work_k| {
            let lost = if urgency == lost_urgency { 200 } else { 0 };
            ClassCount { urgency, requests: 1_000, work_k, lost, ..ClassCount::default() }
        };
        shortage.apply(&ClassCounts { classes: vec![class(0, 3_700), class(3, 2_700), class(6, 15_900)] }, 0);
        [(0, 90_000), (3, 2_600), (3, 3_800), (6, 2_600), (6, 3_800)]
            .map(|(urgency, work)| shortage.shed_ratio(urgency, work, true, 0))
    };
    assert_eq!(shed(0), [0.0, 0.0, 1.0, 0.0, 1.0]);
    assert_eq!(shed(3), [0.0, 0.0, 0.0, 0.0, 1.0]);
}

/// Guards against customers that are told apart in a class while a less urgent one is served.
#[test]
fn the_least_urgent_class_is_the_last_one_that_is_not_shed_entirely() {
    let mut shortage = Shortage::default();
    shortage.apply(&counts(&[(0, 1_000, 0), (3, 200, 0), (6, 100, 0)]), 0);
    assert_eq!([0, 3, 6].map(|urgency| shortage.is_least_urgent(urgency, 0)), [false, false, true]);
    // 60 % of the 410 below are shed: 7, 6, and a part of 3.
    shortage.apply(&counts(&[(0, 2_400, 85), (3, 200, 0), (6, 200, 0), (7, 10, 0)]), 0);
    assert_eq!([0, 3, 6].map(|urgency| shortage.is_least_urgent(urgency, 0)), [false, true, true]);
}

/// Guards against shedding by an owner that hears few boxes, by an old sum, by less than the box knows itself, or by a
/// box that has died.
#[test]
fn the_recent_sum_that_covers_most_requests_counts() {
    let mut shortage = Shortage::default();
    shortage.apply(&counts(&[(1, 1_000, 101)]), 0);
    shortage.apply(&counts(&[(1, 20, 0)]), 500);
    assert_eq!(shortage.refused_of(1, 999), 0.1);
    shortage.apply(&counts(&[(1, 20, 0)]), 1_000);
    assert_eq!(shortage.refused_of(1, 1_000), 0.0);
    for _ in 0..30 {
        shortage.record(1, 1_000, 1_000);
        shortage.record_lost(1, Loss::NoSlot, 1_000);
    }
    assert_eq!((shortage.refused_of(1, 1_999), shortage.refused_of(1, 2_000)), (29.0 / 30.0, 0.0));
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
            assert!(
                sum.classes.len() <= 10
                    && sum.classes.iter().all(|c| c.lost <= c.requests && c.recent_refused <= c.recent)
            );
            shortage.record_lost(urgency, Loss::NoSlot, now);
            shortage.apply(if rng.random() { &sum } else { &hostile }, now);
            for ratio in [shortage.refused_of(urgency, now), shortage.shed_ratio(urgency, rng.random(), true, now)] {
                assert!((0.0..=1.0).contains(&ratio), "seed {seed}: {ratio}");
            }
            let _ = shortage.is_least_urgent(urgency, now);
        }
    }
}

/// Guards against a sum of the last moments of a surge that outlives the later ones for a second: when demand falls, each
/// covers fewer requests than the one before.
#[test]
fn a_sum_that_covers_slightly_fewer_requests_replaces_the_last_one() {
    let mut shortage = Shortage::default();
    shortage.apply(&counts(&[(1, 1_000, 101)]), 0);
    shortage.apply(&counts(&[(1, 950, 0)]), 100);
    assert_eq!(shortage.refused_of(1, 100), 0.0);
}

/// Guards against requests that are shed for a class that loses nothing more, and against less urgent ones that begin within
/// five seconds after a class has lost a twelfth.
#[test]
fn with_free_slots_requests_are_shed_only_for_nearly_a_twelfth() {
    let shed = |lost, is_short| {
        let mut shortage = Shortage::default();
        shortage.apply(&counts(&[(0, 2_400, lost), (6, 100, 0)]), 0);
        shortage.shed_ratio(6, u32::MAX, is_short, 0)
    };
    // Without the first five, 150 of 2,400 are three quarters of a twelfth.
    assert_eq!([shed(154, true), shed(154, false), shed(155, false), shed(205, false)], [1.0, 0.0, 1.0, 1.0]);
}
