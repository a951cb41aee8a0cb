//! Requests that have ended recently.

use crate::queue::Key;
use std::collections::{BTreeSet, VecDeque};

/// Ended requests that are remembered. A repeated message arrives within milliseconds; this covers over a second of
/// a service with 24 slots.
const MAX_ENDED: usize = 512;

/// Requests that have ended recently, so that a repeated message isn't granted again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ended {
    keys: BTreeSet<Key>,
    /// The same keys in the order in which they ended.
    order: VecDeque<Key>,
}

impl Ended {
    pub(crate) fn contains(&self, key: &Key) -> bool {
        self.keys.contains(key)
    }

    pub(crate) fn record(&mut self, key: Key) {
        if !self.keys.insert(key) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_ENDED {
            if let Some(oldest) = self.order.pop_front() {
                self.keys.remove(&oldest);
            }
        }
    }

    /// Drops the requests of a box, which may number them anew.
    pub(crate) fn forget_box(&mut self, number: u32) {
        self.order.retain(|(from, _)| *from != number);
        self.keys.retain(|(from, _)| *from != number);
    }
}
