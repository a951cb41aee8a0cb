//! Customers, on whose behalf requests are sent.

use crate::AllowedRegions;

/// A customer, identified by any of its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, as passed on to servers.
    pub name: String,
    /// Priority of its requests, 0 being the highest; `None` if only the route's priority counts.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; `None` for any region. The route's own regions apply as well.
    pub allowed_regions: Option<AllowedRegions>,
}
