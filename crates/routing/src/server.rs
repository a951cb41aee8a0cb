//! One life of one server.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A server since its last start. A restart is another server, at the same address or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Names this life; never used again.
    pub id: String,
    /// What the server itself and its entry are called. A later life may have the same name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens. After its end another service's server may listen there.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True when it takes no new work.
    pub draining: bool,
    /// How much longer it was slow when its entry was written, in milliseconds; 0 when it wasn't.
    pub cold_ms: u32,
}
