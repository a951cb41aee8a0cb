//! A box's own network path to the servers.

use crate::Millis;
use std::collections::HashMap;

/// Number of servers that must fail to connect, with no connection opened in between, before the path to all servers
/// counts as lost. A single one may be down.
const MIN_FAILING_SERVERS: usize = 2;

/// Number of consecutive failures after which the path to one server counts as lost. A single one may be a lost packet.
const MIN_FAILURES: u32 = 2;

/// Time after which a failed connection says nothing about the path any more.
const FAILURE_TTL: Millis = 3_000;

/// Interval between probes of the path while it is lost: bounds the time until a restored path is used again.
const PROBE_INTERVAL: Millis = 300;

/// Time without any byte from any server after which a waiting request is a reason to check the path.
const MAX_SILENCE: Millis = 400;

/// Interval between such checks.
const SILENCE_CHECK_INTERVAL: Millis = 1_000;

/// How a connection to a server should be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By this box itself.
    Direct,
    /// Through another box, since this one has lost its path to the server.
    Tunnel {
        /// True if a direct connection should be tried beside it, to find out whether the path is restored.
        probe: bool,
    },
}

/// The failures of one server since its last connection.
#[derive(Clone, Debug, Default)]
struct Failures {
    count: u32,
    /// Time of the last one.
    at: Millis,
    /// True if the last one was a refusal rather than silence.
    refused: bool,
    /// Time of the next probe.
    next_probe: Millis,
}

/// Distinguishes servers that are down from the loss of this box's path to them, by the results of its own connections.
///
/// A server that is down looks like one without a path until another box is asked; so a lost path is a reason to ask
/// another box, and no statement about the server.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Servers whose last direct connection failed.
    failing: HashMap<String, Failures>,
    /// Time of the last direct connection to any server.
    last_opened: Millis,
    /// Time at which the path to all servers was found to be lost; `None` while it isn't.
    lost_since: Option<Millis>,
    /// Time of the next probe while the path to all servers is lost.
    next_probe: Millis,
    /// True if the last failed connection was refused rather than silent.
    last_refused: bool,
    /// Time at which bytes of any server last arrived.
    last_heard: Millis,
    /// Time of the next check because of silence.
    next_check: Millis,
}

impl Path {
    /// Records that bytes of a server arrived.
    pub fn record_heard(&mut self, now: Millis) {
        self.last_heard = now;
    }

    /// Returns when a request that was sent at `sent` and still waits is a reason to check the path, unless a server is
    /// heard until then.
    #[must_use]
    pub fn check_at(&self, sent: Millis) -> Millis {
        (self.last_heard.max(sent) + MAX_SILENCE).max(self.next_check)
    }

    /// Returns true if the path should be checked by new connections, since requests wait and no server is heard.
    pub fn begin_check(&mut self, sent: Millis, now: Millis) -> bool {
        let is_due = self.lost_since.is_none() && now >= self.check_at(sent);
        if is_due {
            self.next_check = now + SILENCE_CHECK_INTERVAL;
        }
        is_due
    }

    /// Records that a direct connection to a server was opened. Returns how long the path to all servers was lost, if it
    /// was.
    pub fn record_opened(&mut self, server: &str, now: Millis) -> Option<Millis> {
        self.failing.remove(server);
        self.last_opened = now;
        let lost_since = self.lost_since.take()?;
        // The path to the others is probably restored as well: they are probed on their next use.
        self.failing.values_mut().for_each(|failures| failures.next_probe = now);
        Some(now.saturating_sub(lost_since))
    }

    /// Records that a direct connection to a server failed; `refused` is false if it was silent. Returns the number of
    /// failing servers if the path to all servers is lost as of now.
    pub fn record_failed(&mut self, server: &str, refused: bool, now: Millis) -> Option<usize> {
        self.failing.retain(|_, failures| now < failures.at + FAILURE_TTL);
        self.last_refused = refused;
        let failures = self.failing.entry(server.to_owned()).or_default();
        *failures = Failures { count: failures.count + 1, at: now, refused, next_probe: now + PROBE_INTERVAL };
        let last_opened = self.last_opened;
        let failing = self.failing.values().filter(|failures| failures.at >= last_opened).count();
        if failing < MIN_FAILING_SERVERS || self.lost_since.is_some() {
            return None;
        }
        self.lost_since = Some(now);
        self.next_probe = now + PROBE_INTERVAL;
        Some(failing)
    }

    /// Returns how to connect to a server.
    pub fn way(&mut self, server: &str, now: Millis) -> Way {
        let next_probe = if self.lost_since.is_some() {
            &mut self.next_probe
        } else {
            match self.failing.get_mut(server) {
                Some(failures) if failures.is_lost(now) => &mut failures.next_probe,
                _ => return Way::Direct,
            }
        };
        let probe = now >= *next_probe;
        if probe {
            *next_probe = now + PROBE_INTERVAL;
        }
        Way::Tunnel { probe }
    }

    /// True if a direct connection to the server may be tried although the path is lost and no other box helps: its last
    /// failure is some time ago, or there was none. Several servers may be down while the path to the others is good.
    #[must_use]
    pub fn may_try(&self, server: &str, now: Millis) -> bool {
        self.failing.get(server).is_none_or(|failures| now >= failures.at + PROBE_INTERVAL)
    }

    /// True while the path to this server is lost.
    #[must_use]
    pub fn is_lost_to(&self, server: &str, now: Millis) -> bool {
        self.is_lost() || self.failing.get(server).is_some_and(|failures| failures.is_lost(now))
    }

    /// True while the path to all servers is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// True if open connections to a server may still work although new ones fail: these were refused, not silent.
    #[must_use]
    pub fn may_use_open(&self, server: &str) -> bool {
        self.failing.get(server).map_or(self.last_refused || !self.is_lost(), |failures| failures.refused)
    }
}

impl Failures {
    fn is_lost(&self, now: Millis) -> bool {
        self.count >= MIN_FAILURES && now < self.at + FAILURE_TTL
    }
}
