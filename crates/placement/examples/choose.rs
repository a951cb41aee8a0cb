//! How long a choice among 320 engines takes: `cargo run --release -p placement --example choose`.
//!
//! On one core of an 8-core machine that was busy otherwise, planning and choosing together: 180 us for a short prompt and
//! 189 us for a long one while ranks were computed for each comparison, 127 us and 102 us since they are computed once.

use placement::{Ask, Budget, InForce, Opinion, Part, Placement, Prompt};
use routing::{Change, Directory, Engine, Evacuations, Kind, Route, Server, Service, Share, Table};
use std::hint::black_box;
use std::time::{Duration, Instant};

const MODEL: &str = "model";

/// Engines of the pool, in five halls.
const ENGINES: usize = 320;

/// Choices that are timed for each prompt.
const CHOICES: u64 = 2_000;

/// Owners asked for a choice at most.
const ASKED: usize = 9;

fn server(index: usize) -> Server {
    Server {
        id: format!("i-{index:010x}"),
        name: format!("i-{index:010x}"),
        service: MODEL.to_owned(),
        address: ([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 80).into(),
        hall: format!("hall-{}", index % 5),
        slots: 32,
        draining: false,
        cold_ms: 0,
    }
}

fn placement() -> Placement {
    let route = Route {
        name: "quick".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream { resumable: true },
        timeout: Duration::from_secs(12),
        aim: Duration::from_millis(1_500),
        gap_aim: Some(Duration::from_millis(500)),
        priority: 0,
        shares: vec![Share { service: MODEL.to_owned(), weight: 1 }],
        attempts: 2,
        open: false,
        homes: None,
    };
    let engine = Engine { slots: 32, memory_tokens: 500_000, token_bytes: 18_432, link_mbps: 100_000.0, stride: 8 };
    let service = Service { name: MODEL.to_owned(), connections: 100, engine: Some(engine), cold: None };
    let mut directory = Directory::default();
    directory.apply((0..ENGINES).map(server).map(Change::Present).collect(), 1);
    let mut placement = Placement::new("hall-0", Budget::new(0.2, 50.0, 10_000));
    let table = Table::new(1, vec![route], vec![service]);
    let in_force = InForce { table: &table, directory: &directory, evacuations: &Evacuations::default() };
    placement.update(&in_force, 0);
    placement
}

/// Time of planning and choosing for a prompt with so many shared tokens, on average.
fn time(placement: &mut Placement, shared: u32) -> Duration {
    let mut took = Duration::ZERO;
    for index in 0..CHOICES {
        let parts = vec![Part { id: index % 60, tokens: shared }, Part { id: 10_000 + index, tokens: 3_000 }];
        let prompt = Prompt { model: "m".to_owned(), tokens: shared + 3_000, out_most: 200, out_hint: None, parts };
        let ask = Ask {
            service: MODEL,
            prompt: Some(&prompt),
            aim: Duration::from_millis(1_500),
            gap_aim: Some(Duration::from_millis(500)),
            urgency: 0,
            bytes: 17_000,
            tried: &[],
            denied: &[],
            homes: [None, None],
            opinions: &[],
            now: index * 300,
        };
        let began = Instant::now();
        let planned = placement.plan(&ask, ASKED);
        took += began.elapsed();
        let opinions: Vec<_> = planned.iter().map(|server| (server.id.clone(), Opinion::default())).collect();
        let began = Instant::now();
        let choice = placement.choose(&Ask { opinions: &opinions, ..ask });
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
