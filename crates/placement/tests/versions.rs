//! Streams that only servers of one software version may go on with.

mod common;

use common::{prompt, request, request_without_prompt, route, server, service, update};
use placement::{Part, Placement, PlacementRequest, Refusal, RetryBudget};
use routing::{Server, Service, Table, Version};

/// The only server of its version, in a pool that is large enough to be sampled.
const LAST_SERVER: usize = 700;
const SERVERS: usize = 1_200;

/// Servers of version `v2`, except the last one of version `v1`.
fn servers() -> Vec<Server> {
    let version = |index| Version::new(if index == LAST_SERVER { "v1" } else { "v2" });
    (0..SERVERS).map(|index| Server { version: version(index), ..server(index, "hall") }).collect()
}

fn placement(service: Service, servers: Vec<Server>) -> Placement {
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    update(&mut placement, &Table::new(1, vec![route(None)], vec![service]), servers, &[], 0);
    placement
}

/// Guards against streams that go on at another version, or nowhere, where few of many servers have theirs.
#[test]
fn the_last_server_of_a_version_is_found_among_many() {
    let mut placement = placement(service(64, 8, None), servers());
    let version = Version::new("v1");
    for part in 0..50 {
        let prompt = prompt(Part { id: part, tokens: 13_000 }, Part { id: 1_000 + part, tokens: 3_000 });
        let request = PlacementRequest { version: Some(&version), now: 1_000, ..request(&prompt) };
        assert!(placement.servers_to_query(&request, 9).iter().all(|server| server.version == version));
        let choice = placement.choose(&request).expect("a server");
        assert_eq!(choice.server.id, format!("s{LAST_SERVER}"));
    }
}

/// Guards against streams that wait for a server that doesn't exist, or take one of another version.
#[test]
fn a_version_without_servers_is_refused() {
    let listed = servers().into_iter().filter(|server| server.version == Version::new("v2")).collect();
    let version = Version::new("v1");
    let request = PlacementRequest { version: Some(&version), now: 1_000, ..request_without_prompt() };
    assert_eq!(placement(service(64, 8, None), listed).choose(&request).err(), Some(Refusal::NoServer));
}

/// Guards against a dispatcher that assigns a stream to a server of another version.
#[test]
fn servers_of_other_versions_are_excluded_from_assigned_slots() {
    let placement = placement(Service { engine: None, ..service(64, 4, None) }, servers());
    let version = Version::new("v1");
    let request = PlacementRequest { now: 1_000, ..request_without_prompt() };
    assert!(placement.other_versions(&request).is_empty());
    let bound = PlacementRequest { version: Some(&version), ..request };
    let excluded = placement.other_versions(&bound);
    assert_eq!((excluded.len(), excluded.contains(&format!("s{LAST_SERVER}"))), (SERVERS - 1, false));
}
