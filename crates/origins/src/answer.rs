//! Answers about the origin of a stream.

use crate::Origin;
use serde::{Deserialize, Serialize};

/// What a box knows about the origin of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The origin on record.
    pub recorded: Option<Origin>,
    /// The only origin that streams of the route can have; `None` unless the box can prove it.
    pub sole: Option<Origin>,
}
