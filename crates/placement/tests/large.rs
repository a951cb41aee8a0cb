//! Tests of choices in a pool of more than a thousand servers, of which each request considers a sample.

mod common;

use common::{prompt, request, route, server, service};
use placement::{Part, Placement, PlacementRequest, RetryBudget};
use routing::{AllowedRegions, HallRegions, Server, Table};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const SERVERS: usize = 1_200;

/// Number of parts whose homes are determined.
const PARTS: u64 = 600;

/// The only hall in a region of its own, and the number of its servers.
const REMOTE_HALL: &str = "far";
const REMOTE_SERVERS: usize = 3;

fn servers() -> Vec<Server> {
    let hall =
        |index: usize| if index < REMOTE_SERVERS { REMOTE_HALL.to_owned() } else { format!("hall-{}", index % 5) };
    (0..SERVERS).map(|index| server(index, &hall(index))).collect()
}

fn placement(servers: Vec<Server>) -> Placement {
    let halls = (0..5).map(|hall| (format!("hall-{hall}"), "near".to_owned()));
    let regions: HallRegions = halls.chain([(REMOTE_HALL.to_owned(), "far".to_owned())]).collect();
    let mut placement = Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000)).with_regions(regions);
    let table = Table::new(1, vec![route(Some(Duration::from_millis(500)))], vec![service(64, 8, None)]);
    common::update(&mut placement, &table, servers, &[], 0);
    placement
}

/// Returns the server chosen for a request whose prompt shares a part, and the first server to query for it.
fn choose(placement: &mut Placement, shared: u64, own: u64, regions: Option<&AllowedRegions>) -> (String, String) {
    let prompt = prompt(Part { id: shared, tokens: 13_000 }, Part { id: own, tokens: 3_000 });
    let request = PlacementRequest { allowed_regions: [regions, None], now: 1_000, ..request(&prompt) };
    let planned = placement.servers_to_query(&request, 9);
    let chosen = placement.choose(&request).expect("a server");
    (chosen.server.id.clone(), planned[0].id.clone())
}

/// Returns the homes of [`PARTS`] parts.
fn homes(placement: &mut Placement) -> Vec<String> {
    (0..PARTS).map(|part| choose(placement, part, 100_000 + part, None).1).collect()
}

/// Weighing all servers for each request takes 9 ms of a core with 6,000 servers, where a small box has 75 ms, and 26
/// ms with 12,000. A sample bounds the time to that of a small pool, but boxes must agree on the sample without
/// communication.
#[test]
fn homes_of_parts_agree_between_boxes_are_spread_evenly_and_rarely_move() {
    let mut one = placement(servers());
    let known = homes(&mut one);
    assert_eq!(known, homes(&mut placement(servers().into_iter().rev().collect())));
    let mut counts: HashMap<&str, usize> = HashMap::new();
    known.iter().for_each(|home| *counts.entry(home).or_default() += 1);
    // Nine tenths of the expected number of homes under an even random choice.
    let expected = SERVERS as f64 * (1.0 - (-(PARTS as f64) / SERVERS as f64).exp());
    assert!(counts.len() as f64 > 0.9 * expected, "{} homes", counts.len());
    assert!(counts.values().all(|count| *count <= 7), "{counts:?}");
    // Three in a hundred servers are removed.
    let left: Vec<Server> = servers().into_iter().enumerate().filter(|(i, _)| i % 33 != 0).map(|(_, s)| s).collect();
    let gone: HashSet<String> =
        servers().into_iter().enumerate().filter(|(i, _)| i % 33 == 0).map(|(_, s)| s.id).collect();
    let after = homes(&mut placement(left));
    let moved = known.iter().zip(&after).filter(|(before, after)| before != after && !gone.contains(*before)).count();
    assert!(moved as u64 <= PARTS / 20, "{moved} parts moved though their homes stay");
}

#[test]
fn requests_that_share_one_part_are_spread_over_the_pool() {
    let mut one = placement(servers());
    let mut sent = HashSet::new();
    for own in 0..300 {
        let prompt = prompt(Part { id: 5, tokens: 100 }, Part { id: 1_000 + own, tokens: 300 });
        let request = PlacementRequest { bytes: 1_000, now: 1_000, ..request(&prompt) };
        sent.extend(one.servers_to_query(&request, 9).iter().map(|server| server.id.clone()));
    }
    assert!(sent.len() > SERVERS / 3, "{} servers are considered", sent.len());
}

#[test]
fn the_few_eligible_servers_of_a_large_pool_are_found() {
    let mut one = placement(servers());
    let regions = AllowedRegions::new(vec!["far".to_owned()]).expect("a region");
    for part in 0..10 {
        let (chosen, queried) = choose(&mut one, part, 1_000 + part, Some(&regions));
        for id in [&chosen, &queried] {
            let index: usize = id[1..].parse().expect("a number");
            assert!(index < REMOTE_SERVERS, "{id}");
        }
    }
}
