//! Instances that may have ended, as told to other boxes.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// A listed instance that was seen to end. A later life may have its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// Id of the server instance.
    pub server: String,
    /// Milliseconds since it was last seen to end.
    pub ago: Millis,
}
