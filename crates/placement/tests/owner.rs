//! Tests of the state that the owner of a server keeps.

use placement::{Ending, Load, Owner, Part, Prefill, SendReport, SendUpdate, ServerStatus, StatusQuery, Work};
use std::net::SocketAddr;

const CACHE_CAPACITY_TOKENS: u64 = 100_000;

fn from() -> SocketAddr {
    "10.0.0.1:1".parse().expect("an address")
}

fn parts() -> Vec<Part> {
    vec![Part { id: 1, tokens: 10_000 }, Part { id: 2, tokens: 500 }]
}

fn status(owner: &mut Owner, now: u64) -> ServerStatus {
    owner.on_query(
        &StatusQuery { number: 99, server: "s".to_owned(), parts: parts(), gap_ms: 200, ..StatusQuery::default() },
        now,
    )
}

fn report(owner: &mut Owner, number: u64, update: SendUpdate, now: u64) {
    owner.on_report(from(), SendReport { number, server: "s".to_owned(), update }, now);
}

fn ended(ending: Ending) -> SendUpdate {
    SendUpdate::Ended { ending, pause_ms: 0 }
}

fn sent() -> SendUpdate {
    let prefill = Prefill::tail(10_500, 10_500, 6_000);
    SendUpdate::Sent {
        parts: parts(),
        work: Work { prefill, held: 11_000, ..Work::default() },
        memory: CACHE_CAPACITY_TOKENS,
        permitted: false,
    }
}

#[test]
fn a_query_alone_changes_nothing() {
    let mut owner = Owner::default();
    let first = status(&mut owner, 0);
    assert_eq!(status(&mut owner, 1), first);
    assert_eq!((first.load.running, first.cached_tokens, first.confirmed_tokens), (0, 0, 0));
}

#[test]
fn a_send_counts_from_its_start_to_its_end() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent(), 0);
    let waiting = status(&mut owner, 0);
    assert_eq!((waiting.load.running, waiting.load.prefill.tokens, waiting.load.held), (1, 10_500, 11_000));
    assert_eq!((waiting.cached_tokens, waiting.confirmed_tokens), (10_500, 0));
    report(&mut owner, 1, SendUpdate::Read, 2);
    let after_prefill = status(&mut owner, 3);
    assert_eq!(
        (after_prefill.load.running, after_prefill.load.prefill.tokens, after_prefill.confirmed_tokens),
        (1, 0, 10_500)
    );
    report(&mut owner, 1, ended(Ending::Good), 4);
    let after = status(&mut owner, 5);
    assert_eq!((after.load.running, after.load.held, after.confirmed_tokens), (0, 0, 10_500));
}

#[test]
fn parts_of_a_send_without_a_first_event_are_not_assumed_to_be_cached() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent(), 0);
    report(&mut owner, 2, sent(), 0);
    report(&mut owner, 1, ended(Ending::Left), 1);
    assert_eq!(status(&mut owner, 2).cached_tokens, 10_500, "another request is waiting for them");
    report(&mut owner, 2, ended(Ending::Broken), 3);
    let after = status(&mut owner, 4);
    assert_eq!((after.cached_tokens, after.load.running, after.load.prefill.tokens), (0, 0, 0));
}

#[test]
fn a_lease_of_a_dead_box_expires() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent(), 0);
    assert_eq!(status(&mut owner, 61_000).load.running, 0);
}

#[test]
fn repeated_and_unknown_ends_have_no_effect() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent(), 0);
    report(&mut owner, 1, ended(Ending::Good), 1);
    report(&mut owner, 1, ended(Ending::Good), 2);
    report(&mut owner, 7, SendUpdate::Read, 3);
    assert_eq!(status(&mut owner, 4).load.running, 0);
}

#[test]
fn failures_reported_by_any_box_pause_the_server_for_all() {
    let mut owner = Owner::default();
    for number in 0..2 {
        report(&mut owner, number, sent(), 0);
        report(&mut owner, number, ended(Ending::Broken), 1);
    }
    assert!(status(&mut owner, 2).paused);
    assert!(!status(&mut owner, 1_000).paused);
}

#[test]
fn servers_that_are_no_longer_listed_are_dropped() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent(), 0);
    owner.retain(|id| id == "s");
    assert_eq!(status(&mut owner, 1).load.running, 1);
    owner.retain(|id| id != "s");
    assert_eq!((status(&mut owner, 2).load.running, status(&mut owner, 2).cached_tokens), (0, 0));
}

/// Work of a request with 200 tokens to generate and this gap limit in milliseconds.
fn work(unread: u32, gap_ms: u32) -> Work {
    Work { prefill: Prefill::tail(unread, unread, 6_000), held: 0, out: 200, urgency: 0, gap_ms, long: false }
}

fn sent_with(work: Work) -> SendUpdate {
    SendUpdate::Sent { parts: parts(), work, memory: CACHE_CAPACITY_TOKENS, permitted: false }
}

#[test]
fn answers_count_as_in_time_until_they_end_or_a_gap_makes_them_late() {
    let mut owner = Owner::default();
    for number in 1..=3 {
        report(&mut owner, number, sent_with(work(500, if number == 3 { 300 } else { 200 })), 0);
    }
    assert_eq!(status(&mut owner, 1).load.gap_limits, [(200, 2), (300, 1)].into());
    report(&mut owner, 1, SendUpdate::Late, 2);
    report(&mut owner, 1, SendUpdate::Late, 2);
    assert_eq!(status(&mut owner, 3).load.gap_limits, [(200, 1), (300, 1)].into());
    for number in 1..=3 {
        report(&mut owner, number, ended(Ending::Good), 4);
    }
    assert_eq!(status(&mut owner, 5).load, Load::default());
}

#[test]
fn remaining_prefill_shrinks_over_time() {
    let mut owner = Owner::default();
    report(&mut owner, 1, sent_with(work(10_000, 0)), 0);
    let at = |owner: &mut Owner, now| status(owner, now).load.prefill.tokens;
    let (begun, half, long_after) = (at(&mut owner, 0), at(&mut owner, 130), at(&mut owner, 5_000));
    assert!(begun == 10_000 && (4_000..7_000).contains(&half) && long_after > 0, "{begun} {half} {long_after}");
}

/// Reports `requests` prompts of 20,000 tokens to an owner, read by an engine that takes `read_ms` per thousand
/// tokens and stalls for `pause_ms` during prefill; each is accompanied by an answer.
fn observe(owner: &mut Owner, requests: u64, read_ms: u64, pause_ms: u32) {
    let mut now = 0;
    for number in 0..requests {
        let (answer, prompt) = (number * 2, number * 2 + 1);
        report(owner, answer, sent_with(work(1_000, 0)), now);
        report(owner, answer, SendUpdate::Read, now + 20 + read_ms);
        now += 50 + read_ms;
        report(owner, prompt, sent_with(work(20_000, 0)), now);
        now += 20 + read_ms * 20;
        report(owner, prompt, SendUpdate::Read, now);
        now += 200;
        for number in [answer, prompt] {
            report(owner, number, SendUpdate::Ended { ending: Ending::Good, pause_ms }, now);
        }
        now += 1_000;
    }
}

#[test]
fn speeds_of_slower_engines_and_other_chunk_sizes_are_learned() {
    for (read_ms, pause_ms) in [(25, 200), (50, 400), (12, 60), (50, 150)] {
        let mut owner = Owner::default();
        observe(&mut owner, 40, read_ms, pause_ms);
        let speed = status(&mut owner, 0).speed;
        let long = Prefill::tail(20_000, 20_000, speed.chunk_tokens());
        let (read, stall) = (speed.prefill_ms(long), speed.expected_stall_ms(long));
        let near = |value: f64, truth: f64| (value / truth - 1.0).abs() < 0.15;
        assert!(near(read, 20.0 * read_ms as f64), "{read} ms for 20,000 tokens of {read_ms} a thousand");
        assert!(near(stall, f64::from(pause_ms)), "{stall} ms of gap in place of {pause_ms}");
    }
}

#[test]
fn recent_stalls_are_reported() {
    let mut owner = Owner::default();
    observe(&mut owner, 25, 25, 300);
    let later = 100_000;
    assert_eq!(status(&mut owner, later).stalls_per_s, 0.0);
    report(&mut owner, 999, sent_with(work(30_000, 0)), later);
    assert!(status(&mut owner, later + 1).stalls_per_s > 0.2, "gaps of 300 ms exceed the limit of 200");
    assert_eq!(status(&mut owner, later + 10_000).stalls_per_s, 0.0, "old stalls do not count");
}
