//! Servers, routes and tables shared by the tests and benchmarks of placement.
// Each of them uses only a part of this module.
#![allow(dead_code)]

use placement::{Part, Placement, PlacementRequest, Prompt, Snapshot};
use routing::{
    Change, ColdStart, Directory, Engine, Evacuations, Kind, Position, Route, Server, Service, Share, Table, Version,
};
use std::time::Duration;

pub const MODEL: &str = "model";

/// A warm engine with 64 slots in this hall that accepts work.
pub fn server(index: usize, hall: &str) -> Server {
    Server {
        id: format!("s{index}"),
        name: format!("s{index}"),
        service: MODEL.to_owned(),
        address: ([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 80).into(),
        version: Version::new("v1"),
        hall: hall.to_owned(),
        slots: 64,
        draining: false,
        cold_ms: 0,
    }
}

/// A route to the engines, whose answers have this gap limit.
pub fn route(gap: Option<Duration>) -> Route {
    Route {
        name: "quick".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream { resumable: true },
        timeout: Duration::from_secs(12),
        latency_target: Duration::from_millis(1_500),
        gap_target: gap,
        priority: 0,
        shares: vec![Share { service: MODEL.to_owned(), weight: 1 }],
        max_attempts: 2,
        no_auth: false,
        allowed_regions: None,
    }
}

/// The service of engines with this many slots, whose events hold `stride` tokens.
pub fn service(slots: u32, stride: u32, cold: Option<ColdStart>) -> Service {
    let engine =
        Engine { slots, memory_tokens: 500_000, token_bytes: 18_432, link_mbps: 100_000.0, tokens_per_event: stride };
    Service { name: MODEL.to_owned(), max_connections: 100, engine: Some(engine), cold_start: cold }
}

/// A prompt of two parts, of which other requests share the first.
pub fn prompt(shared: Part, own: Part) -> Prompt {
    let tokens = shared.tokens + own.tokens;
    Prompt { model: "m".to_owned(), tokens, max_out_tokens: 200, out_tokens_hint: None, parts: vec![shared, own] }
}

/// A request of the most urgent class without a gap limit, which may run anywhere.
pub fn request(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest { prompt: Some(prompt), ..request_without_prompt() }
}

/// The same without a prompt.
pub fn request_without_prompt<'a>() -> PlacementRequest<'a> {
    PlacementRequest {
        service: MODEL,
        prompt: None,
        target: Duration::from_millis(1_500),
        gap_limit: None,
        urgency: 0,
        bytes: 17_000,
        tried: &[],
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses: &[],
        now: 0,
    }
}

/// Publishes servers and evacuated halls to a placement.
pub fn update(placement: &mut Placement, table: &Table, servers: Vec<Server>, evacuated: &[&str], now: u64) {
    let mut directory = Directory::default();
    directory.apply(servers.into_iter().map(Change::Present).collect(), Position::new(0, 1));
    let halls = evacuated.iter().map(|hall| (*hall).to_owned()).collect();
    let evacuations = Evacuations::new(Position::new(0, 1), halls);
    placement.update(&Snapshot { table, directory: &directory, evacuations: &evacuations }, now);
}
