//! Services and the limits of their servers.

use std::time::Duration;

/// Properties of the engines of a model service, from the published configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that one server runs concurrently.
    pub slots: u32,
    /// Capacity of one server's KV cache in tokens, shared by running requests and cached prompt parts.
    pub memory_tokens: u64,
    /// Size of one token's entry in the KV cache, as transferred over a link, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of the links between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on a server that has just started, or has become cold again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time until it is warm.
    pub duration: Duration,
    /// Requests per second that it sustains until then; above 0.
    pub requests_per_s: f64,
}

/// A group of interchangeable servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, as in routes and server entries.
    pub name: String,
    /// Maximum number of connections that one server accepts from all clients together.
    pub max_connections: u32,
    /// Set if its servers are model engines.
    pub engine: Option<Engine>,
    /// Limits on its servers during a cold start; `None` if cold servers need no limits.
    pub cold_start: Option<ColdStart>,
}
