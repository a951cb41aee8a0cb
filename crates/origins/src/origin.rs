//! Origins of streams.

use routing::Version;
use serde::{Deserialize, Serialize};

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service. Versions of different services are unrelated.
    pub service: String,
    /// The software version of its server.
    pub version: Version,
}
