//! Measures the time of a choice among 320 engines: `cargo run --release -p placement --example choose`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{prompt, request, route, server, service};
use placement::{Part, Placement, PlacementRequest, RetryBudget, ServerStatus};
use routing::{Server, Table};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Engines of the pool, in five halls.
const ENGINES: usize = 320;

/// Choices measured for each prompt.
const CHOICES: u64 = 2_000;

/// Maximum number of owners queried for a choice.
const MAX_QUERIES: usize = 9;

fn placement() -> Placement {
    let engine = |index: usize| {
        // Ids are as long as those on the users' platform.
        let id = format!("i-{index:010x}");
        Server { name: id.clone(), id, slots: 32, ..server(index, &format!("hall-{}", index % 5)) }
    };
    let mut placement = Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000));
    let table = Table::new(1, vec![route(Some(Duration::from_millis(500)))], vec![service(32, 8, None)]);
    common::update(&mut placement, &table, (0..ENGINES).map(engine).collect(), &[], 0);
    placement
}

/// Returns the average time to select the servers to query and to choose, for a prompt with `shared` shared tokens.
fn time(placement: &mut Placement, shared: u32) -> Duration {
    let mut took = Duration::ZERO;
    for index in 0..CHOICES {
        let prompt = prompt(Part { id: index % 60, tokens: shared }, Part { id: 10_000 + index, tokens: 3_000 });
        let gap_limit = Some(Duration::from_millis(500));
        let request = PlacementRequest { gap_limit, now: index * 300, ..request(&prompt) };
        let began = Instant::now();
        let planned = placement.servers_to_query(&request, MAX_QUERIES);
        took += began.elapsed();
        let statuses: Vec<_> = planned.iter().map(|server| (server.id.clone(), ServerStatus::default())).collect();
        let began = Instant::now();
        let choice = placement.choose(&PlacementRequest { statuses: &statuses, ..request });
        took += began.elapsed();
        let _ = black_box(choice);
    }
    took / CHOICES as u32
}

fn main() {
    let mut placement = placement();
    for (name, shared) in [("short", 300), ("long", 13_000)] {
        println!("{name} prompt: {:?} a choice", time(&mut placement, shared));
    }
}
