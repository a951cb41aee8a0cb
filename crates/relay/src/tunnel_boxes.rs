//! The boxes through which this one may reach servers.

use placement::Millis;
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which a box that opened no tunnel is not asked again.
const DECLINED_TTL: Millis = 500;

/// Maximum numbers of boxes of the own hall and of other halls that are asked for one connection. A hall may be
/// partitioned as a whole.
const MAX_SAME_HALL: usize = 2;
const MAX_OTHERS: usize = 2;

/// Addresses at which other boxes of this box's region accept tunnels.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TunnelBoxes {
    /// Boxes of the same hall.
    pub same_hall: Vec<SocketAddr>,
    /// Boxes of other halls.
    pub other_halls: Vec<SocketAddr>,
}

impl TunnelBoxes {
    /// True if there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.same_hall.is_empty() && self.other_halls.is_empty()
    }

    /// True if one of them has this address.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.same_hall.contains(&address) || self.other_halls.contains(&address)
    }
}

/// The boxes that opened no tunnel recently.
#[derive(Debug, Default)]
pub(crate) struct TunnelChoice {
    /// Until when they are not asked.
    declined_until: HashMap<SocketAddr, Millis>,
}

impl TunnelChoice {
    /// Returns the boxes to ask for a connection, in random order so that they share the load: first those of the same
    /// hall, since traffic between halls is expensive.
    pub(crate) fn candidates(&mut self, boxes: &TunnelBoxes, now: Millis) -> Vec<SocketAddr> {
        self.declined_until.retain(|_, until| now < *until);
        let mut candidates = Vec::new();
        for (group, max) in [(&boxes.same_hall, MAX_SAME_HALL), (&boxes.other_halls, MAX_OTHERS)] {
            let asked = |address: &&SocketAddr| !self.declined_until.contains_key(address);
            let mut open: Vec<SocketAddr> = group.iter().filter(asked).copied().collect();
            open.partial_shuffle(&mut rand::rng(), max);
            // A partial shuffle leaves the shuffled elements at the end.
            candidates.extend(open.iter().rev().take(max));
        }
        candidates
    }

    /// Records that a box opened no tunnel.
    pub(crate) fn record_declined(&mut self, address: SocketAddr, now: Millis) {
        self.declined_until.insert(address, now + DECLINED_TTL);
    }
}
