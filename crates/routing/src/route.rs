//! One route.

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
    /// Its weight among the route's shares; all weights may be 0, and then the first share takes all.
    pub weight: u32,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be treated.
    pub kind: Kind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Aim for the answer; for streams, for the first event.
    pub latency_target: Duration,
    /// Longest pause between events of a stream that is still in time.
    pub gap_target: Option<Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that share the requests; never empty.
    pub shares: Vec<Share>,
    /// Most servers that one attempt of a caller may be sent to; at least 1.
    pub max_attempts: u32,
    /// True when no key is asked for.
    pub no_auth: bool,
    /// Regions in which its requests may run; none where any will do. A customer's own bind as well.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Route {
    /// How urgent this customer's requests are, 0 first. Whatever the customer, a route's requests never come after those
    /// of a route of lower rank: engines put back the least urgent when their memory is full.
    #[must_use]
    pub fn urgency(&self, customer: Option<&Customer>) -> u8 {
        let within = customer.and_then(|customer| customer.priority).unwrap_or(0).min(URGENCIES_PER_ROUTE - 1);
        self.priority.saturating_mul(URGENCIES_PER_ROUTE).saturating_add(within).min(MAX_URGENCY)
    }

    /// The service for a draw in 0..1.
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
