//! Tests that notices of servers apply to every way in which a server may be used.

mod common;

use common::{server, service, update, MODEL};
use placement::{Choice, Ending, Load, Part, Placement, PlacementRequest, Prompt, Refusal, RetryBudget, ServerStatus};
use routing::{ColdStart, Server, Table};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn table(cold: Option<ColdStart>) -> Table {
    Table::new(1, Vec::new(), vec![service(64, 6, cold)])
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|index| server(index, "hall")).collect()
}

fn placement(count: usize) -> Placement {
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    update(&mut placement, &table(None), servers(count), &[], 0);
    // This server has read the part that all prompts share.
    placement.choose(&request(None, &[], 0)).expect("a server");
    placement.record_cached(MODEL, "s1", &prompt(0));
    placement
}

fn prompt(own: u64) -> Prompt {
    let parts = vec![Part { id: 1, tokens: 6_000 }, Part { id: own, tokens: 1_000 }];
    Prompt { model: "m".to_owned(), tokens: 7_000, max_out_tokens: 60, out_tokens_hint: None, parts }
}

fn request<'a>(prompt: Option<&'a Prompt>, statuses: &'a [(String, ServerStatus)], now: u64) -> PlacementRequest<'a> {
    PlacementRequest {
        service: MODEL,
        prompt,
        target: Duration::from_millis(2_000),
        gap_limit: None,
        urgency: 0,
        bytes: 10_000,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses,
        now,
    }
}

/// Servers used by choices of each kind.
#[derive(Default)]
struct Uses {
    /// Ids of servers that were chosen, or whose owners are queried.
    used: BTreeSet<String>,
    /// Addresses of servers that others fetch from.
    fetched: BTreeSet<SocketAddr>,
}

impl Uses {
    fn record(&mut self, choice: Result<Choice, Refusal>) {
        let choice = choice.expect("others serve");
        self.used.insert(choice.server.id.clone());
        self.fetched.extend(choice.fetch);
    }
}

/// Places requests with and without a prompt, and with and without statuses from the owners.
fn uses(placement: &mut Placement, now: u64) -> Uses {
    let mut uses = Uses::default();
    for own in 2..40 {
        let prompt = prompt(own);
        uses.record(placement.choose(&request(Some(&prompt), &[], now)));
        let planned = placement.servers_to_query(&request(Some(&prompt), &[], now), 9);
        // The server that caches the shared part is busy, so that another one is chosen now and then and fetches the
        // part.
        let status = |id: &str| if id == "s1" { busy() } else { ServerStatus::default() };
        let statuses: Vec<_> = planned.iter().map(|server| (server.id.clone(), status(&server.id))).collect();
        uses.record(placement.choose(&request(Some(&prompt), &statuses, now)));
        uses.record(placement.choose(&request(None, &[], now)));
        uses.used.extend(planned.iter().map(|server| server.id.clone()));
    }
    uses
}

/// Status of a server with all slots taken that has read the shared part.
fn busy() -> ServerStatus {
    ServerStatus {
        load: Load { running: 64, ..Load::default() },
        cached_tokens: 6_000,
        confirmed_tokens: 6_000,
        ..ServerStatus::default()
    }
}

#[test]
fn a_leaving_or_backing_off_server_is_never_used() {
    let all = uses(&mut placement(3), 10);
    let address = server(1, "hall").address;
    assert!(["s0", "s1", "s2"].iter().all(|id| all.used.contains(*id)), "without notices each is used");
    assert!(all.fetched.contains(&address), "and others fetch from it");
    let mut leaving = placement(3);
    assert!(leaving.record_leaving("s1", Some(false), 10));
    assert!(!leaving.record_leaving("s1", Some(false), 11), "it is new once");
    assert!(!uses(&mut leaving, 10).used.contains("s1"));
    let mut backing_off = placement(3);
    backing_off.record_back_off("s1", 3_000);
    for now in [10, 2_999] {
        let uses = uses(&mut backing_off, now);
        assert!(!uses.used.contains("s1") && !uses.fetched.contains(&address), "after {now} ms");
    }
    assert!(uses(&mut backing_off, 3_000).used.contains("s1"), "it is used again afterwards");
}

#[test]
fn a_leaving_instance_is_never_used_again() {
    let mut placement = placement(2);
    placement.record_leaving("s1", Some(false), 10);
    let closed = |placement: &mut Placement, now| !uses(placement, now).used.contains("s1");
    // Its entry is written again as it was, expires, and reappears from an old copy.
    for (now, count) in [(100, 2), (200, 1), (300, 2), (60_000, 1), (120_000, 2)] {
        update(&mut placement, &table(None), servers(count), &[], now);
        assert!(closed(&mut placement, now), "after {now} ms");
    }
    // A draining entry counts as well.
    let mut entry = placement_with_draining_entry();
    update(&mut entry, &table(None), servers(2), &[], 20);
    assert!(closed(&mut entry, 20));
    // A later instance under its name is another server.
    let later = Server { id: "s1@7".to_owned(), ..server(1, "hall") };
    update(&mut placement, &table(None), vec![server(0, "hall"), later], &[], 130_000);
    assert!(uses(&mut placement, 130_000).used.contains("s1@7"));
}

fn placement_with_draining_entry() -> Placement {
    let mut placement = placement(2);
    let draining = Server { draining: true, ..server(1, "hall") };
    update(&mut placement, &table(None), vec![server(0, "hall"), draining], &[], 10);
    placement
}

#[test]
fn a_back_off_outlasts_an_expired_entry_and_a_shorter_back_off() {
    let mut placement = placement(2);
    placement.record_back_off("s1", 3_000);
    placement.record_back_off("s1", 1_000);
    update(&mut placement, &table(None), servers(1), &[], 100);
    update(&mut placement, &table(None), servers(2), &[], 200);
    assert!(!placement.may_send(MODEL, "s1", false, 2_999));
    assert!(placement.may_send(MODEL, "s1", false, 3_000));
    placement.record_back_off("s1", 9_000);
    assert!(!placement.may_send(MODEL, "s1", false, 3_000), "a longer one counts");
}

#[test]
fn a_choice_made_before_a_notice_is_not_sent_after_it() {
    let mut placement = placement(3);
    for id in ["s0", "s1", "s2"] {
        assert!(placement.may_send(MODEL, id, false, 10));
    }
    placement.record_leaving("s0", Some(false), 10);
    placement.record_back_off("s1", 20);
    for id in ["s0", "s1", "gone"] {
        assert!(!placement.may_send(MODEL, id, false, 11), "{id}");
    }
    assert!(placement.may_send(MODEL, "s2", false, 11));
}

#[test]
fn refusals_name_the_time_when_the_first_back_off_ends() {
    let mut placement = placement(2);
    placement.record_back_off("s0", 5_000);
    placement.record_back_off("s1", 3_000);
    let refusal = placement.choose(&request(None, &[], 1_000)).expect_err("all back off");
    assert_eq!(refusal, Refusal::BackingOff { retry_ms: 2_000 });
    // A server that failed recently and backs off is not used as a last resort either.
    for now in [1_000, 1_001] {
        placement.record_ending(MODEL, "s1", Ending::Broken, now);
    }
    assert!(matches!(placement.choose(&request(None, &[], 1_002)), Err(Refusal::BackingOff { .. })));
    placement.record_leaving("s0", Some(false), 1_002);
    placement.record_leaving("s1", Some(false), 1_002);
    assert_eq!(placement.choose(&request(None, &[], 1_002)).expect_err("all leave"), Refusal::NoServer);
}

#[test]
fn a_cold_server_that_backs_off_is_refused_as_backing_off() {
    let cold = Some(ColdStart { duration: Duration::from_secs(10), requests_per_s: 5.0 });
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    let cold_server = Server { cold_ms: 10_000, ..server(0, "hall") };
    update(&mut placement, &table(cold), vec![cold_server], &[], 0);
    assert!(placement.choose(&request(None, &[], 10)).is_ok_and(|choice| choice.permit_quotas.is_some()));
    placement.record_back_off("s0", 3_000);
    assert_eq!(
        placement.choose(&request(None, &[], 10)).expect_err("backs off"),
        Refusal::BackingOff { retry_ms: 2_990 }
    );
}

#[test]
fn digests_agree_and_omit_published_notices() {
    let mut one = placement(3);
    let mut other = placement(3);
    one.record_leaving("s1", Some(false), 10);
    assert_ne!(one.notices_digest(), other.notices_digest());
    other.record_leaving("s1", Some(false), 900);
    assert_eq!(one.notices_digest(), other.notices_digest());
    assert_eq!(one.leaving(), ["s1"]);
    let draining = Server { draining: true, ..server(1, "hall") };
    update(&mut one, &table(None), vec![server(0, "hall"), draining], &[], 1_000);
    assert!(one.leaving().is_empty(), "its entry says so now");
    assert_eq!(one.notices_digest(), placement(3).notices_digest());
}

#[test]
fn an_unconfirmed_instance_is_used_only_without_others() {
    let mut placement = placement(3);
    placement.mark_unconfirmed(&["s1".to_owned(), "s2".to_owned()], 4_000);
    assert_eq!(uses(&mut placement, 10).used, BTreeSet::from(["s0".to_owned()]));
    placement.confirm_instance("s2");
    assert!(!uses(&mut placement, 10).used.contains("s1"));
    assert!(uses(&mut placement, 10).used.contains("s2"), "it has written its entry");
    assert!(uses(&mut placement, 4_000).used.contains("s1"), "its entry has not gone");
    // Without any other server, it is better than none.
    placement.mark_unconfirmed(&["s1".to_owned(), "s2".to_owned()], 9_000);
    placement.record_leaving("s0", Some(false), 5_000);
    let used = uses(&mut placement, 5_000).used;
    assert!(used.contains("s1") && used.contains("s2"));
    assert!(placement.may_send(MODEL, "s1", false, 5_000));
}
