//! What one box knows exactly of the servers that it owns.
//!
//! Each server has one box that all others ask before they send a long request there: it knows what they
//! sent, which parts of prompts were read, and how sends ended. It answers at once and holds nothing back;
//! a box that gets no answer goes by what it knows itself.

use crate::arrivals::Arrivals;
use crate::elsewhere::Elsewhere;
use crate::ends::Ends;
use crate::rate::Rate;
use crate::stalls::Stalls;
use crate::turns::Turns;
use crate::warmth::{Breaks, WINDOW};
use crate::{Break, Ending, Health, Kept, Learner, Leave, Load, Millis, Part, Permit, Quotas, Reading, Speed, Work};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A lease whose end is never told is dropped after this long: its box has died, or no request takes longer.
const LEASE_MOST: Millis = 60_000;

/// The part of a prompt that is taken for read at most before its first event says that all of it was.
const MOSTLY_READ: f64 = 0.8;

/// Asks the owner of a server what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Names the question, unique for the asking box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Longest pause between events of its answer that is still in time, in milliseconds; 0 where none makes it late.
    pub gap_ms: u32,
}

/// What an owner knows of its server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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
    /// How fast the server was seen to be.
    pub speed: Speed,
    /// How often a second reading there lately made pauses too long for such an answer.
    pub stalls_per_s: f32,
    /// Milliseconds until one of the requests that run there ends, on average; 0 where none ended lately.
    pub end_ms: f32,
    /// The part of its time that it takes to read the long prompts that were lately sent there; above 1 where more came
    /// than it can read.
    pub long_reading: f32,
    /// The same of the other prompts.
    pub short_reading: f32,
    /// Requests that were sent there within about the last second, by all boxes together.
    pub arrivals: u32,
    /// Whether it may have started again.
    pub broke: Break,
    /// Other servers that read the prompt's last shared part, the last one first; for parts whose register is kept with
    /// this server.
    pub elsewhere: Vec<String>,
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
        /// True when the owner gave leave for it, and so has counted it.
        permitted: bool,
    },
    /// Its prompt has been read.
    Read,
    /// Another server has read a part whose register is kept with this server. Belongs to no lease.
    Elsewhere {
        /// Id of the part.
        part: u64,
        /// Id of the server that has read it.
        by: String,
    },
    /// A pause between its events has made it late.
    Late,
    /// The send has ended.
    Ended {
        /// How, as far as the server is to blame.
        ending: Ending,
        /// The longest pause between two events, in milliseconds.
        pause_ms: u32,
    },
}

/// A request that some box has at a server.
#[derive(Clone, Debug)]
struct Lease {
    work: Work,
    parts: Vec<Part>,
    sent: Millis,
    /// What had to be read before its first event.
    ahead: Reading,
    /// When the prompt was read; none before.
    read: Option<Millis>,
    /// The most that was read beside its answer, and since when.
    beside: (Reading, Millis),
    /// True once a pause has made it late.
    late: bool,
    until: Millis,
}

#[derive(Clone, Debug, Default)]
struct Owned {
    load: Load,
    kept: Kept,
    health: Health,
    learner: Learner,
    stalls: Stalls,
    ends: Ends,
    /// Milliseconds of reading that were sent there with long prompts.
    long_reading: Rate,
    /// The same with the others.
    short_reading: Rate,
    /// When the last prompt was read.
    last_read: Millis,
    arrivals: Arrivals,
    /// Since when this box hears of the server: what was sent there before isn't known.
    since: Millis,
    /// Who asked for leave, where the server names a limit.
    turns: Turns,
    breaks: Breaks,
    elsewhere: Elsewhere,
    /// By asking box and number. The sum of their works is `load`.
    leases: BTreeMap<(SocketAddr, u64), Lease>,
}

/// The servers that this box owns, or was asked about.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    servers: HashMap<String, Owned>,
}

impl Owner {
    /// Answers a question.
    pub fn ask(&mut self, question: &Question, now: Millis) -> Opinion {
        let owned = self.owned(&question.server, now);
        owned.expire(now);
        Opinion {
            number: question.number,
            load: Load { reading: owned.left(now), ..owned.load.clone() },
            kept: owned.kept.prefix(&question.parts),
            read: owned.kept.read_prefix(&question.parts),
            paused: owned.health.paused(now),
            speed: owned.learner.speed(),
            stalls_per_s: owned.stalls.per_second(question.gap_ms, now),
            end_ms: owned.ends.interval_ms(now),
            long_reading: owned.long_reading.share(now),
            short_reading: owned.short_reading.share(now),
            arrivals: owned.arrivals.within(WINDOW, now),
            broke: owned.breaks.told(now),
            elsewhere: shared_last(&question.parts).map_or_else(Vec::new, |part| owned.elsewhere.servers(part)),
        }
    }

    /// Gives leave for a request, which then counts as sent, or denies it. Bounds are over all boxes, and so is this count.
    pub fn permit(&mut self, permit: &Permit, now: Millis) -> Leave {
        let owned = self.owned(&permit.server, now);
        let Quotas { cold, limit } = &permit.quotas;
        let again = limit.as_ref().map_or(now, |quota| {
            let stretched = owned.turns.ask(permit.urgency, quota, now);
            // What a box gave leave for that did so before this one fills the quota in the beginning.
            owned.arrivals.free_at(&stretched, now).max(owned.since + quota.within)
        });
        let bears = cold.as_ref().is_none_or(|quota| owned.arrivals.free_at(quota, now) <= now);
        if again > now || !bears {
            return Leave::Denied { again: again - now };
        }
        owned.arrivals.note(now);
        owned.turns.given(permit.urgency);
        Leave::Given
    }

    fn owned(&mut self, server: &str, now: Millis) -> &mut Owned {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.to_owned(), Owned { since: now, ..Owned::default() });
        }
        self.servers.get_mut(server).expect("just inserted")
    }

    /// Takes what the box `from` reports.
    pub fn report(&mut self, from: SocketAddr, report: Report, now: Millis) {
        let owned = self.owned(&report.server, now);
        let key = (from, report.number);
        match report.news {
            News::Sent { parts, work, memory, permitted } => {
                if !permitted {
                    owned.arrivals.note(now);
                }
                owned.begin(key, parts, work, memory, now);
            }
            News::Read => owned.read(&key, now),
            News::Elsewhere { part, by } => owned.elsewhere.note(part, by),
            News::Late => owned.late(&key),
            News::Ended { ending, pause_ms } => owned.end(&key, ending, pause_ms, now),
        }
    }

    /// Drops servers that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| listed(id));
    }
}

/// Id of the last part that requests may share: the last of all is a request's own.
fn shared_last(parts: &[Part]) -> Option<u64> {
    parts.iter().rev().nth(1).map(|part| part.id)
}

impl Owned {
    fn begin(&mut self, key: (SocketAddr, u64), parts: Vec<Part>, work: Work, memory: u64, now: Millis) {
        let ahead = self.left(now).and(work.reading);
        let reading = if work.long { &mut self.long_reading } else { &mut self.short_reading };
        reading.note(self.learner.speed().read(work.reading), now);
        self.load.begin(work);
        self.kept.touch(&parts, memory, now);
        self.stalls.note(self.learner.speed().stall(ahead), now);
        for beside in self.leases.values_mut().filter(|lease| lease.read.is_some()) {
            if ahead.tokens > beside.beside.0.tokens {
                beside.beside = (ahead, now);
            }
        }
        let beside = (Reading::default(), now);
        let until = now + LEASE_MOST;
        self.leases.insert(key, Lease { work, parts, sent: now, ahead, read: None, beside, late: false, until });
    }

    /// What is still to be read: prompts are read in the order in which they came, so the first may be half done.
    fn left(&self, now: Millis) -> Reading {
        let unread = || self.leases.values().filter(|lease| lease.read.is_none());
        let Some(first) = unread().min_by_key(|lease| lease.sent) else { return self.load.reading };
        let since = now.saturating_sub(first.sent.max(self.last_read)) as f64;
        let takes = self.learner.speed().read(first.work.reading).max(1.0);
        let left = self.load.reading.without(first.work.reading.part((since / takes).min(MOSTLY_READ)));
        Reading { depth: unread().map(|lease| lease.work.reading.depth).max().unwrap_or_default(), ..left }
    }

    fn read(&mut self, key: &(SocketAddr, u64), now: Millis) {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| lease.read.is_none()) else { return };
        lease.read = Some(now);
        self.last_read = now;
        self.load.read(lease.work);
        self.kept.confirm(&lease.parts);
        self.learner.first_event(lease.ahead, now.saturating_sub(lease.sent) as f64);
    }

    fn late(&mut self, key: &(SocketAddr, u64)) {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| !lease.late) else { return };
        lease.late = true;
        self.load.late(lease.work);
    }

    fn end(&mut self, key: &(SocketAddr, u64), ending: Ending, pause_ms: u32, now: Millis) {
        self.health.note(ending, now);
        self.breaks.note(ending, now);
        let Some(lease) = self.leases.remove(key) else { return };
        if lease.read.is_none() {
            self.load.read(lease.work);
            // Parts that no other request waits for either are not there.
            let others = |part: &Part| self.leases.values().any(|other| other.parts.contains(part));
            let gone: Vec<Part> = lease.parts.iter().filter(|part| !others(part)).copied().collect();
            self.kept.forget_unread(&gone);
        }
        if ending == Ending::Good {
            self.learn(&lease, pause_ms, now);
        }
        if lease.read.is_some() {
            self.ends.note(now);
        }
        if !lease.late {
            self.load.late(lease.work);
        }
        self.load.end(lease.work);
    }

    /// What a whole answer shows of the server's speed.
    fn learn(&mut self, lease: &Lease, pause_ms: u32, now: Millis) {
        let Some(read) = lease.read else { return };
        self.learner.answer(lease.work.out, now.saturating_sub(read) as f64);
        let (beside, since) = lease.beside;
        // An answer that ended before all was read says nothing of it.
        if now.saturating_sub(since) as f64 > self.learner.speed().read(beside) {
            self.learner.pause(beside, f64::from(pause_ms));
        }
    }

    fn expire(&mut self, now: Millis) {
        let over: Vec<(SocketAddr, u64)> =
            self.leases.iter().filter(|(_, lease)| lease.until < now).map(|(key, _)| *key).collect();
        for key in over {
            self.end(&key, Ending::Left, 0, now);
        }
    }
}
