//! How much a server takes from all boxes together.

use serde::{Deserialize, Serialize};

/// What a server says that it takes. The order is that of strictness: the stricter of two is the less.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Limit {
    /// So many requests a second of all boxes together; neither negative nor infinite.
    PerS(f64),
    /// It names no limit.
    None,
}
