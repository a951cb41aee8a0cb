//! A box's own network path to the servers.

use crate::Millis;
use std::collections::HashMap;

/// Number of servers that must fail to connect, with no connection opened in between, before the path counts as lost.
/// A single one may be down.
const MIN_FAILING_SERVERS: usize = 2;

/// Time after which a failed connection says nothing about the path any more.
const FAILURE_TTL: Millis = 3_000;

/// Distinguishes servers that are down from the loss of this box's path to all of them, by the results of its own
/// connections.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Servers whose last connection failed, with the time of that failure. All failures are later than the last
    /// connection that was opened.
    failing: HashMap<String, Millis>,
    /// Time at which the path was found to be lost; `None` while it isn't.
    lost_since: Option<Millis>,
}

impl Path {
    /// Records that a connection to a server was opened. Returns how long the path was lost, if it was.
    pub fn record_opened(&mut self, now: Millis) -> Option<Millis> {
        self.failing.clear();
        self.lost_since.take().map(|since| now.saturating_sub(since))
    }

    /// Records that a connection to a server failed. Returns the number of failing servers if the path is lost as of now.
    pub fn record_failed(&mut self, server: &str, now: Millis) -> Option<usize> {
        self.failing.retain(|_, at| now < *at + FAILURE_TTL);
        self.failing.insert(server.to_owned(), now);
        let is_lost = self.failing.len() >= MIN_FAILING_SERVERS;
        if !is_lost || self.lost_since.is_some() {
            return None;
        }
        self.lost_since = Some(now);
        Some(self.failing.len())
    }

    /// True while the path is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }
}
