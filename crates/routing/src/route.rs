//! Routes and the services that share their requests.

use crate::{AllowedRegions, Customer, Kind};
use std::time::Duration;

/// The least urgent level that engines support.
const MAX_URGENCY: u8 = 9;

/// Urgency levels of one route, which separate its customers' priorities.
const URGENCIES_PER_ROUTE: u8 = 3;

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's shares. If all weights are 0, the first share takes all requests.
    pub weight: u32,
}

/// The requests for one host whose path has one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics of its requests.
    pub kind: Kind,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub latency_target: Duration,
    /// Target for the gap between two events of a stream; a stream with a longer gap is late.
    pub gap_target: Option<Duration>,
    /// Priority, 0 being the highest.
    pub priority: u8,
    /// Services that share the requests; never empty.
    pub shares: Vec<Share>,
    /// Maximum number of servers to which one attempt of a caller may be sent; at least 1.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub no_auth: bool,
    /// Regions in which its requests may run; `None` for any region. The customer's own regions apply as well.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Route {
    /// Returns the urgency of this customer's requests, 0 being the most urgent. For any customers, a route's
    /// requests are never less urgent than those of a route of lower priority, since engines preempt the least
    /// urgent requests when their memory is full.
    #[must_use]
    pub fn urgency(&self, customer: Option<&Customer>) -> u8 {
        let within = customer.and_then(|customer| customer.priority).unwrap_or(0).min(URGENCIES_PER_ROUTE - 1);
        self.priority.saturating_mul(URGENCIES_PER_ROUTE).saturating_add(within).min(MAX_URGENCY)
    }

    /// Returns the service for a random number in 0..1.
    #[must_use]
    pub fn service(&self, draw: f64) -> &str {
        let total: f64 = self.shares.iter().map(|s| f64::from(s.weight)).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.shares[0].service
    }
}
