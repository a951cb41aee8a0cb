//! Measures how the cost of tracking servers grows with their number: `cargo run --release -p placement --example
//! slopes`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{prompt, request, route, server, service};
use placement::{Part, Placement, PlacementRequest, RetryBudget, ServerStatus, Snapshot};
use routing::{Change, Directory, Evacuations, Position, Server, Table};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Numbers of listed servers.
const SIZES: [usize; 5] = [320, 1_000, 3_000, 6_000, 12_000];

/// Rounds measured for each size.
const ROUNDS: u64 = 200;

/// Maximum number of owners queried for a choice.
const MAX_QUERIES: usize = 9;

fn entry(index: usize) -> Server {
    // Names are spread as evenly as those on the users' platform.
    let name = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let id = format!("i-{:010x}", name >> 24);
    let address = ([10, (index / 40_000) as u8, (index / 200 % 200) as u8, (index % 200) as u8 + 1], 80).into();
    Server { name: id.clone(), id, address, ..server(index % 10_000, &format!("hall-{}", index % 5)) }
}

fn table() -> Table {
    Table::new(1, vec![route(Some(Duration::from_millis(500)))], vec![service(64, 8, None)])
}

/// Returns the mean time of a round in microseconds.
fn micros(mut round: impl FnMut(u64) -> Duration) -> f64 {
    (0..ROUNDS).map(&mut round).sum::<Duration>().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn choose(placement: &mut Placement, round: u64) -> Duration {
    let prompt = prompt(Part { id: round % 60, tokens: 13_000 }, Part { id: 10_000 + round, tokens: 3_000 });
    let gap_limit = Some(Duration::from_millis(500));
    let request = PlacementRequest { gap_limit, now: round * 300, ..request(&prompt) };
    let began = Instant::now();
    let planned = placement.servers_to_query(&request, MAX_QUERIES);
    let statuses: Vec<_> = planned.iter().map(|server| (server.id.clone(), ServerStatus::default())).collect();
    let _ = black_box(placement.choose(&PlacementRequest { statuses: &statuses, ..request }));
    began.elapsed()
}

fn main() {
    println!("servers  choice  update  change  digests   (microseconds)");
    for size in SIZES {
        let table = table();
        let mut directory = Directory::default();
        directory.apply((0..size).map(|index| Change::Present(entry(index))).collect(), Position::new(0, 1));
        let mut placement = Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000));
        let evacuations = Evacuations::default();
        let put = |placement: &mut Placement, directory: &Directory, now: u64| {
            let began = Instant::now();
            placement.update(&Snapshot { table: &table, directory, evacuations: &evacuations }, now);
            began.elapsed()
        };
        put(&mut placement, &directory, 0);
        let choice = micros(|round| choose(&mut placement, round));
        let mut changed = Duration::ZERO;
        let update = micros(|round| {
            let changes = vec![Change::Present(Server { draining: round % 2 == 0, ..entry(round as usize / 2) })];
            let shared = directory.clone();
            let began = Instant::now();
            directory.apply(changes, Position::new(0, 2 + round));
            changed += began.elapsed();
            drop(shared);
            put(&mut placement, &directory, round)
        });
        let change = changed.as_secs_f64() * 1e6 / ROUNDS as f64;
        let digests = micros(|_| {
            let began = Instant::now();
            black_box(directory.digests());
            began.elapsed()
        });
        println!("{size:7} {choice:7.1} {update:7.1} {change:7.1} {digests:8.2}");
    }
}
