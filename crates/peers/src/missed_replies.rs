//! Detection of boxes that don't reply.

use crate::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time during which a box must have sent nothing while missing replies before it counts as unresponsive.
/// Small boxes run on a share of a processor and pause for up to 100 ms, and a box that replaced an
/// unresponsive one would have none of its state.
const UNRESPONSIVE_TIMEOUT: Millis = 250;

/// Time during which an unresponsive box gets no requests.
const UNRESPONSIVE_BACKOFF: Millis = 2_000;

/// Tracks missed replies, to find unresponsive boxes.
#[derive(Clone, Debug, Default)]
pub struct MissedReplies {
    /// Time of the first reply that a box missed since its last message.
    first_missed: HashMap<SocketAddr, Millis>,
    /// End of the back-off of each unresponsive box.
    backoff_until: HashMap<SocketAddr, Millis>,
}

impl MissedReplies {
    /// Records a message from a box, even a late one.
    pub fn record_reply(&mut self, from: SocketAddr) {
        self.first_missed.remove(&from);
        self.backoff_until.remove(&from);
    }

    /// Records that a box did not reply in time.
    pub fn record_missed(&mut self, by: SocketAddr, now: Millis) {
        let first = *self.first_missed.entry(by).or_insert(now);
        if now >= first + UNRESPONSIVE_TIMEOUT {
            self.backoff_until.insert(by, now + UNRESPONSIVE_BACKOFF);
        }
    }

    /// Returns true while a box is unresponsive and should get no requests.
    #[must_use]
    pub fn is_unresponsive(&self, address: &SocketAddr, now: Millis) -> bool {
        self.backoff_until.get(address).is_some_and(|until| now < *until)
    }
}
