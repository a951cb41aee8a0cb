//! The list of servers that may be used.

use crate::excerpt::{Entry, PartDigests};
use crate::{Position, Server};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// A change to one entry of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server is listed with these properties.
    Present(Server),
    /// The server with this name was removed.
    Gone(String),
    /// The entry with this name no longer describes a usable server, if it ever did.
    Foreign(String),
    /// The entry of the server with this name disappeared while the publisher was unavailable. It may have
    /// expired only because the server could not renew it, and then returns soon; until then the server is in
    /// its grace period.
    Lapsed(String),
}

impl Change {
    /// Returns the name of the server that has changed.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Present(server) => &server.name,
            Self::Gone(name) | Self::Foreign(name) | Self::Lapsed(name) => name,
        }
    }
}

/// All servers at one position of the publisher. Cloning, and changing a clone, is cheap since clones share
/// unchanged parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Position of the publisher at which this was read; [`Position::NONE`] for a sample, which is
    /// incomplete. Never decreases while the process runs.
    pub position: Position,
    /// Servers by name, one instance of each.
    pub servers: OrdMap<String, Arc<Server>>,
    /// Names of entries that don't describe a usable server. None of them is in `servers`.
    pub foreign: BTreeSet<String>,
    /// Names of the servers in their grace period, whose entries expired while the publisher was unavailable.
    /// Each is in `servers` and not draining.
    pub in_grace: BTreeSet<String>,
    /// Digests of all entries above, updated with each change.
    pub part_digests: PartDigests,
}

impl Directory {
    /// Applies changes up to `position`. Returns true if any server has changed.
    pub fn apply(&mut self, changes: Vec<Change>, position: Position) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Present(server) => self.update(server),
                Change::Gone(name) => self.remove(&name),
                Change::Foreign(name) => self.reject(name),
                Change::Lapsed(name) => self.begin_grace(&name),
            };
        }
        self.position = self.position.max(position);
        changed
    }

    /// Selects the changes that are to be forwarded to other boxes. A change that only shortens the remaining
    /// time of a cold start is omitted, because such an entry is rewritten with every heartbeat of its
    /// server.
    ///
    /// All other changes are forwarded, including those that have no effect here: a list that was read in
    /// pages may be ahead of its position, and another box's list at that position may not be.
    #[must_use]
    pub fn changes_to_forward(&self, changes: Vec<Change>) -> Vec<Change> {
        // Once a change to a server has been selected, its entry here is no longer the base of its later
        // changes.
        let mut changed = HashSet::new();
        let mut is_relevant = |change: &Change| {
            if !changed.contains(change.name()) && self.only_shortens_cold_start(change) {
                return false;
            }
            changed.insert(change.name().to_owned());
            true
        };
        changes.into_iter().filter(|change| is_relevant(change)).collect()
    }

    /// Returns true if a change only shortens the remaining time of a server's cold start.
    fn only_shortens_cold_start(&self, change: &Change) -> bool {
        let Change::Present(server) = change else { return false };
        let Some(old) = self.servers.get(&server.name) else { return false };
        let shortened = 0 < server.cold_ms && server.cold_ms < old.cold_ms;
        shortened
            && !self.in_grace.contains(&server.name)
            && Server { cold_ms: server.cold_ms, ..Server::clone(old) } == *server
    }

    /// Returns true if requests can be routed with this list: it is complete (and possibly empty), or has
    /// some servers.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.position.is_known() || !self.servers.is_empty()
    }

    /// Merges another sample into this one. Returns true if any server has changed.
    pub fn merge_sample(&mut self, sample: Self) -> bool {
        debug_assert!(!self.position.is_known(), "a sample must not be merged into a complete list");
        let servers = sample.servers.values().map(|server| Change::Present(Server::clone(server)));
        let foreign = sample.foreign.into_iter().map(Change::Foreign);
        self.apply(servers.chain(foreign).collect(), Position::NONE)
    }

    /// Retains servers of `former` that are missing from this list, which was read after the publisher was
    /// unavailable, for their grace period.
    pub fn retain_missing(&mut self, former: &Self) {
        for (name, server) in &former.servers {
            let listed = self.servers.contains_key(name) || self.foreign.contains(name);
            if !server.draining && !listed {
                self.insert(Arc::clone(server));
                self.insert_in_grace(name);
            }
        }
    }

    /// Returns the changes that turn `former` into this list.
    #[must_use]
    pub fn changes_since(&self, former: &Self) -> Vec<Change> {
        let old = |name: &String| former.servers.get(name);
        let present = self.servers.iter().filter(|(name, server)| old(name) != Some(server));
        let updated = present.map(|(_, server)| Change::Present(Server::clone(server)));
        let lapsed = self.in_grace.difference(&former.in_grace).map(|name| Change::Lapsed(name.clone()));
        let foreign = self.foreign.difference(&former.foreign).map(|name| Change::Foreign(name.clone()));
        let listed = |name: &&String| !self.servers.contains_key(*name) && !self.foreign.contains(*name);
        let gone = former.servers.keys().chain(&former.foreign).filter(listed);
        updated.chain(lapsed).chain(foreign).chain(gone.map(|name| Change::Gone(name.clone()))).collect()
    }

    /// Returns the IDs of instances that are not in `former`, except those in their grace period.
    #[must_use]
    pub fn new_instances(&self, former: &Self) -> Vec<String> {
        let known = former.instances();
        let new = |(name, server): &(&String, &Arc<Server>)| {
            !known.contains(server.id.as_str()) && !self.in_grace.contains(*name)
        };
        self.servers.iter().filter(new).map(|(_, server)| server.id.clone()).collect()
    }

    /// Returns the IDs of all listed instances.
    #[must_use]
    pub fn instances(&self) -> HashSet<&str> {
        self.servers.values().map(|server| server.id.as_str()).collect()
    }

    /// Removes a server at the end of its grace period. Returns false if it isn't in one.
    pub fn expire(&mut self, name: &str) -> bool {
        self.in_grace.contains(name) && self.remove(name)
    }

    fn remove(&mut self, name: &str) -> bool {
        self.clear_marks(name);
        let removed = self.servers.remove(name);
        if let Some(server) = &removed {
            self.part_digests.remove(&Entry::Server(server));
        }
        removed.is_some()
    }

    fn reject(&mut self, name: String) -> bool {
        let changed = self.remove(&name);
        self.part_digests.add(&Entry::Foreign(&name));
        self.foreign.insert(name);
        changed
    }

    fn begin_grace(&mut self, name: &str) -> bool {
        match self.servers.get(name) {
            Some(server) if !server.draining => {
                self.insert_in_grace(name);
                false
            }
            _ => self.remove(name),
        }
    }

    fn update(&mut self, server: Server) -> bool {
        self.clear_marks(&server.name);
        if self.servers.get(&server.name).is_some_and(|old| **old == server) {
            return false;
        }
        self.insert(Arc::new(server));
        true
    }

    /// Inserts a server, replacing the entry of the same name.
    pub(crate) fn insert(&mut self, server: Arc<Server>) {
        self.part_digests.add(&Entry::Server(&server));
        if let Some(old) = self.servers.insert(server.name.clone(), server) {
            self.part_digests.remove(&Entry::Server(&old));
        }
    }

    /// Clears the mark of an entry as foreign or in its grace period.
    fn clear_marks(&mut self, name: &str) {
        if self.foreign.remove(name) {
            self.part_digests.remove(&Entry::Foreign(name));
        }
        if self.in_grace.remove(name) {
            self.part_digests.remove(&Entry::Lapsed(name));
        }
    }

    pub(crate) fn insert_in_grace(&mut self, name: &str) {
        if self.in_grace.insert(name.to_owned()) {
            self.part_digests.add(&Entry::Lapsed(name));
        }
    }
}
