//! Order of a pool's servers that is the same on every box.

use routing::Server;
use std::collections::{BTreeMap, BTreeSet};

/// The servers of a pool that aren't draining, ordered within their halls by a hash of their instance ids.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    /// By hall. No set is empty.
    halls: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// All servers, whatever their hall.
    ring: BTreeSet<(u64, String)>,
    /// Halls with servers whose positions have changed since positions were last reported.
    moved_halls: BTreeSet<String>,
}

impl Order {
    /// Replaces an instance's former entry.
    pub(crate) fn replace(&mut self, former: &Server, server: &Server) {
        if former.hall != server.hall || former.draining != server.draining {
            self.remove(former);
        }
        self.insert(server);
    }

    /// Inserts a server, unless it is draining.
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

    /// Removes a server if it is present.
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

    /// Marks the servers of `hall` as moved, or those of all halls if the number of halls is no longer
    /// `former_count`.
    fn mark_moved(&mut self, hall: &str, former_count: usize) {
        if self.halls.len() == former_count {
            self.moved_halls.insert(hall.to_owned());
        } else {
            self.moved_halls = self.halls.keys().cloned().collect();
        }
    }

    /// Returns the first `max` servers at or after hash `from`, wrapping around at the end of the ring, each with
    /// its hash. Each server is returned for about the same share of all values of `from`, and most of the result
    /// stays the same when some servers come or go.
    pub(crate) fn following(&self, from: u64, max: usize) -> impl Iterator<Item = (u64, &str)> {
        let start = (from, String::new());
        let (before, after) = (self.ring.range(..start.clone()), self.ring.range(start..));
        after.chain(before).take(max).map(|(hash, id)| (*hash, id.as_str()))
    }

    /// Reports the positions of servers whose position may have changed since the last call. Positions run from 0 to
    /// 1 and interleave the halls, so that a range of the order covers about the same share of each hall.
    pub(crate) fn report_moved(&mut self, mut report: impl FnMut(&str, f64)) {
        let moved = std::mem::take(&mut self.moved_halls);
        let count = self.halls.len() as f64;
        for (turn, (hall, servers)) in self.halls.iter().enumerate().filter(|(_, (hall, _))| moved.contains(*hall)) {
            let first = (turn as f64 + 0.5) / count;
            debug_assert!(!servers.is_empty(), "{hall} has servers");
            for (index, (_, id)) in servers.iter().enumerate() {
                report(id, (index as f64 + first) / servers.len() as f64);
            }
        }
    }
}

fn key(server: &Server) -> (u64, String) {
    (routing::rank(0, &server.id), server.id.clone())
}
