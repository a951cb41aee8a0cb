//! Whether a box takes part.

use serde::{Deserialize, Serialize};

/// The status of one life of a box. Of two reports about the same life the greater one holds; the box contradicts it with
/// a later incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It takes part.
    #[default]
    Alive,
    /// The watchers of its hall have not heard from it for a while.
    Silent,
    /// It has announced that it is shutting down.
    Left,
}
