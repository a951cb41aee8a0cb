//! What one box knows exactly of the servers that it owns.
//!
//! Each server has one box that all others ask before they send a long request there: it knows what they
//! sent, which parts of prompts were read, and how sends ended. It answers at once and holds nothing back;
//! a box that gets no answer goes by what it knows itself.

use crate::{Ending, Health, Kept, Load, Millis, Part, Work};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A lease whose end is never told is dropped after this long: its box has died, or no request takes longer.
const LEASE_MOST: Millis = 60_000;

/// Asks the owner of a server what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Names the question, unique for the asking box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
}

/// What an owner knows of its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// Number of the question.
    pub number: u64,
    /// What runs there.
    pub load: Load,
    /// Tokens of the prompt's parts, from the first on, that the server keeps or is about to read.
    pub kept: u32,
    /// The same, but surely read.
    pub read: u32,
    /// True while the server is left alone after failures.
    pub paused: bool,
}

/// Tells an owner of a request that is sent to its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Names the request's lease, unique for the reporting box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// What is reported.
    pub news: News,
}

/// What became of a request at a server, in this order; the end is always reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// It is being sent.
    Sent {
        /// Parts of the prompt in order.
        parts: Vec<Part>,
        /// What it adds to the server's load.
        work: Work,
        /// Tokens of parts that this server's memory can keep.
        memory: u64,
    },
    /// Its prompt has been read.
    Read,
    /// The send has ended.
    Ended(Ending),
}

/// A request that some box has at a server.
#[derive(Clone, Debug)]
struct Lease {
    work: Work,
    parts: Vec<Part>,
    /// True once the prompt was read.
    read: bool,
    until: Millis,
}

#[derive(Clone, Debug, Default)]
struct Owned {
    load: Load,
    kept: Kept,
    health: Health,
    /// By asking box and number. The sum of their works is `load`.
    leases: HashMap<(SocketAddr, u64), Lease>,
}

/// The servers that this box owns, or was asked about.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    servers: HashMap<String, Owned>,
}

impl Owner {
    /// Answers a question.
    pub fn ask(&mut self, question: Question, now: Millis) -> Opinion {
        let owned = self.servers.entry(question.server).or_default();
        owned.expire(now);
        Opinion {
            number: question.number,
            load: owned.load,
            kept: owned.kept.prefix(&question.parts),
            read: owned.kept.read_prefix(&question.parts),
            paused: owned.health.paused(now),
        }
    }

    /// Takes what the box `from` reports.
    pub fn report(&mut self, from: SocketAddr, report: Report, now: Millis) {
        let owned = self.servers.entry(report.server).or_default();
        let key = (from, report.number);
        match report.news {
            News::Sent { parts, work, memory } => owned.begin(key, parts, work, memory, now),
            News::Read => owned.read(&key),
            News::Ended(ending) => owned.end(&key, ending, now),
        }
    }

    /// Drops servers that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| listed(id));
    }
}

impl Owned {
    fn begin(&mut self, key: (SocketAddr, u64), parts: Vec<Part>, work: Work, memory: u64, now: Millis) {
        self.load.begin(work);
        self.kept.touch(&parts, memory, now);
        self.leases.insert(key, Lease { work, parts, read: false, until: now + LEASE_MOST });
    }

    fn read(&mut self, key: &(SocketAddr, u64)) {
        let Some(lease) = self.leases.get_mut(key) else { return };
        if !std::mem::replace(&mut lease.read, true) {
            self.load.read(lease.work);
            self.kept.confirm(&lease.parts);
        }
    }

    fn end(&mut self, key: &(SocketAddr, u64), ending: Ending, now: Millis) {
        self.health.note(ending, now);
        let Some(lease) = self.leases.remove(key) else { return };
        if !lease.read {
            self.load.read(lease.work);
            // Parts that no other request waits for either are not there.
            let others = |part: &Part| self.leases.values().any(|other| other.parts.contains(part));
            let gone: Vec<Part> = lease.parts.iter().filter(|part| !others(part)).copied().collect();
            self.kept.forget_unread(&gone);
        }
        self.load.end(lease.work);
    }

    fn expire(&mut self, now: Millis) {
        let over: Vec<(SocketAddr, u64)> =
            self.leases.iter().filter(|(_, lease)| lease.until < now).map(|(key, _)| *key).collect();
        for key in over {
            self.end(&key, Ending::Left, now);
        }
    }
}
