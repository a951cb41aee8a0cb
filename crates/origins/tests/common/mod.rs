//! Servers and configurations shared by the tests of origins.
// Each of them uses only a part of this module.
#![allow(dead_code)]

use origins::Origin;
use routing::{Change, Directory, Kind, Position, Route, Server, Share, Table, Version};
use std::time::Duration;

/// The route of all tests, and its time limit.
pub const ROUTE: &str = "stream";
pub const TIMEOUT_MS: u64 = 12_000;

pub fn server(name: &str, version: &str) -> Server {
    Server {
        id: name.to_owned(),
        name: name.to_owned(),
        service: "model".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        version: Version::new(version),
        hall: "hall".to_owned(),
        slots: 64,
        draining: false,
        cold_ms: 0,
    }
}

/// A complete list of these servers, given by name and version.
pub fn directory(servers: &[(&str, &str)]) -> Directory {
    let mut directory = Directory::default();
    let changes = servers.iter().map(|(name, version)| Change::Present(server(name, version))).collect();
    directory.apply(changes, Position::new(0, 1));
    directory
}

/// A configuration whose route leads to these services.
pub fn table(version: u64, services: &[&str]) -> Table {
    table_with_routes(version, &[(ROUTE, "/stream/", services)])
}

/// A configuration with these routes of streams, given by name, prefix and services.
pub fn table_with_routes(version: u64, routes: &[(&str, &str, &[&str])]) -> Table {
    let share = |service: &&str| Share { service: (*service).to_owned(), weight: 1 };
    let route = |(name, prefix, services): &(&str, &str, &[&str])| Route {
        name: (*name).to_owned(),
        host: "a.example".to_owned(),
        prefix: (*prefix).to_owned(),
        kind: Kind::Stream { resumable: true },
        timeout: Duration::from_millis(TIMEOUT_MS),
        latency_target: Duration::from_millis(1_500),
        gap_target: None,
        priority: 0,
        shares: services.iter().map(share).collect(),
        max_attempts: 2,
        no_auth: false,
        allowed_regions: None,
    };
    Table::new(version, routes.iter().map(route).collect(), Vec::new())
}

pub fn origin(version: &str) -> Origin {
    Origin { service: "model".to_owned(), version: Version::new(version) }
}
