//! Where parts of prompts were read that their first home does not keep.
//!
//! Under load prompts are read away from their homes, and the next box that looks for their parts asks the homes only: it
//! has them read again though a server keeps them, which takes an engine's time, and its price is four times that of moving
//! them. So each part has one server, the same for every box, whose owner is told of all that read it.

use std::collections::{HashMap, VecDeque};

/// Servers that are remembered for one part: the last ones that read it.
const MAX_SERVERS_PER_PART: usize = 3;

/// Parts that are remembered for one server. With some tens of live parts a server, those that nobody uses any more are let go.
const MAX_PARTS: usize = 400;

/// The parts whose register one server's owner keeps, and who read them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheDirectory {
    parts: HashMap<u64, VecDeque<String>>,
    /// Ids of the parts, those first that were told of first.
    order: VecDeque<u64>,
}

impl CacheDirectory {
    /// A server has read a part.
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

    /// Who read a part, the last one first.
    pub(crate) fn servers(&self, part: u64) -> Vec<String> {
        self.parts.get(&part).map(|servers| servers.iter().cloned().collect()).unwrap_or_default()
    }
}
