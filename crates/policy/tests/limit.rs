//! Customers' limits: what is told to their keepers, and what isn't.

use catalog::{BoxId, CustomerId};
use policy::{Quota, Time, UsageMeter, UsageTable};
use std::collections::BTreeSet;

const CUSTOMER: CustomerId = CustomerId(7);
const SHARE: Quota = Quota { weight: 1, max_concurrent: 3, max_tokens_per_minute: 0 };
const A: BoxId = BoxId(1);
const B: BoxId = BoxId(2);

/// One second's telling, and what comes back.
fn tell(meter: &mut UsageMeter, keeper: &mut UsageTable, from: BoxId, now: Time) -> usize {
    let usages = meter.usage_to_report(now);
    let others = keeper.record(from, &usages, now);
    meter.record_others(&others, now);
    usages.len()
}

#[test]
fn what_has_not_changed_is_told_seldom() {
    let (mut meter, mut keeper) = (UsageMeter::default(), UsageTable::default());
    assert!(meter.admit(CUSTOMER, SHARE, Time(0)));
    let told: usize = (1..=60).map(|s| tell(&mut meter, &mut keeper, A, Time(s * 1_000))).sum();
    assert_eq!(told, 3, "at once, and then every 25 s");
    meter.finish(CUSTOMER, 10, Time(61_000));
    let told: usize = (61..=120).map(|s| tell(&mut meter, &mut keeper, A, Time(s * 1_000))).sum();
    assert_eq!(told, 1, "its end, and nothing more");
}

#[test]
fn a_request_turned_away_by_an_old_figure_gets_a_new_one_within_a_second() {
    let (mut a, mut b, mut keeper) = (UsageMeter::default(), UsageMeter::default(), UsageTable::default());
    for _ in 0..3 {
        assert!(a.admit(CUSTOMER, SHARE, Time(0)));
    }
    tell(&mut a, &mut keeper, A, Time(1_000));
    // The other box has heard of nothing yet; it learns by its first request.
    assert!(b.admit(CUSTOMER, SHARE, Time(1_500)));
    tell(&mut b, &mut keeper, B, Time(2_000));
    assert!(!b.admit(CUSTOMER, SHARE, Time(2_500)));
    (0..3).for_each(|_| a.finish(CUSTOMER, 1, Time(3_000)));
    tell(&mut a, &mut keeper, A, Time(3_000));
    assert!(!b.admit(CUSTOMER, SHARE, Time(3_500)), "the figure is old");
    tell(&mut b, &mut keeper, B, Time(4_000));
    assert!(b.admit(CUSTOMER, SHARE, Time(4_500)), "the caller comes back after a second");
}

#[test]
fn a_dead_boxs_use_is_forgotten_and_a_new_keeper_is_told_all() {
    let (mut a, mut b, mut keeper) = (UsageMeter::default(), UsageMeter::default(), UsageTable::default());
    for _ in 0..3 {
        assert!(a.admit(CUSTOMER, SHARE, Time(0)));
    }
    tell(&mut a, &mut keeper, A, Time(1_000));
    keeper.retain_boxes(&BTreeSet::from([B]));
    assert!(b.admit(CUSTOMER, SHARE, Time(1_000)));
    tell(&mut b, &mut keeper, B, Time(2_000));
    assert!(b.admit(CUSTOMER, SHARE, Time(2_500)), "nobody else uses it any more");
    let mut new_keeper = UsageTable::default();
    a.mark_all_changed();
    assert_eq!(tell(&mut a, &mut new_keeper, A, Time(3_000)), 1);
}
