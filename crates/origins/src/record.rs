//! Records that boxes exchange.

use crate::{Origin, Stream};
use serde::{Deserialize, Serialize};

/// The origin of a stream, as told to another box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub stream: Stream,
    /// What began it.
    pub origin: Origin,
    /// Milliseconds for which its caller may still come back.
    pub left_ms: u32,
}
