//! Queue of the changes that are distributed with probes.

use crate::Change;
use std::collections::VecDeque;

/// Maximum number of changes in one probe.
const MAX_CHANGES_PER_MESSAGE: usize = 6;

/// Number of times a change is sent, as a multiple of the binary logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Clone, Debug)]
struct GossipUpdate {
    change: Change,
    /// Number of times it is still to be sent; above 0.
    remaining: u32,
}

/// Changes that are still to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    /// At most one update for each subject.
    queue: VecDeque<GossipUpdate>,
}

impl GossipQueue {
    /// Adds a change, in a fleet of `boxes`. It replaces an earlier change of the same subject.
    pub(crate) fn push(&mut self, change: Change, boxes: usize) {
        self.queue.retain(|update| !same_subject(&update.change, &change));
        let doublings = usize::BITS - boxes.leading_zeros();
        self.queue.push_front(GossipUpdate { change, remaining: RETRANSMIT_FACTOR * doublings });
    }

    /// Returns the changes for the next probe.
    ///
    /// The changes that were sent least often have priority, so that new changes are not delayed by older ones.
    pub(crate) fn take(&mut self) -> Vec<Change> {
        if self.queue.len() > MAX_CHANGES_PER_MESSAGE {
            self.queue.make_contiguous().sort_by_key(|update| std::cmp::Reverse(update.remaining));
        }
        let next = self.queue.iter_mut().take(MAX_CHANGES_PER_MESSAGE);
        let taken = next.map(|update| {
            update.remaining -= 1;
            update.change.clone()
        });
        let taken = taken.collect();
        self.queue.retain(|update| update.remaining > 0);
        taken
    }
}

fn same_subject(one: &Change, other: &Change) -> bool {
    match (one, other) {
        (Change::Box { id: a, .. }, Change::Box { id: b, .. }) => a == b,
        (Change::Upstream { id: a, .. }, Change::Upstream { id: b, .. }) => a == b,
        (Change::Refused { order: a, .. }, Change::Refused { order: b, .. }) => a == b,
        _ => false,
    }
}
