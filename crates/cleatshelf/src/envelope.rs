//! Messages between boxes.

use serde::{Deserialize, Serialize};

/// A message between two boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope {
    /// A message for the admission policy.
    Policy(policy::Message),
    /// A message for membership and releases.
    Fleet(fleet::Message),
}
