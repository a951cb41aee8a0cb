//! Directory of servers that cache prompt parts outside the parts' home servers.
//!
//! Under load, prompts are read away from their homes, and the next box that looks for their parts queries only the
//! homes. Without a directory it would have the parts read again although a server caches them, which takes engine
//! time and costs four times as much as a transfer. So each part has two servers, the same for every box, whose owners
//! are notified of the other servers that read the part.

use std::collections::{HashMap, VecDeque};

/// Servers remembered for one part: those that read it last.
const MAX_SERVERS_PER_PART: usize = 3;

/// Parts remembered for one server. Enough for some tens of live parts per server; those that were recorded first,
/// which nobody uses any more, are evicted first.
const MAX_PARTS: usize = 400;

/// The cache directory kept by one server's owner: parts, and the servers that read them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheDirectory {
    parts: HashMap<u64, VecDeque<String>>,
    /// Ids of the parts, in the order in which they were first recorded.
    order: VecDeque<u64>,
}

impl CacheDirectory {
    /// Records that a server has read a part.
    pub(crate) fn record(&mut self, part: u64, server: String) {
        let servers = self.parts.entry(part).or_insert_with(|| {
            self.order.push_back(part);
            VecDeque::new()
        });
        servers.retain(|known| *known != server);
        servers.push_front(server);
        servers.truncate(MAX_SERVERS_PER_PART);
        if self.order.len() > MAX_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.parts.remove(&oldest);
            }
        }
    }

    /// Returns the servers that read a part, the most recent first.
    pub(crate) fn servers(&self, part: u64) -> Vec<String> {
        self.parts.get(&part).map(|servers| servers.iter().cloned().collect()).unwrap_or_default()
    }
}
