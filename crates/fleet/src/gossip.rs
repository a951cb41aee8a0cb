//! Changes that still have to be told, and which of them go next.

use crate::Change;
use std::collections::VecDeque;

/// Most changes on one probe.
const CHANGES_MOST: usize = 6;

/// A change is told this many times the logarithm of the fleet's size.
const TIMES: u32 = 3;

#[derive(Clone, Debug)]
struct GossipUpdate {
    change: Change,
    /// How often it is still to be told; above 0.
    left: u32,
}

/// Changes that still have to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    /// At most one for each thing that changes.
    queue: VecDeque<GossipUpdate>,
}

impl GossipQueue {
    /// Takes in a change, in a fleet of so many boxes; it replaces what was told of the same thing.
    pub(crate) fn push(&mut self, change: Change, boxes: usize) {
        self.queue.retain(|update| !same_thing(&update.change, &change));
        let doublings = usize::BITS - boxes.leading_zeros();
        self.queue.push_front(GossipUpdate { change, left: TIMES * doublings });
    }

    /// What rides along on the next probe.
    ///
    /// The changes that were told least go first, so that news isn't held up by what is nearly old.
    pub(crate) fn take(&mut self) -> Vec<Change> {
        if self.queue.len() > CHANGES_MOST {
            self.queue.make_contiguous().sort_by_key(|update| std::cmp::Reverse(update.left));
        }
        let told = self.queue.iter_mut().take(CHANGES_MOST);
        let taken = told.map(|update| {
            update.left -= 1;
            update.change.clone()
        });
        let taken = taken.collect();
        self.queue.retain(|update| update.left > 0);
        taken
    }
}

fn same_thing(one: &Change, other: &Change) -> bool {
    match (one, other) {
        (Change::Box { id: a, .. }, Change::Box { id: b, .. }) => a == b,
        (Change::Upstream { id: a, .. }, Change::Upstream { id: b, .. }) => a == b,
        (Change::Refused { order: a, .. }, Change::Refused { order: b, .. }) => a == b,
        _ => false,
    }
}
