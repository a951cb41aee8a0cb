//! The whole configuration, ready to be asked.

use crate::{Customer, Limits, Route, Service};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may pass, by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may, for this customer if there is one.
    Granted(Option<Arc<Customer>>),
    /// Its key is missing or not known.
    Denied,
}

/// One version of the configuration. Never changed once built.
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
    /// A table of these routes and services, asking for no key.
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

    /// The same with other limits.
    #[must_use]
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    /// The same with these customers and their keys; from now on a key is asked for.
    #[must_use]
    pub fn with_customers(mut self, customers: Vec<(Customer, Vec<String>)>) -> Self {
        self.auth_required = true;
        for (customer, keys) in customers {
            let customer = Arc::new(customer);
            self.customers.extend(keys.into_iter().map(|key| (key, Arc::clone(&customer))));
        }
        self
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// True when there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The shortest pause between events that answers of a service bear, by its routes; none where they bear any.
    #[must_use]
    pub fn min_gap_target(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let its = routes.filter(|route| route.shares.iter().any(|share| share.service == service));
        its.filter_map(|route| route.gap_target).min()
    }

    /// The route of a request: the longest prefix of its path among the routes of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether a request on `route` with this key may pass.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let customer = key.and_then(|key| self.customers.get(key)).cloned();
        if customer.is_none() && self.auth_required && !route.no_auth {
            return Access::Denied;
        }
        Access::Granted(customer)
    }
}
