//! Who sends requests.

use crate::AllowedRegions;

/// A customer, found by one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, as servers are told it.
    pub name: String,
    /// Rank of its requests, 0 first; none when only the route's counts.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; none where any will do. A route's own bind as well.
    pub allowed_regions: Option<AllowedRegions>,
}
