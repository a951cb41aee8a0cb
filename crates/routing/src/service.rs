//! One service.

use std::time::Duration;

/// What is known of a model server pool's engines. From the published configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Tokens that one server's memory holds, of running requests and kept prompt parts together.
    pub memory_tokens: u64,
    /// Bytes of one token in that memory, as they cross a link.
    pub token_bytes: u64,
    /// Speed of the links between engines in Mbit/s.
    pub link_mbps: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// What a server bears that has just started, or has turned cold again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long it stays cold.
    pub duration: Duration,
    /// Requests a second that it bears meanwhile; above 0.
    pub requests_per_s: f64,
}

/// A group of servers of which each can answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, as in routes and server entries.
    pub name: String,
    /// Most connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Present when its servers are model engines.
    pub engine: Option<Engine>,
    /// What its servers bear while they are cold; none where a cold server bears what others do.
    pub cold_start: Option<ColdStart>,
}
