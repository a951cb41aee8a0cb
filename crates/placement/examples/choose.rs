//! Measures the time of a choice among 320 engines: `cargo run --release -p placement --example choose`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{route, server, service, MODEL};
use placement::{Part, Placement, PlacementRequest, Prompt, RetryBudget, ServerStatus};
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
        let parts = vec![Part { id: index % 60, tokens: shared }, Part { id: 10_000 + index, tokens: 3_000 }];
        let prompt =
            Prompt { model: "m".to_owned(), tokens: shared + 3_000, max_out_tokens: 200, out_tokens_hint: None, parts };
        let request = PlacementRequest {
            service: MODEL,
            prompt: Some(&prompt),
            target: Duration::from_millis(1_500),
            gap_limit: Some(Duration::from_millis(500)),
            urgency: 0,
            bytes: 17_000,
            tried: &[],
            denied: &[],
            allowed_regions: [None, None],
            statuses: &[],
            now: index * 300,
        };
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
