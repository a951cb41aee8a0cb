//! Tests of incremental updates of the published state.

mod common;

use common::{prompt, request, route, server, service, MODEL};
use placement::{Limit, LimitUpdate, Part, Placement, PlacementRequest, RetryBudget, Snapshot};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Change, Directory, Evacuations, Position, Server, Table};
use std::collections::HashSet;
use std::time::Duration;

const SERVERS: usize = 40;

fn placement() -> Placement {
    Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000))
}

fn table() -> Table {
    Table::new(1, vec![route(Some(Duration::from_millis(500)))], vec![service(64, 8, None)])
}

/// A server with one of a fixed set of names, in its hall; its instance and its service vary. An instance that is
/// leaving stays so.
fn entry(rng: &mut ChaCha8Rng, leaving: &mut HashSet<String>) -> Server {
    let index = rng.random_range(0..SERVERS);
    let instance = rng.random_range(0..2);
    let service = if rng.random_bool(0.9) { MODEL } else { "other" };
    let id = format!("s{index}-{instance}");
    if rng.random_bool(0.1) {
        leaving.insert(id.clone());
    }
    Server {
        draining: leaving.contains(&id),
        id,
        service: service.to_owned(),
        ..server(index, &format!("hall-{}", index % 5))
    }
}

fn change(rng: &mut ChaCha8Rng, leaving: &mut HashSet<String>) -> Change {
    let server = entry(rng, leaving);
    if rng.random_bool(0.3) {
        Change::Gone(server.name)
    } else {
        Change::Present(server)
    }
}

/// Returns the servers to query and the chosen server, for ten requests.
fn choices(placement: &mut Placement, now: u64) -> Vec<(Vec<String>, Option<String>)> {
    let choose = |number: u64| {
        let prompt = prompt(Part { id: number, tokens: 13_000 }, Part { id: 10_000 + number, tokens: 3_000 });
        let request = PlacementRequest { now, ..request(&prompt) };
        let planned = placement.servers_to_query(&request, 9).iter().map(|server| server.id.clone()).collect();
        let chosen = placement.clone().choose(&request).ok().map(|choice| choice.server.id.clone());
        (planned, chosen)
    };
    (0..10).map(choose).collect()
}

/// Processing a full list for the change of one server takes 14 ms of a core with 6,000 servers: a tenth of a second
/// on a small box, three times per second while servers are replaced. An update therefore looks only at the
/// differences, and must give the same result.
#[test]
fn incremental_updates_give_the_same_choices_as_a_fresh_start() {
    let table = table();
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let mut incremental = placement();
        let mut leaving = HashSet::new();
        let mut evacuations = Evacuations::default();
        for now in 1..60 {
            let changes = (0..rng.random_range(1..4)).map(|_| change(&mut rng, &mut leaving)).collect();
            directory.apply(changes, Position::new(0, now));
            if rng.random_bool(0.1) {
                let hall = format!("hall-{}", rng.random_range(0..5));
                evacuations = Evacuations::new(Position::new(0, now), [hall].into());
            }
            let in_force = Snapshot { table: &table, directory: &directory, evacuations: &evacuations };
            incremental.update(&in_force, now);
            let mut fresh = placement();
            fresh.update(&in_force, now);
            assert_eq!(choices(&mut incremental, now), choices(&mut fresh, now), "seed {seed}, change {now}");
        }
    }
}

#[test]
fn notices_hold_while_an_entry_comes_and_goes() {
    let table = table();
    let evacuations = Evacuations::default();
    let instance = Server { id: "s1-0".to_owned(), ..server(1, "hall-0") };
    let mut placement = placement();
    let mut directory = Directory::default();
    let mut put = |placement: &mut Placement, change: Change, now: u64| {
        directory.apply(vec![change], Position::new(0, now));
        placement.update(&Snapshot { table: &table, directory: &directory, evacuations: &evacuations }, now);
    };
    put(&mut placement, Change::Present(instance.clone()), 1);
    assert!(placement.record_limit(&instance.id, Limit::PerS(3.0), 2, 3).is_some());
    assert!(placement.record_leaving(&instance.id, Some(false), 3));
    let known = (placement.limit_updates().len(), placement.leaving());
    assert_eq!(known, (1, vec![instance.id.clone()]));
    put(&mut placement, Change::Gone(instance.name.clone()), 4);
    assert_eq!((placement.limit_updates().len(), placement.leaving()), (0, Vec::new()), "no entry lists it");
    put(&mut placement, Change::Present(instance.clone()), 5);
    assert_eq!((placement.limit_updates().len(), placement.leaving()), known);
    assert!(!placement.may_send(MODEL, &instance.id, true, 6));
    // A notice that the entry shows itself is not exchanged.
    put(&mut placement, Change::Present(Server { draining: true, ..instance.clone() }), 7);
    assert_eq!(placement.leaving(), Vec::<String>::new());
}

/// A box may receive a limit after the entry of its instance has gone. If it passed the limit on indefinitely, the
/// digests of two boxes would differ permanently, and they would exchange all their notices each second.
#[test]
fn the_limit_of_an_unlisted_instance_is_not_exchanged() {
    let (table, evacuations) = (table(), Evacuations::default());
    let mut placement = placement();
    let limit_update = LimitUpdate { instance: "s1-0".to_owned(), limit: Limit::PerS(3.0), version: 1 };
    assert!(placement.on_limit_update(&limit_update, 1));
    let mut directory = Directory::default();
    directory.apply(vec![Change::Present(server(2, "hall-0"))], Position::new(0, 2));
    placement.update(&Snapshot { table: &table, directory: &directory, evacuations: &evacuations }, 2);
    assert_eq!(placement.limit_updates(), Vec::new(), "no list has it");
}
