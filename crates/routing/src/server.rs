//! Server instances.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An instance of a server. Each restart creates a new instance, at the same address or at another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// ID of the instance; never reused.
    pub id: String,
    /// Name of the server and of its entry. A later instance may have the same name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// Address where it listens. After it has stopped, a server of another service may listen there.
    pub address: SocketAddr,
    /// Version of its software. The same for the whole life of the instance; if an entry states another one, the newest
    /// entry counts, for requests that are sent from then on.
    pub version: Version,
    /// Its data hall.
    pub hall: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// Remaining time of its cold start when its entry was written, in milliseconds; 0 if it was warm.
    pub cold_ms: u32,
}
