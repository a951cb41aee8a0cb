//! Tests of the choice of a server.

mod common;

use common::{route, service, MODEL};
use placement::{
    Choice, Ending, Load, Part, Placement, PlacementRequest, Prefill, Prompt, Refusal, RetryBudget, ServerStatus,
    Speed, Work,
};
use routing::{Server, Table};
use std::time::Duration;

/// Latency target for the first event.
const TARGET: Duration = Duration::from_millis(1_500);

/// A gap limit that concurrent prefill may exceed.
const SHORT_GAP: Duration = Duration::from_millis(300);

fn server(index: usize, hall: &str, draining: bool) -> Server {
    Server { draining, ..common::server(index, hall) }
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|index| server(index, "here", false)).collect()
}

/// A placement with one route to engines whose events hold four tokens.
fn placement(servers: Vec<Server>) -> Placement {
    let mut placement = Placement::new("here", RetryBudget::new(0.2, 50.0, 10_000));
    let table = Table::new(1, vec![route(Some(SHORT_GAP))], vec![service(64, 4, None)]);
    common::update(&mut placement, &table, servers, &[], 0);
    placement
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![Part { id: shared, tokens: 13_000 }, Part { id: own, tokens: 3_000 }];
    Prompt { model: "m".to_owned(), tokens: 16_000, max_out_tokens: 100, out_tokens_hint: None, parts }
}

fn choose_at(
    placement: &mut Placement,
    now: u64,
    prompt: &Prompt,
    tried: &[String],
    statuses: &[(String, ServerStatus)],
) -> Choice {
    let request = PlacementRequest {
        service: MODEL,
        prompt: Some(prompt),
        target: TARGET,
        gap_limit: None,
        urgency: 0,
        bytes: 17_000,
        tried,
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses,
        now,
    };
    placement.choose(&request).expect("a server")
}

fn choose(placement: &mut Placement, prompt: &Prompt, statuses: &[(String, ServerStatus)]) -> Choice {
    choose_at(placement, 1_000, prompt, &[], statuses)
}

fn status(running: u32, unread: u64, cached: u32, read: u32) -> ServerStatus {
    let prefill = Prefill { tokens: unread, ..Prefill::default() };
    ServerStatus {
        load: Load { running, prefill, ..Load::default() },
        cached_tokens: cached,
        confirmed_tokens: read,
        ..ServerStatus::default()
    }
}

#[test]
fn boxes_with_the_same_servers_agree_on_the_home_of_a_part() {
    let mut one = placement(servers(9));
    let mut other = placement(servers(9).into_iter().rev().collect());
    let mut homes = std::collections::HashSet::new();
    for shared in 0..50 {
        let chosen = choose(&mut one, &prompt(shared, 1_000 + shared), &[]);
        let also = choose(&mut other, &prompt(shared, 2_000 + shared), &[]);
        assert_eq!(chosen.server.id, also.server.id);
        homes.insert(chosen.server.id.clone());
    }
    assert!(homes.len() >= 7, "parts are spread over the servers, not on {} of 9", homes.len());
}

#[test]
fn draining_and_tried_servers_are_not_chosen() {
    let mut placement = placement(vec![server(0, "here", true), server(1, "here", false), server(2, "here", false)]);
    for shared in 0..50 {
        let chosen = choose_at(&mut placement, 0, &prompt(shared, 100 + shared), &["s1".to_owned()], &[]);
        assert_eq!(chosen.server.id, "s2");
    }
}

#[test]
fn a_server_without_a_status_is_not_assumed_to_be_idle() {
    let mut placement = placement(servers(3));
    let home = choose(&mut placement, &prompt(7, 100), &[]).server.id.clone();
    let reported = vec![(home.clone(), status(20, 40_000, 13_000, 13_000))];
    assert_eq!(choose(&mut placement, &prompt(7, 101), &reported).server.id, home);
}

#[test]
fn parts_of_a_loaded_home_are_fetched_only_after_they_were_read() {
    for (read, fetches, unread) in [(0, false, 16_000), (13_000, true, 3_000)] {
        let mut placement = placement(servers(2));
        let home = choose(&mut placement, &prompt(7, 100), &[]).server.clone();
        let other = if home.id == "s0" { "s1" } else { "s0" };
        let reported = [(home.id.clone(), status(64, 2_000_000, 13_000, read)), (other.to_owned(), status(0, 0, 0, 0))];
        let chosen = choose(&mut placement, &prompt(7, 101), &reported);
        assert_eq!(chosen.server.id, other);
        assert_eq!(chosen.fetch, fetches.then_some(home.address));
        assert_eq!(chosen.work.prefill.tokens, unread);
    }
}

#[test]
fn parts_are_fetched_from_a_server_known_to_have_read_them() {
    let mut placement = placement(servers(3));
    let home = choose(&mut placement.clone(), &prompt(7, 100), &[]).server.clone();
    let holder = servers(3).into_iter().find(|s| s.id != home.id).expect("another server");
    // As after a restart of the home: it has cached nothing, and the server that replaced it is busy.
    let reported = [(home.id.clone(), status(0, 0, 0, 0)), (holder.id.clone(), status(64, 3_000_000, 13_000, 13_000))];
    let chosen = choose(&mut placement, &prompt(7, 101), &reported);
    assert_eq!(chosen.server.id, home.id);
    assert_eq!(chosen.fetch, Some(holder.address));
    assert_eq!(chosen.work.prefill.tokens, 3_000);
}

#[test]
fn owners_of_the_first_homes_are_queried_before_those_of_cheap_servers() {
    let mut placement = placement(servers(9));
    let home = choose(&mut placement.clone(), &prompt(7, 100), &[]).server.id.clone();
    let without = std::slice::from_ref(&home);
    let next = choose_at(&mut placement.clone(), 0, &prompt(7, 101), without, &[]).server.id.clone();
    for _ in 0..30 {
        placement.record_sent(
            MODEL,
            &next,
            Work { prefill: Prefill::tail(10_000, 10_000, 6_000), held: 10_000, ..Work::default() },
        );
    }
    let prompt = prompt(7, 102);
    let request = PlacementRequest {
        service: MODEL,
        prompt: Some(&prompt),
        target: TARGET,
        gap_limit: None,
        urgency: 0,
        bytes: 0,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses: &[],
        now: 0,
    };
    let asked: Vec<String> = placement.servers_to_query(&request, 4).iter().map(|server| server.id.clone()).collect();
    assert_eq!(asked[..2], [home, next]);
    assert_eq!(asked.len(), 4);
}

#[test]
fn queries_are_spread_over_many_servers() {
    let mut placement = placement(servers(40));
    let mut asked = std::collections::HashSet::new();
    for own in 0..100 {
        let prompt = quick_prompt(1_000 + own);
        asked
            .extend(placement.servers_to_query(&quick_request(&prompt, &[]), 9).iter().map(|server| server.id.clone()));
    }
    assert!(asked.len() >= 36, "{} of 40 are queried by 100 requests", asked.len());
}

fn quick_prompt(own: u64) -> Prompt {
    let parts = vec![Part { id: 1, tokens: 200 }, Part { id: own, tokens: 800 }];
    Prompt { model: "m".to_owned(), tokens: 1_000, max_out_tokens: 200, out_tokens_hint: None, parts }
}

fn deep_prompt(shared: u64) -> Prompt {
    let parts = vec![Part { id: shared, tokens: 28_000 }, Part { id: 5_000 + shared, tokens: 4_000 }];
    Prompt { model: "m".to_owned(), tokens: 32_000, max_out_tokens: 100, out_tokens_hint: None, parts }
}

/// A request for an answer with a gap limit of [`SHORT_GAP`].
fn quick_request<'a>(prompt: &'a Prompt, statuses: &'a [(String, ServerStatus)]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: MODEL,
        prompt: Some(prompt),
        target: TARGET,
        gap_limit: Some(SHORT_GAP),
        urgency: 0,
        bytes: 1_500,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses,
        now: 1_000,
    }
}

/// Speed of an engine after many observations: 25 ms per thousand tokens, and stalls of `stall_ms` during prefill.
fn speed(stall_ms: f32) -> Speed {
    Speed { stall_ms, stall_depth_ms: 0.0, seen: 40.0, stalls_seen: 40.0, ..Speed::default() }
}

/// Status of a server with this many answers that have a gap limit of [`SHORT_GAP`], and with this stall length.
fn with_gap_limits(answers: u32, stall_ms: f32) -> ServerStatus {
    let gap_limits = [(SHORT_GAP.as_millis() as u32, answers)].into_iter().filter(|(_, count)| *count > 0).collect();
    ServerStatus {
        load: Load { running: answers, gap_limits, ..Load::default() },
        cached_tokens: 28_000,
        confirmed_tokens: 28_000,
        speed: speed(stall_ms),
        ..ServerStatus::default()
    }
}

fn chosen(prompt: &Prompt, s0: ServerStatus, s1: ServerStatus) -> String {
    let reported = [("s0".to_owned(), s0), ("s1".to_owned(), s1)];
    let mut placement = placement(servers(2));
    for (id, status) in &reported {
        placement.on_status(MODEL, id, status.clone(), 1_000);
    }
    choose(&mut placement, prompt, &reported).server.id.clone()
}

#[test]
fn a_long_prompt_goes_where_it_makes_fewer_answers_late() {
    let long = Prompt { tokens: 45_000, ..deep_prompt(7) };
    for (many, few) in [(30, 0), (30, 3)] {
        assert_eq!(chosen(&long, with_gap_limits(many, 400.0), with_gap_limits(few, 400.0)), "s1");
        assert_eq!(chosen(&long, with_gap_limits(few, 400.0), with_gap_limits(many, 400.0)), "s0");
    }
}

#[test]
fn a_long_prompt_goes_where_stalls_stay_below_the_gap_limit() {
    let long = Prompt { tokens: 45_000, ..deep_prompt(7) };
    assert_eq!(chosen(&long, with_gap_limits(20, 200.0), with_gap_limits(3, 400.0)), "s0");
    assert_eq!(chosen(&long, with_gap_limits(3, 400.0), with_gap_limits(20, 200.0)), "s1");
}

#[test]
fn a_short_remainder_is_read_beside_any_answers() {
    let short = Prompt { tokens: 30_000, ..deep_prompt(7) };
    let elsewhere = ServerStatus { cached_tokens: 0, confirmed_tokens: 0, ..with_gap_limits(0, 400.0) };
    assert_eq!(
        chosen(&short, with_gap_limits(30, 400.0), elsewhere.clone()),
        "s0",
        "a prefill of 50 ms makes none of the 30 answers late"
    );
    assert_eq!(chosen(&short, elsewhere, with_gap_limits(30, 400.0)), "s1");
}

#[test]
fn an_answer_runs_where_prefill_stalls_it_less() {
    for stalled in ["s0", "s1"] {
        let mut placement = placement(servers(2));
        let status_of = |id: &str| ServerStatus {
            stalls_per_s: if id == stalled { 1.0 } else { 0.0 },
            ..with_gap_limits(9, 400.0)
        };
        let reported = ["s0", "s1"].map(|id| (id.to_owned(), status_of(id)));
        for (id, status) in &reported {
            placement.on_status(MODEL, id, status.clone(), 1_000);
        }
        let prompt = quick_prompt(100);
        let chosen = placement.choose(&quick_request(&prompt, &reported)).expect("a server");
        assert_ne!(chosen.server.id, stalled);
        assert_eq!((chosen.work.gap_ms, chosen.work.out), (300, 200));
    }
}

#[test]
fn a_server_without_observations_has_the_mean_speed_of_its_pool() {
    let mut placement = placement(servers(3));
    let slow = ServerStatus { speed: Speed { read_ms: 80.0, ..speed(400.0) }, ..ServerStatus::default() };
    for id in ["s0", "s1"] {
        placement.on_status(MODEL, id, slow.clone(), 1_000);
    }
    let home_of = |shared: u64| choose(&mut placement.clone(), &prompt(shared, 100), &[]).server.id.clone();
    let shared = (0..100).find(|shared| home_of(*shared) == "s2").expect("a part whose home it is");
    let choice = choose(&mut placement, &prompt(shared, 100), &[("s2".to_owned(), ServerStatus::default())]);
    assert_eq!(choice.server.id, "s2");
    assert!((choice.estimate.speed.read_ms - 80.0).abs() < 1.0, "{:?}", choice.estimate.speed);
}

#[test]
fn a_home_without_a_status_is_assumed_to_cache_its_parts() {
    for shared in 0..30 {
        let mut placement = placement(servers(9));
        let home = choose(&mut placement.clone(), &prompt(shared, 100), &[]).server.id.clone();
        let others = placement.servers_to_query(&quick_request(&prompt(shared, 100), &[]), 9);
        let reported: Vec<_> =
            others.iter().filter(|s| s.id != home).map(|s| (s.id.clone(), status(3, 2_000, 0, 0))).collect();
        assert_eq!(choose(&mut placement, &prompt(shared, 100), &reported).server.id, home);
        // Another server that has read the parts is as good.
        let cached: Vec<_> = reported.iter().map(|(id, _)| (id.clone(), status(3, 2_000, 13_000, 13_000))).collect();
        assert_ne!(choose(&mut placement, &prompt(shared, 100), &cached).server.id, home);
    }
}

#[test]
fn a_wait_beyond_the_target_is_worth_a_transfer() {
    let home = choose(&mut placement(servers(9)), &prompt(7, 100), &[]).server.clone();
    let other = if home.id == "s0" { "s1" } else { "s0" };
    for (waiting, moves) in [(20_000, false), (50_000, true)] {
        let reported = [(home.id.clone(), status(5, waiting, 13_000, 13_000)), (other.to_owned(), status(5, 0, 0, 0))];
        let chosen = choose(&mut placement(servers(9)), &prompt(7, 101), &reported);
        assert_eq!(chosen.fetch, moves.then_some(home.address), "{waiting} tokens wait at home");
    }
}

#[test]
fn four_owners_are_queried_for_a_prompt_with_few_shared_tokens() {
    let mut placement = placement(servers(9));
    let prompt = quick_prompt(100);
    assert_eq!(placement.servers_to_query(&quick_request(&prompt, &[]), 9).len(), 4);
    let long = deep_prompt(7);
    assert_eq!(placement.servers_to_query(&quick_request(&long, &[]), 9).len(), 9);
}

/// Statuses of two servers with 64 slots and this many running or waiting requests each, one of which ends every 100
/// ms.
fn busy_slots(running: u32) -> Vec<(String, ServerStatus)> {
    let load = Load { running, urgencies: [(0, running)].into(), ..Load::default() };
    let status = ServerStatus { load, completion_interval_ms: 100.0, ..ServerStatus::default() };
    ["s0", "s1"].map(|id| (id.to_owned(), status.clone())).into()
}

/// Returns how long a quick request would have to wait for a slot; `None` if it is sent.
fn refused(placement: &mut Placement, running: u32, urgency: u8, now: u64) -> Option<f64> {
    let (prompt, statuses) = (quick_prompt(100), busy_slots(running));
    let request = PlacementRequest { urgency, now, ..quick_request(&prompt, &statuses) };
    match placement.choose(&request) {
        Ok(_) => None,
        Err(Refusal::Overloaded { wait_ms }) => Some(wait_ms),
        Err(other) => panic!("there are servers: {other:?}"),
    }
}

#[test]
fn nothing_is_refused_while_a_slot_is_free_or_becomes_free_in_time() {
    for running in [0, 32, 63, 64, 70, 78] {
        assert_eq!(refused(&mut placement(servers(2)), running, 3, 0), None, "{running} of 64 slots");
    }
}

#[test]
fn nothing_is_refused_while_a_more_expensive_server_has_a_slot() {
    let full = Load { running: 80, urgencies: [(0, 80)].into(), ..Load::default() };
    // This server caches the prompt, so that waiting there would cost less than reading the prompt again.
    let full = ServerStatus {
        load: full,
        cached_tokens: 13_000,
        confirmed_tokens: 0,
        completion_interval_ms: 100.0,
        ..ServerStatus::default()
    };
    for urgency in [0, 3] {
        let (mut placement, prompt) = (placement(servers(2)), prompt(7, 100));
        let statuses = [("s0".to_owned(), full.clone()), ("s1".to_owned(), status(0, 0, 0, 0))];
        let choice = placement.choose(&PlacementRequest { urgency, ..quick_request(&prompt, &statuses) });
        assert_eq!(choice.expect("a slot").server.id, "s1");
    }
}

#[test]
fn a_request_that_would_wait_beyond_its_target_is_refused() {
    assert_eq!(refused(&mut placement(servers(2)), 79, 0, 0), Some(1_600.0), "the target is 1,500 ms");
}

#[test]
fn less_urgent_requests_are_refused_first() {
    let mut placement = placement(servers(2));
    let admitted = |placement: &mut Placement, urgency| {
        let fits = |running: &u32| refused(placement, *running, urgency, 0).is_none();
        (64..90).filter(fits).count()
    };
    let counts = [0, 1, 2].map(|urgency| admitted(&mut placement, urgency));
    assert_eq!(counts, [15, 7, 5], "waits of 1,500, 750 and 500 ms");
    assert_eq!(refused(&mut placement, 78, 2, 10_000), None, "no more urgent request has come recently");
}

#[test]
fn less_urgent_requests_do_not_block_the_slots_of_more_urgent_ones() {
    let mut placement = placement(servers(2));
    let prompt = quick_prompt(100);
    let status_with = |less_urgent: u32, urgent: u32| {
        let urgencies = [(1, less_urgent), (0, urgent)].into_iter().filter(|(_, count)| *count > 0).collect();
        ServerStatus {
            load: Load { running: less_urgent + urgent, urgencies, ..Load::default() },
            ..ServerStatus::default()
        }
    };
    let statuses = [("s0".to_owned(), status_with(200, 60)), ("s1".to_owned(), status_with(0, 90))];
    let urgent = placement.choose(&quick_request(&prompt, &statuses)).expect("a slot of a less urgent request");
    assert_eq!(urgent.server.id, "s0");
    let less_urgent = placement.choose(&PlacementRequest { urgency: 1, ..quick_request(&prompt, &statuses) });
    assert!(matches!(less_urgent, Err(Refusal::Overloaded { .. })), "{less_urgent:?}");
    let free = [("s0".to_owned(), status_with(10, 54)), ("s1".to_owned(), status_with(0, 63))];
    assert_eq!(
        placement.choose(&quick_request(&prompt, &free)).expect("a slot").server.id,
        "s1",
        "no request is displaced"
    );
}

#[test]
fn a_request_that_was_sent_before_is_not_refused_for_lack_of_a_slot() {
    let mut placement = placement(servers(2));
    let (prompt, statuses, tried) = (quick_prompt(100), busy_slots(100), ["s0".to_owned()]);
    let request = PlacementRequest { tried: &tried, ..quick_request(&prompt, &statuses) };
    assert_eq!(placement.choose(&request).expect("a server").server.id, "s1");
}

#[test]
fn a_server_that_fails_twice_is_paused_and_then_probed_by_one_request() {
    let mut placement = placement(servers(2));
    for _ in 0..2 {
        placement.record_sent(MODEL, "s0", Work::default());
        placement.record_end(MODEL, "s0", Work::default(), Ending::Broken, 1_000);
    }
    for shared in 0..40 {
        assert_eq!(choose(&mut placement, &prompt(shared, 100 + shared), &[]).server.id, "s1");
    }
    let chosen = (0..40).map(|shared| choose_at(&mut placement, 2_000, &prompt(shared, 500 + shared), &[], &[]));
    assert_eq!(chosen.filter(|choice| choice.server.id == "s0").count(), 1);
}

#[test]
fn with_all_servers_paused_the_one_whose_pause_ends_first_is_used() {
    let mut placement = placement(servers(1));
    placement.record_end(MODEL, "s0", Work::default(), Ending::Unreached, 1_000);
    assert_eq!(choose(&mut placement, &prompt(1, 2), &[]).server.id, "s0");
}

#[test]
fn plain_requests_stay_in_their_hall_unless_it_is_busy() {
    let mut placement = placement(vec![server(0, "here", false), server(1, "there", false)]);
    let request = PlacementRequest {
        service: MODEL,
        prompt: None,
        target: TARGET,
        gap_limit: None,
        urgency: 0,
        bytes: 600,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses: &[],
        now: 0,
    };
    assert_eq!(placement.choose(&request).expect("a server").server.id, "s0");
    for _ in 0..70 {
        placement.record_sent(MODEL, "s0", Work::default());
    }
    assert_eq!(placement.choose(&request).expect("a server").server.id, "s1");
}

/// A status with all slots taken by requests that are as urgent, of which one ends every 100 ms.
fn loaded(running: u32) -> ServerStatus {
    let load = Load { running, urgencies: [(0, running)].into(), ..Load::default() };
    ServerStatus { load, cached_tokens: 200, completion_interval_ms: 100.0, ..ServerStatus::default() }
}

/// A silent owner made its server look idle, so that every box sent all requests there.
#[test]
fn a_home_whose_owner_is_silent_is_not_chosen_before_servers_with_as_much_load_as_others() {
    let prompt = quick_prompt(100);
    let mut placement = placement(servers(9));
    let home = choose(&mut placement.clone(), &prompt, &[]).server.id.clone();
    let statuses: Vec<(String, ServerStatus)> =
        servers(9).into_iter().filter(|s| s.id != home).take(4).map(|s| (s.id, loaded(70))).collect();
    let choice = placement.choose(&quick_request(&prompt, &statuses)).expect("a server");
    assert_ne!(choice.server.id, home, "the home is taken to be as loaded as the servers that answered");
    let statuses: Vec<_> = statuses.into_iter().map(|(id, _)| (id, loaded(90))).collect();
    let refused = placement.choose(&quick_request(&prompt, &statuses));
    assert!(
        matches!(refused, Err(Refusal::Overloaded { .. })),
        "where all that answered are full, it isn't taken to be idle"
    );
}

/// Queries went to the servers that look cheapest, which are those whose owners are silent, and kept them silent.
#[test]
fn servers_with_silent_owners_are_queried_last() {
    let mut placement = placement(servers(9));
    let silent: Vec<String> = servers(9).into_iter().take(5).map(|s| s.id).collect();
    for id in &silent {
        placement.record_missed_status(MODEL, id, 1_000);
    }
    let queried = |placement: &mut Placement, now: u64| -> Vec<String> {
        let prompt = quick_prompt(100);
        let request = PlacementRequest { now, ..quick_request(&prompt, &[]) };
        placement.servers_to_query(&request, 4).iter().map(|s| s.id.clone()).collect()
    };
    assert!(queried(&mut placement, 1_100).iter().all(|id| !silent.contains(id)));
    assert!(
        queried(&mut placement, 1_400).iter().any(|id| silent.contains(id)),
        "they are queried again after a while"
    );
}

/// A server that turns requests away at once has nothing running, and so looked idle.
#[test]
fn a_server_that_turned_a_request_away_is_not_chosen_for_a_while() {
    let prompt = quick_prompt(100);
    let idle = |full: bool| ServerStatus { full, ..status(0, 0, 200, 200) };
    let reported = |s0: bool, s1: bool| vec![("s0".to_owned(), idle(s0)), ("s1".to_owned(), idle(s1))];
    let mut fresh = placement(servers(2));
    let record = |placement: &mut Placement, statuses: &[(String, ServerStatus)]| {
        for (id, status) in statuses {
            placement.on_status(MODEL, id, status.clone(), 1_000);
        }
    };
    let one_full = reported(true, false);
    record(&mut fresh, &one_full);
    assert_eq!(fresh.choose(&quick_request(&prompt, &one_full)).expect("a server").server.id, "s1");
    let both_full = reported(true, true);
    record(&mut fresh, &both_full);
    assert!(fresh.choose(&quick_request(&prompt, &both_full)).is_err());

    let mut own = placement(servers(2));
    let statuses = reported(false, false);
    record(&mut own, &statuses);
    let first = own.choose(&quick_request(&prompt, &statuses)).expect("a server").server.id.clone();
    own.record_ending(MODEL, &first, Ending::NotRun, 1_000);
    let next = own.choose(&quick_request(&prompt, &statuses)).expect("a server").server.id.clone();
    assert_ne!(next, first);
    let later = PlacementRequest { now: 1_300, ..quick_request(&prompt, &statuses) };
    assert_eq!(own.choose(&later).expect("a server").server.id, first);
}

/// With a quota for cold servers, every busy server is at it. Servers without a status were compared instead, looked
/// idle, and got all requests of all boxes.
#[test]
fn servers_at_the_cold_quota_are_chosen_before_servers_of_unknown_load() {
    let cold = routing::ColdStart { duration: Duration::from_secs(3), requests_per_s: 5.0 };
    let mut placement = Placement::new("here", RetryBudget::new(0.2, 50.0, 10_000));
    let table = Table::new(1, vec![route(Some(SHORT_GAP))], vec![service(64, 4, Some(cold))]);
    common::update(&mut placement, &table, servers(9), &[], 0);
    let busy = || ServerStatus { arrivals: 100, ..loaded(20) };
    for own in 0..20 {
        let prompt = quick_prompt(100 + own);
        let asked = placement.servers_to_query(&quick_request(&prompt, &[]), 9);
        let mut statuses: Vec<_> = asked.iter().skip(1).map(|s| (s.id.clone(), busy())).collect();
        let choice = placement.choose(&quick_request(&prompt, &statuses)).expect("slots are free");
        assert!(statuses.iter().any(|(id, _)| *id == choice.server.id), "{} is unknown", choice.server.id);
        let further = placement.further_servers_to_query(
            &PlacementRequest { now: 10_000 + own * 1_000, ..quick_request(&prompt, &statuses) },
            9,
        );
        assert_eq!(further.len(), 9 - statuses.len(), "others are queried first");
        statuses.push((further[0].id.clone(), loaded(20)));
        let choice = placement.choose(&quick_request(&prompt, &statuses)).expect("slots are free");
        assert_eq!(choice.server.id, further[0].id, "the one below the quota");
    }
}

/// A queue full of less urgent requests turned the most urgent ones away, since these don't wait for them in the queue.
#[test]
fn a_server_known_to_turn_requests_away_is_not_filled_and_keeps_room_for_the_most_urgent() {
    let prompt = quick_prompt(100);
    // 64 slots; it turned a request away with 100 requests there, most of them less urgent than those of this test.
    let status = |running: u32| ServerStatus {
        load: Load { running, urgencies: [(9, running)].into(), ..Load::default() },
        max_running: 100,
        ..ServerStatus::default()
    };
    let admitted = |running: u32, urgency: u8| {
        let mut placement = placement(servers(1));
        let statuses = [("s0".to_owned(), status(running))];
        let request = |urgency| PlacementRequest { urgency, ..quick_request(&prompt, &statuses) };
        // A request of the most urgent class was there before.
        let _ = placement.choose(&request(0));
        placement.choose(&request(urgency)).is_ok()
    };
    assert_eq!([81, 99, 100].map(|running| admitted(running, 0)), [true, true, false]);
    assert_eq!([81, 82, 99].map(|running| admitted(running, 3)), [true, false, false], "half of the queue of 36");
}
