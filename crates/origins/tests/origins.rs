//! What a box must know before a stream goes on.

mod common;

use common::{directory, origin, table, table_with_routes, ROUTE, TIMEOUT_MS};
use origins::{Answer, Origins, Record, Records, Stream};
use routing::Directory;

/// Interval at which a box hears from the publisher in these tests.
const CONTACT_INTERVAL: u64 = 1_000;

/// A box that has had this list since time 0, and contact with the publisher until `now`.
fn informed(servers: &[(&str, &str)], now: u64) -> Origins {
    let mut origins = Origins::default();
    origins.update(Some(&table(1, &["model"])), &directory(servers), 0);
    keep_contact(&mut origins, 0, now);
    origins
}

fn keep_contact(origins: &mut Origins, from: u64, until: u64) {
    (from..=until).step_by(CONTACT_INTERVAL as usize).for_each(|now| origins.record_contact(now));
    origins.record_contact(until);
}

/// Returns what the box itself knows about a stream that has no record.
fn sole(origins: &Origins, now: u64) -> Answer {
    origins.answer(None, ROUTE, now)
}

fn proof(version: &str) -> Answer {
    Answer { recorded: None, sole: Some(origin(version)) }
}

/// Guards against boxes that go on at the only version that they see, though another one served until a moment ago.
#[test]
fn a_version_is_the_only_one_after_the_longest_time_limit() {
    let one = [("s1", "v1"), ("s2", "v1")];
    assert_eq!(sole(&informed(&one, TIMEOUT_MS - 1), TIMEOUT_MS - 1), Answer::default());
    assert_eq!(sole(&informed(&one, TIMEOUT_MS), TIMEOUT_MS), proof("v1"));

    let mut origins = informed(&one, 20_000);
    origins.update(Some(&table(1, &["model"])), &directory(&[("s1", "v1"), ("s2", "v2")]), 20_000);
    assert_eq!(sole(&origins, 20_000), Answer::default());
    keep_contact(&mut origins, 20_000, 30_000);
    origins.update(Some(&table(1, &["model"])), &directory(&one), 30_000);
    keep_contact(&mut origins, 30_000, 30_000 + TIMEOUT_MS);
    assert_eq!(sole(&origins, 30_000 + TIMEOUT_MS - 1), Answer::default());
    assert_eq!(sole(&origins, 30_000 + TIMEOUT_MS), proof("v1"));
}

/// Guards against an instance whose entry states another version counting for the newest one only.
#[test]
fn an_entry_that_changes_its_version_counts_for_both() {
    let mut origins = informed(&[("s1", "v1")], 20_000);
    origins.update(Some(&table(1, &["model"])), &directory(&[("s1", "v2")]), 20_000);
    keep_contact(&mut origins, 20_000, 25_000);
    assert_eq!(sole(&origins, 25_000), Answer::default());
    keep_contact(&mut origins, 25_000, 20_000 + TIMEOUT_MS);
    assert_eq!(sole(&origins, 20_000 + TIMEOUT_MS), proof("v2"));
}

/// Guards against boxes that take an outdated list for proof: cut off from the store and from all that watch it, or back
/// after versions may have come and gone.
#[test]
fn a_box_without_contact_proves_nothing() {
    let origins = informed(&[("s1", "v1")], 20_000);
    assert_eq!(sole(&origins, 25_000), proof("v1"));
    assert_eq!(sole(&origins, 25_001), Answer::default());
    let mut back = informed(&[("s1", "v1")], 20_000);
    keep_contact(&mut back, 40_000, 40_000 + TIMEOUT_MS);
    assert_eq!(sole(&back, 40_000 + TIMEOUT_MS - 1), Answer::default());
    assert_eq!(sole(&back, 40_000 + TIMEOUT_MS), proof("v1"));
}

/// Guards against a sample of the servers being taken for the list.
#[test]
fn a_sample_of_the_servers_proves_nothing() {
    let mut origins = Origins::default();
    let sample = Directory { position: routing::Position::NONE, ..directory(&[("s1", "v1")]) };
    origins.update(Some(&table(1, &["model"])), &sample, 0);
    keep_contact(&mut origins, 0, 30_000);
    assert_eq!(sole(&origins, 30_000), Answer::default());
}

/// Guards against streams that go on at the service that a route leads to now, while another one began them.
#[test]
fn a_route_that_led_elsewhere_or_is_new_proves_nothing() {
    let servers = directory(&[("s1", "v1")]);
    let later = 20_000;
    let after = |change: &dyn Fn(&mut Origins)| {
        let mut origins = informed(&[("s1", "v1")], later);
        change(&mut origins);
        keep_contact(&mut origins, later, later + TIMEOUT_MS);
        (sole(&origins, later + TIMEOUT_MS - 1).sole, sole(&origins, later + TIMEOUT_MS).sole)
    };
    // Led to another service until now.
    let moved = after(&|origins| {
        origins.update(Some(&table(2, &["other"])), &servers, later - 1_000);
        origins.update(Some(&table(3, &["model"])), &servers, later);
    });
    assert_eq!(moved, (None, Some(origin("v1"))));
    // Its paths belonged to a route with a longer prefix until now.
    let uncovered = after(&|origins| {
        let routes: [(&str, &str, &[&str]); 2] =
            [(ROUTE, "/stream/", &["model"]), ("longer", "/stream/a/", &["other"])];
        origins.update(Some(&table_with_routes(2, &routes)), &servers, later - 1_000);
        origins.update(Some(&table(3, &["model"])), &servers, later);
    });
    assert_eq!(uncovered, (None, Some(origin("v1"))));
    // Still leads to a second service.
    let split = after(&|origins| origins.update(Some(&table(2, &["model", "other"])), &servers, later));
    assert_eq!(split, (None, None));
}

/// Guards against a box that has just started refusing all streams, and against one that believes a proof that what it
/// sees itself contradicts.
#[test]
fn a_box_that_has_just_started_relies_on_the_proof_of_others() {
    let started = informed(&[("s1", "v1")], 1_000);
    let own = sole(&started, 1_000);
    let find = |origins: &Origins, others: &[Answer]| origins.find(ROUTE, &own, others, 2, 1_000);
    assert_eq!(find(&started, &[Answer::default(), proof("v1")]), Some(origin("v1")));
    assert_eq!(find(&started, &[Answer::default()]), None);
    assert_eq!(find(&started, &[proof("v1"), proof("v2")]), None);
    assert_eq!(find(&informed(&[("s1", "v1"), ("s2", "v2")], 1_000), &[proof("v1")]), None);
}

/// Guards against a box that is cut off from all others and goes on by its own list.
#[test]
fn a_box_that_hears_no_other_does_not_go_on_by_its_own_proof() {
    let origins = informed(&[("s1", "v1")], 20_000);
    let own = sole(&origins, 20_000);
    assert_eq!(origins.find(ROUTE, &own, &[], 2, 20_000), None);
    // A box that knows of no other box asks none.
    assert_eq!(origins.find(ROUTE, &own, &[], 0, 20_000), Some(origin("v1")));
}

/// Guards against a proof that outweighs the record of the stream, and against records that disagree.
#[test]
fn a_record_goes_before_proofs_and_two_records_before_none() {
    let origins = informed(&[("s1", "v1")], 20_000);
    let recorded = |version| Answer { recorded: Some(origin(version)), sole: Some(origin("v1")) };
    let own = sole(&origins, 20_000);
    assert_eq!(origins.find(ROUTE, &own, &[recorded("v2")], 2, 20_000), Some(origin("v2")));
    assert_eq!(origins.find(ROUTE, &own, &[recorded("v2"), recorded("v1")], 2, 20_000), None);
}

/// Guards against streams of callers that use one id for two requests.
#[test]
fn a_stream_with_two_origins_has_none() {
    let mut records = Records::default();
    let record = |version| Record { stream: Stream(7), origin: origin(version), left_ms: 5_000 };
    records.on_record(&record("v1"), 0);
    records.on_record(&record("v1"), 10);
    assert_eq!(records.get(Stream(7), 20), Some(&origin("v1")));
    records.on_record(&record("v2"), 20);
    assert_eq!(records.get(Stream(7), 30), None);
}

/// Guards against streams of one customer that another one takes up.
#[test]
fn a_stream_belongs_to_its_customer() {
    assert_ne!(Stream::of(1, "one", "id"), Stream::of(1, "other", "id"));
}

/// Guards against memory that grows with what callers send, and against records kept for nothing.
#[test]
fn records_are_bounded_and_end_with_the_time_of_their_callers() {
    let mut records = Records::default();
    for number in 0..100_000 {
        records.begin(Stream(number), ROUTE, &origin("v1"), 10_000 + number, 0);
    }
    assert!(records.len() <= 32_768 && records.len() > 20_000, "{}", records.len());
    assert_eq!(records.get(Stream(99_999), 0), Some(&origin("v1")));
    records.on_record(&Record { stream: Stream(1), origin: origin("v1"), left_ms: 1 }, 200_000);
    assert_eq!(records.len(), 1);
    assert_eq!(records.get(Stream(1), 200_001), None);
}

/// Guards against messages in the time in which one version serves, and against streams that began in it being unknown to
/// other boxes once a second one comes.
#[test]
fn other_boxes_are_told_only_while_versions_may_serve_side_by_side() {
    let mut origins = informed(&[("s1", "v1")], 20_000);
    origins.begin(Stream(1), ROUTE, &origin("v1"), 32_000, 20_000);
    assert!(origins.take_untold(20_000).is_empty());
    origins.update(Some(&table(1, &["model"])), &directory(&[("s1", "v1"), ("s2", "v2")]), 21_000);
    let told = origins.take_untold(21_000);
    assert_eq!(told, [Record { stream: Stream(1), origin: origin("v1"), left_ms: 11_000 }]);
    assert!(origins.take_untold(21_100).is_empty());
    origins.begin(Stream(2), ROUTE, &origin("v2"), 33_000, 21_000);
    assert_eq!(origins.take_untold(21_200).len(), 1);
}

/// Guards against records that end with the box that keeps them: streams can't go on once both keepers have left.
#[test]
fn a_leaving_box_hands_on_what_others_told_it_and_what_it_told_others() {
    let mut records = Records::default();
    records.on_record(&Record { stream: Stream(1), origin: origin("v1"), left_ms: 2_000 }, 0);
    records.on_record(&Record { stream: Stream(2), origin: origin("v2"), left_ms: 500 }, 0);
    records.begin(Stream(3), ROUTE, &origin("v1"), 3_000, 0);
    records.begin(Stream(4), "other", &origin("v1"), 3_000, 0);
    // Other boxes know stream 4 by the list alone.
    assert_eq!(records.take_untold(|route| route == ROUTE, 0).len(), 1);
    let mut told = records.told(1_000);
    told.sort_unstable_by_key(|record| record.stream.0);
    let told: Vec<(u64, u32)> = told.iter().map(|record| (record.stream.0, record.left_ms)).collect();
    assert_eq!(told, [(1, 1_000), (3, 2_000)]);
    let told_by_me: Vec<u64> = records.told_by_me(1_000).iter().map(|record| record.stream.0).collect();
    assert_eq!(told_by_me, [3], "what others told it they tell new keepers themselves");
}
