//! The servers that may be used.

use crate::Server;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One difference between two revisions of a directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server is there, as given.
    Present(Server),
    /// The server with this id has left.
    Gone(String),
}

/// All servers, at one revision of the publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The publisher's revision; never falls within a life of the process.
    pub revision: u64,
    /// Servers by id.
    pub servers: BTreeMap<String, Arc<Server>>,
}

impl Directory {
    /// Takes in changes up to `revision`. True when a server is different now.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Present(server) => self.put(server),
                Change::Gone(id) => self.servers.remove(&id).is_some(),
            };
        }
        self.revision = self.revision.max(revision);
        changed
    }

    fn put(&mut self, server: Server) -> bool {
        if self.servers.get(&server.id).is_some_and(|old| **old == server) {
            return false;
        }
        self.servers.insert(server.id.clone(), Arc::new(server));
        true
    }
}
