//! Customers' limits: the usage that is reported to a customer's owner, and the answers.

use catalog::{BoxId, CustomerId};
use policy::{Quota, Time, UsageMeter, UsageTable};
use std::collections::BTreeSet;

const CUSTOMER: CustomerId = CustomerId(7);
const QUOTA: Quota = Quota { weight: 1, max_concurrent: 3, max_tokens_per_minute: 0 };
const A: BoxId = BoxId(1);
const B: BoxId = BoxId(2);

/// Reports one second's usage and records the answer. Returns the number of reported customers.
fn report(meter: &mut UsageMeter, owner: &mut UsageTable, from: BoxId, now: Time) -> usize {
    let usages = meter.usage_to_report(now);
    let others = owner.record(from, &usages, now);
    meter.record_others(&others, now);
    usages.len()
}

#[test]
fn unchanged_usage_is_reported_rarely() {
    let (mut meter, mut owner) = (UsageMeter::default(), UsageTable::default());
    assert!(meter.admit(CUSTOMER, QUOTA, Time(0)));
    let reports: usize = (1..=60).map(|s| report(&mut meter, &mut owner, A, Time(s * 1_000))).sum();
    assert_eq!(reports, 3, "at once, and then every 25 s");
    meter.finish(CUSTOMER, 10, Time(61_000));
    let reports: usize = (61..=120).map(|s| report(&mut meter, &mut owner, A, Time(s * 1_000))).sum();
    assert_eq!(reports, 1, "the end of the request, and nothing more");
}

#[test]
fn a_refusal_by_outdated_usage_is_corrected_within_a_second() {
    let (mut a, mut b, mut owner) = (UsageMeter::default(), UsageMeter::default(), UsageTable::default());
    for _ in 0..3 {
        assert!(a.admit(CUSTOMER, QUOTA, Time(0)));
    }
    report(&mut a, &mut owner, A, Time(1_000));
    // The other box has no report yet; it gets one with its first request.
    assert!(b.admit(CUSTOMER, QUOTA, Time(1_500)));
    report(&mut b, &mut owner, B, Time(2_000));
    assert!(!b.admit(CUSTOMER, QUOTA, Time(2_500)));
    (0..3).for_each(|_| a.finish(CUSTOMER, 1, Time(3_000)));
    report(&mut a, &mut owner, A, Time(3_000));
    assert!(!b.admit(CUSTOMER, QUOTA, Time(3_500)), "the usage of the other box is outdated");
    report(&mut b, &mut owner, B, Time(4_000));
    assert!(b.admit(CUSTOMER, QUOTA, Time(4_500)), "the caller retries after a second");
}

#[test]
fn a_dead_boxs_usage_is_dropped_and_a_new_owner_gets_all_usage() {
    let (mut a, mut b, mut owner) = (UsageMeter::default(), UsageMeter::default(), UsageTable::default());
    for _ in 0..3 {
        assert!(a.admit(CUSTOMER, QUOTA, Time(0)));
    }
    report(&mut a, &mut owner, A, Time(1_000));
    owner.retain_boxes(&BTreeSet::from([B]));
    assert!(b.admit(CUSTOMER, QUOTA, Time(1_000)));
    report(&mut b, &mut owner, B, Time(2_000));
    assert!(b.admit(CUSTOMER, QUOTA, Time(2_500)), "no other box uses it any more");
    let mut new_owner = UsageTable::default();
    a.mark_all_changed();
    assert_eq!(report(&mut a, &mut new_owner, A, Time(3_000)), 1);
}
