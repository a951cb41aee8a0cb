//! Who sends requests.

/// A customer, found by one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, as servers are told it.
    pub name: String,
    /// Rank of its requests, 0 first; none when only the route's counts.
    pub priority: Option<u8>,
}
