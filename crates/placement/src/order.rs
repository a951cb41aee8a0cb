//! An order of a pool's servers that is the same on every box.

use routing::Server;
use std::collections::{BTreeMap, BTreeSet};

/// The servers of a pool that aren't draining, by a hash of their lives within their halls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    /// By hall. None of them is empty.
    halls: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// All of them, whatever their hall.
    ring: BTreeSet<(u64, String)>,
    /// Halls whose servers stand elsewhere than when positions were last told.
    moved_halls: BTreeSet<String>,
}

impl Order {
    /// Takes a server's entry in place of a former one of the same life.
    pub(crate) fn replace(&mut self, former: &Server, server: &Server) {
        if former.hall != server.hall || former.draining != server.draining {
            self.remove(former);
        }
        self.insert(server);
    }

    /// Takes a server in, unless it is draining.
    fn insert(&mut self, server: &Server) {
        if server.draining {
            return;
        }
        let former_count = self.halls.len();
        let hall = self.halls.entry(server.hall.clone()).or_default();
        if hall.insert(key(server)) {
            self.ring.insert(key(server));
            self.mark_moved(&server.hall, former_count);
        }
    }

    /// Takes a server out, where it is in.
    pub(crate) fn remove(&mut self, server: &Server) {
        let former_count = self.halls.len();
        let Some(hall) = self.halls.get_mut(&server.hall) else { return };
        if !hall.remove(&key(server)) {
            return;
        }
        self.ring.remove(&key(server));
        if hall.is_empty() {
            self.halls.remove(&server.hall);
        }
        self.mark_moved(&server.hall, former_count);
    }

    /// Notes that servers of `hall` stand elsewhere, or those of all halls, where there were `among` halls before and are no longer.
    fn mark_moved(&mut self, hall: &str, former_count: usize) {
        if self.halls.len() == former_count {
            self.moved_halls.insert(hall.to_owned());
        } else {
            self.moved_halls = self.halls.keys().cloned().collect();
        }
    }

    /// The first `most` servers that follow `from` in the order of their hashes, which begins anew at its end, each with its hash: each
    /// server is among them for about the same part of all numbers, and most stay among them when some come or go.
    pub(crate) fn following(&self, from: u64, most: usize) -> impl Iterator<Item = (u64, &str)> {
        let start = (from, String::new());
        let (before, after) = (self.ring.range(..start.clone()), self.ring.range(start..));
        after.chain(before).take(most).map(|(hash, id)| (*hash, id.as_str()))
    }

    /// Tells where the servers stand, by id, that may stand elsewhere than they were last told to: from 0 to 1, the halls taken in turn,
    /// so that a part of the order is about the same part of each hall.
    pub(crate) fn report_moved(&mut self, mut tell: impl FnMut(&str, f64)) {
        let moved = std::mem::take(&mut self.moved_halls);
        let count = self.halls.len() as f64;
        for (turn, (hall, servers)) in self.halls.iter().enumerate().filter(|(_, (hall, _))| moved.contains(*hall)) {
            let first = (turn as f64 + 0.5) / count;
            debug_assert!(!servers.is_empty(), "{hall} has servers");
            for (index, (_, id)) in servers.iter().enumerate() {
                tell(id, (index as f64 + first) / servers.len() as f64);
            }
        }
    }
}

fn key(server: &Server) -> (u64, String) {
    (routing::rank(0, &server.id), server.id.clone())
}
