//! What travels between two boxes.

use serde::{Deserialize, Serialize};

/// A message between two boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope {
    /// For the decisions.
    Policy(policy::Message),
    /// For the fleet.
    Fleet(fleet::Message),
}
