//! The servers that may be used.

use crate::Server;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One difference between two revisions of a directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server is there, as given.
    Present(Server),
    /// The server with this id has left.
    Gone(String),
    /// The entry of the server with this id went while the publisher was away: it may have lapsed only because the server
    /// could not renew it, and then comes back soon.
    Lapsed(String),
}

/// All servers, at one revision of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The publisher's revision; never falls within a life of the process.
    pub revision: u64,
    /// Servers by id.
    pub servers: BTreeMap<String, Arc<Server>>,
    /// Ids of those whose entries lapsed while the publisher was away. Each is in `servers`, and not draining.
    pub lapsed: BTreeSet<String>,
}

impl Directory {
    /// Takes in changes up to `revision`. True when a server is different now.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Present(server) => self.put(server),
                Change::Gone(id) => self.remove(&id),
                Change::Lapsed(id) => self.lapse(id),
            };
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Keeps what `former` has and this, read after the publisher was away, lacks.
    pub fn lapse_missing(&mut self, former: &Self) {
        for (id, server) in &former.servers {
            if !server.draining && !self.servers.contains_key(id) {
                self.servers.insert(id.clone(), Arc::clone(server));
                self.lapsed.insert(id.clone());
            }
        }
    }

    /// Takes a lapsed server for gone. False when it isn't lapsed.
    pub fn expire(&mut self, id: &str) -> bool {
        self.lapsed.contains(id) && self.remove(id)
    }

    fn remove(&mut self, id: &str) -> bool {
        self.lapsed.remove(id);
        self.servers.remove(id).is_some()
    }

    fn lapse(&mut self, id: String) -> bool {
        match self.servers.get(&id) {
            Some(server) if !server.draining => {
                self.lapsed.insert(id);
                false
            }
            _ => self.remove(&id),
        }
    }

    fn put(&mut self, server: Server) -> bool {
        self.lapsed.remove(&server.id);
        if self.servers.get(&server.id).is_some_and(|old| **old == server) {
            return false;
        }
        self.servers.insert(server.id.clone(), Arc::new(server));
        true
    }
}
