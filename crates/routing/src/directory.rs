//! The servers that may be used.

use crate::excerpt::{Entry, PartDigests};
use crate::{Position, Server};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// One difference between a directory at two positions of its publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server is there, as given.
    Present(Server),
    /// The server with this name has left.
    Gone(String),
    /// The entry with this name is none of a server's that may be used, whatever it was before.
    Foreign(String),
    /// The entry of the server with this name went while the publisher was away: it may have lapsed only because the server
    /// could not renew it, and then comes back soon.
    Lapsed(String),
}

impl Change {
    /// Name of the server that it is about.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Present(server) => &server.name,
            Self::Gone(name) | Self::Foreign(name) | Self::Lapsed(name) => name,
        }
    }
}

/// All servers, at one position of the publisher. A copy is cheap, and so is a change of a copy: copies share what is alike.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Where the publisher said so; none while this is a sample, which lacks servers. Never falls within a life of the process.
    pub position: Position,
    /// Servers by name: one life of each.
    pub servers: OrdMap<String, Arc<Server>>,
    /// Names of entries that say of no server that it may be used. None of them is in `servers`.
    pub foreign: BTreeSet<String>,
    /// Names of those whose entries lapsed while the publisher was away. Each is in `servers`, and not draining.
    pub in_grace: BTreeSet<String>,
    /// PartDigests over all entries above, kept with each change.
    pub part_digests: PartDigests,
}

impl Directory {
    /// Takes in changes up to `position`. True when a server is different now.
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

    /// Those of these changes that others are to hear of: a server that is cold for less time than it was is just as cold, and
    /// each such entry is written anew with every heartbeat of its server.
    ///
    /// All else is told, also what is known here: a list that was read in pages may be ahead of its position, and another
    /// box at that position is not.
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

    /// True while requests can be sent by it: the whole list is known, also an empty one, or some of its servers are.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.position.is_known() || !self.servers.is_empty()
    }

    /// Takes in what a sample says, as long as this is one as well. True when servers are different now.
    pub fn merge_sample(&mut self, sample: Self) -> bool {
        debug_assert!(!self.position.is_known(), "a sample must not be merged into a complete list");
        let servers = sample.servers.values().map(|server| Change::Present(Server::clone(server)));
        let foreign = sample.foreign.into_iter().map(Change::Foreign);
        self.apply(servers.chain(foreign).collect(), Position::NONE)
    }

    /// Keeps what `former` has and this, read after the publisher was away, lacks.
    pub fn retain_missing(&mut self, former: &Self) {
        for (name, server) in &former.servers {
            let listed = self.servers.contains_key(name) || self.foreign.contains(name);
            if !server.draining && !listed {
                self.insert(Arc::clone(server));
                self.insert_in_grace(name);
            }
        }
    }

    /// The changes that make this list of `former`.
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

    /// The ids of lives that `former` hasn't, other than those that lapsed.
    #[must_use]
    pub fn new_instances(&self, former: &Self) -> Vec<String> {
        let known = former.instances();
        let new = |(name, server): &(&String, &Arc<Server>)| {
            !known.contains(server.id.as_str()) && !self.in_grace.contains(*name)
        };
        self.servers.iter().filter(new).map(|(_, server)| server.id.clone()).collect()
    }

    /// The ids of all lives that are listed.
    #[must_use]
    pub fn instances(&self) -> HashSet<&str> {
        self.servers.values().map(|server| server.id.as_str()).collect()
    }

    /// Takes a lapsed server for gone. False when it isn't lapsed.
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
