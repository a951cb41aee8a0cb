//! The software versions that were listed lately.

use crate::{Millis, Origin};
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use routing::{Directory, Route, Server, Table, Version};
use std::collections::HashMap;
use std::sync::Arc;

/// Time without contact with the publisher, of this box or of a watcher that it hears, after which the list may lack a
/// version. A lone watcher of a publisher without news hears from it every four seconds.
const MAX_CONTACT_AGE: Millis = 5_000;

/// The versions of each service and the services of each route, as far back as a caller of a stream may come from: the
/// longest time limit of a route. A caller that waits longer than its route's limit is known by its record only.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time since which this box has had a complete list of servers, a configuration, and contact without a gap.
    known_since: Option<Millis>,
    last_contact: Option<Millis>,
    /// Longest time limit of a route of streams that this box has known.
    window: Millis,
    table_version: Option<u64>,
    listed: OrdMap<String, Arc<Server>>,
    services: HashMap<String, HashMap<Version, Listing>>,
    /// Routes of streams by name.
    routes: HashMap<String, RouteHistory>,
}

/// When something was listed.
#[derive(Clone, Copy, Debug, Default)]
struct Listing {
    /// Number of current entries.
    count: usize,
    /// When the last entry was removed, if there is none now.
    until: Millis,
}

impl Listing {
    /// True if it was listed within the window before `now`.
    fn is_within(&self, window: Millis, now: Millis) -> bool {
        self.count > 0 || self.until.saturating_add(window) > now
    }

    fn add(&mut self) {
        self.count += 1;
    }

    fn remove(&mut self, now: Millis) {
        self.count = self.count.saturating_sub(1);
        self.until = now;
    }
}

#[derive(Clone, Debug)]
struct RouteHistory {
    host: String,
    prefix: String,
    /// Time since which its paths can't have belonged to another route.
    since: Millis,
    services: HashMap<String, Listing>,
}

impl RouteHistory {
    /// True if requests of `other` may have been requests of this route before `other` was there, or the reverse.
    fn overlaps(&self, other: &Route) -> bool {
        self.host == other.host && (self.prefix.starts_with(&other.prefix) || other.prefix.starts_with(&self.prefix))
    }
}

impl History {
    /// Records contact with the publisher, directly or through a box that watches it.
    pub fn record_contact(&mut self, now: Millis) {
        let has_gap = self.last_contact.is_none_or(|at| now > at.saturating_add(MAX_CONTACT_AGE));
        if has_gap {
            self.known_since = self.known_since.map(|_| now);
        }
        self.last_contact = Some(now);
    }

    /// Applies the configuration and the servers in force from now on.
    pub fn update(&mut self, table: Option<&Table>, directory: &Directory, now: Millis) {
        self.update_servers(&directory.servers, now);
        if let Some(table) = table.filter(|table| self.table_version != Some(table.version)) {
            self.table_version = Some(table.version);
            self.update_routes(table, now);
        }
        if directory.position.is_known() && self.table_version.is_some() {
            self.known_since = self.known_since.or(Some(now));
        }
        let window = self.window;
        self.services.retain(|_, versions| {
            versions.retain(|_, listing| listing.is_within(window, now));
            !versions.is_empty()
        });
    }

    fn update_servers(&mut self, servers: &OrdMap<String, Arc<Server>>, now: Millis) {
        let former = std::mem::replace(&mut self.listed, servers.clone());
        for change in former.diff(servers) {
            let (old, new) = match change {
                DiffItem::Add(_, new) => (None, Some(new)),
                DiffItem::Update { old: (_, old), new: (_, new) } => (Some(old), Some(new)),
                DiffItem::Remove(_, old) => (Some(old), None),
            };
            if let Some(old) = old {
                self.listing(old).remove(now);
            }
            if let Some(new) = new {
                self.listing(new).add();
            }
        }
    }

    fn listing(&mut self, server: &Server) -> &mut Listing {
        let versions = self.services.entry(server.service.clone()).or_default();
        versions.entry(server.version.clone()).or_default()
    }

    fn update_routes(&mut self, table: &Table, now: Millis) {
        let streams: Vec<&Route> = table.routes().filter(|route| route.kind.is_stream()).collect();
        let window = self.window;
        let longest = streams.iter().map(|route| route.timeout.as_millis() as Millis).max();
        self.window = self.window.max(longest.unwrap_or(0));
        let is_same =
            |history: &RouteHistory, route: &Route| history.host == route.host && history.prefix == route.prefix;
        let is_gone = |name: &String, history: &RouteHistory| {
            !streams.iter().any(|route| route.name == *name && is_same(history, route))
        };
        let gone: Vec<String> =
            self.routes.iter().filter(|(name, history)| is_gone(name, history)).map(|(name, _)| name.clone()).collect();
        let gone: Vec<RouteHistory> = gone.iter().filter_map(|name| self.routes.remove(name)).collect();
        for history in self.routes.values_mut() {
            history.services.values_mut().filter(|listing| listing.count > 0).for_each(|listing| listing.remove(now));
            history.services.retain(|_, listing| listing.is_within(window, now));
        }
        for route in streams {
            let history = self.routes.entry(route.name.clone()).or_insert_with(|| RouteHistory {
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                since: now,
                services: HashMap::new(),
            });
            if gone.iter().any(|gone| gone.overlaps(route)) {
                history.since = now;
            }
            for share in &route.shares {
                history.services.entry(share.service.clone()).or_default().add();
            }
        }
    }

    /// Returns the only origin that streams of this route can have. `None` if another version or service served it within
    /// the window, or if this box can't know: it has not had complete lists for so long, or its list may be outdated.
    #[must_use]
    pub fn sole(&self, route: &str, now: Millis) -> Option<Origin> {
        let is_current = self.last_contact.is_some_and(|at| now <= at.saturating_add(MAX_CONTACT_AGE));
        let covers = |since: Millis| since.saturating_add(self.window) <= now;
        let history = self.routes.get(route).filter(|history| covers(history.since))?;
        if !is_current || !self.known_since.is_some_and(covers) {
            return None;
        }
        let service = only(history.services.iter().filter(|(_, l)| l.is_within(self.window, now)))?;
        let version = only(self.versions(service, now))?;
        Some(Origin { service: service.clone(), version: version.clone() })
    }

    /// Returns true if this box knows another origin that streams of this route can have.
    #[must_use]
    pub fn contradicts(&self, route: &str, origin: &Origin, now: Millis) -> bool {
        let services = self.routes.get(route).into_iter().flat_map(|history| &history.services);
        let mut services = services.filter(|(_, listing)| listing.is_within(self.window, now));
        services.any(|(service, _)| *service != origin.service)
            || self.versions(&origin.service, now).any(|(version, _)| *version != origin.version)
    }

    fn versions(&self, service: &str, now: Millis) -> impl Iterator<Item = (&Version, &Listing)> {
        let window = self.window;
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(move |(_, listing)| listing.is_within(window, now))
    }
}

/// Returns the key of the only item.
fn only<'a, K, V>(mut items: impl Iterator<Item = (&'a K, &'a V)>) -> Option<&'a K>
where
    V: 'a,
{
    let (key, _) = items.next()?;
    items.next().is_none().then_some(key)
}
