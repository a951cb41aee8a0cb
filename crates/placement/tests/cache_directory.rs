//! Tests of shared parts that were read away from their home, as happens when a burst of long prompts finds the home
//! full: the next box that needs them must fetch them instead of having them read again.

mod common;

use common::{server, service, MODEL};
use placement::{
    Choice, Load, Owner, Part, Placement, PlacementRequest, Prefill, Prompt, RetryBudget, SendReport, SendUpdate,
    ServerStatus, StatusQuery,
};
use routing::Table;
use std::net::SocketAddr;
use std::time::Duration;

const SERVERS: usize = 40;

fn placement() -> Placement {
    let mut placement = Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000));
    let servers = (0..SERVERS).map(|index| server(index, &format!("hall-{}", index % 2))).collect();
    common::update(&mut placement, &Table::new(1, Vec::new(), vec![service(64, 6, None)]), servers, &[], 0);
    placement
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![Part { id: shared, tokens: 13_000 }, Part { id: own, tokens: 3_000 }];
    Prompt { model: "m".to_owned(), tokens: 16_000, max_out_tokens: 100, out_tokens_hint: None, parts }
}

/// Queries the owners of nine servers and chooses. The first five servers, which are queried for the prompt's parts,
/// are reported as busy.
fn choose(one: &mut Placement, owner: &mut Owner, prompt: &Prompt, now: u64) -> Choice {
    let request = |statuses| PlacementRequest {
        service: MODEL,
        prompt: Some(prompt),
        target: Duration::from_millis(2_500),
        gap_limit: None,
        urgency: 2,
        bytes: 17_000,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses,
        now,
    };
    let planned = one.servers_to_query(&request(&[]), 9);
    let mut statuses = Vec::new();
    for (index, server) in planned.iter().enumerate() {
        let query = StatusQuery {
            number: 1,
            server: server.id.clone(),
            parts: prompt.parts.clone(),
            gap_ms: 0,
            ..StatusQuery::default()
        };
        let mut status = owner.on_query(&query, now);
        if index < 5 {
            let prefill = Prefill { tokens: 4_000_000, ..Prefill::default() };
            status.load = Load { running: 60, prefill, ..Load::default() };
        }
        one.on_status(MODEL, &server.id, status.clone(), now);
        statuses.push((server.id.clone(), status));
    }
    one.choose(&request(&statuses)).expect("a server")
}

#[test]
fn a_part_read_away_from_its_home_is_fetched_by_the_next_box() {
    let mut again = 0;
    for shared in 0..50 {
        let (mut owner, mut first_box, mut other_box) = (Owner::default(), placement(), placement());
        let first = choose(&mut first_box, &mut owner, &prompt(shared, 1_000), 0);
        let from = SocketAddr::from(([10, 1, 0, 1], 80));
        let report = |owner: &mut Owner, number: u64, server: &str, update: SendUpdate| {
            owner.on_report(from, SendReport { number, server: server.to_owned(), update }, 100);
        };
        let prompt_sent = prompt(shared, 1_000);
        let sent = SendUpdate::Sent { parts: prompt_sent.parts, work: first.work, memory: 400_000, permitted: false };
        report(&mut owner, 1, &first.server.id, sent);
        report(&mut owner, 1, &first.server.id, SendUpdate::Read);
        for (directory, part) in &first.cache_directories {
            assert_eq!(*part, shared);
            report(&mut owner, 2, &directory.id, SendUpdate::Elsewhere { part: *part, by: first.server.id.clone() });
        }
        let next = choose(&mut other_box, &mut owner, &prompt(shared, 2_000), 200);
        let reads = next.work.prefill.tokens > 3_000;
        again += usize::from(reads);
        if next.fetch.is_some() {
            assert_eq!(next.fetch, Some(first.server.address));
        }
    }
    assert_eq!(again, 0, "of 50 parts, this many were read again");
}

#[test]
fn a_cache_directory_remembers_the_last_readers_of_a_part() {
    let mut owner = Owner::default();
    let from = SocketAddr::from(([10, 1, 0, 1], 80));
    for reader in ["a", "b", "c", "a", "d"] {
        let update = SendUpdate::Elsewhere { part: 7, by: reader.to_owned() };
        owner.on_report(from, SendReport { number: 0, server: "s".to_owned(), update }, 0);
    }
    let mut cached_by = |parts: &[u64]| {
        let parts = parts.iter().map(|id| Part { id: *id, tokens: 5_000 }).collect();
        let query = StatusQuery { number: 1, server: "s".to_owned(), parts, gap_ms: 0, ..StatusQuery::default() };
        let ServerStatus { cached_by, .. } = owner.on_query(&query, 1);
        cached_by
    };
    assert_eq!(cached_by(&[7, 100]), ["d", "a", "c"]);
    assert!(cached_by(&[8, 100]).is_empty(), "another part");
    assert!(cached_by(&[7]).is_empty(), "a request's own part is not shared");
}
