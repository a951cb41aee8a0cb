//! The configuration, indexed for lookups.

use crate::{Customer, Limits, Route, Service};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Result of checking a request's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The request is allowed, on behalf of this customer if there is one.
    Granted(Option<Arc<Customer>>),
    /// The API key is missing or unknown.
    Denied,
}

/// One version of the configuration. Immutable once built.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version; newer ones are higher.
    pub version: u64,
    /// Limits for callers.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Requests need an API key, except on routes with `no_auth`.
    auth_required: bool,
    /// Customers by API key.
    customers: HashMap<String, Arc<Customer>>,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Creates a table of these routes and services, which requires no API keys.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix)));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version, services, routes: by_host, ..Self::default() }
    }

    /// Sets the limits for callers.
    #[must_use]
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    /// Adds these customers with their API keys, and requires a key from now on.
    #[must_use]
    pub fn with_customers(mut self, customers: Vec<(Customer, Vec<String>)>) -> Self {
        self.auth_required = true;
        for (customer, keys) in customers {
            let customer = Arc::new(customer);
            self.customers.extend(keys.into_iter().map(|key| (key, Arc::clone(&customer))));
        }
        self
    }

    /// Returns the names of all customers.
    pub fn customer_names(&self) -> impl Iterator<Item = &str> {
        let names: std::collections::BTreeSet<&str> = self.customers.values().map(|c| c.name.as_str()).collect();
        names.into_iter()
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(|route| &**route)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns true if there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the shortest gap target among the routes that use a service, if any of them has one.
    #[must_use]
    pub fn min_gap_target(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let its = routes.filter(|route| route.shares.iter().any(|share| share.service == service));
        its.filter_map(|route| route.gap_target).min()
    }

    /// Returns the route of a request: the one with the longest prefix of its path, among the routes of its
    /// host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Checks whether a request on `route` with this API key is allowed.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let customer = key.and_then(|key| self.customers.get(key)).cloned();
        if customer.is_none() && self.auth_required && !route.no_auth {
            return Access::Denied;
        }
        Access::Granted(customer)
    }
}
