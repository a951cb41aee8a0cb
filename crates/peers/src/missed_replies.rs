//! Boxes that don't answer.

use crate::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a box must have said nothing while it missed answers before it is taken for silent. Small boxes
/// run on a share of a processor and pause for up to a tenth of a second; another box in its place would know
/// nothing of what it knows.
const AFTER: Millis = 250;

/// How long a silent box isn't asked again.
const FOR: Millis = 2_000;

/// Which boxes are silent.
#[derive(Clone, Debug, Default)]
pub struct MissedReplies {
    /// When a box first missed an answer after its last word.
    missed: HashMap<SocketAddr, Millis>,
    /// Until when a box isn't asked.
    until: HashMap<SocketAddr, Millis>,
}

impl MissedReplies {
    /// A box has said something, however late.
    pub fn record_reply(&mut self, from: SocketAddr) {
        self.missed.remove(&from);
        self.until.remove(&from);
    }

    /// A box has not answered in time.
    pub fn record_missed(&mut self, by: SocketAddr, now: Millis) {
        let first = *self.missed.entry(by).or_insert(now);
        if now >= first + AFTER {
            self.until.insert(by, now + FOR);
        }
    }

    /// True while a box isn't to be asked.
    #[must_use]
    pub fn is_unresponsive(&self, address: &SocketAddr, now: Millis) -> bool {
        self.until.get(address).is_some_and(|until| now < *until)
    }
}
