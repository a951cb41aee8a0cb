//! How many new requests a box takes.

use placement::Millis;
use std::collections::{HashMap, VecDeque};

/// Time after which a request that has not been read whole is late. Callers wait some tenths of a second for their first
/// byte, and a packet that is lost once comes after 200 ms.
const LATE_MS: Millis = 250;

/// Age from which an unread request says nothing: its caller sends slowly, or not at all.
const SLOW_CALLER_MS: Millis = 2_000;

/// Time without a byte after which a caller isn't sending: it has stopped, or has opened a connection for later.
const STOPPED_CALLER_MS: Millis = 250;

/// Bytes from which a request says nothing: it takes long because it is large.
const LARGE_BYTES: usize = 64 << 10;

/// Late requests that are always taken for those of slow callers or lost packets.
const MIN_LATE: usize = 6;

/// Part of the requests read within a second that may be late.
const MAX_LATE_RATIO: f64 = 0.1;

/// The same, of those that were read in time. A full link or processor delays nearly all requests, a slow caller its own.
const MAX_LATE_PER_PROMPT: f64 = 0.5;

/// Time that a box at its limit may need to read a request. Its rate of reads times this is the number that it reads at once.
const READ_TIME_S: f64 = 0.25;

/// Requests that a box at its limit reads at once in any case, so that it finds out when it can read more.
const MIN_UNREAD: usize = 4;

/// Time for which a box counts as at its limit after requests were late or a connection was closed.
const LIMIT_MS: Millis = 3_000;

/// Period in which reads count.
const WINDOW_MS: Millis = 1_000;

/// The requests that are being read, and whether this box can read more. What it can is learned from how long it takes to
/// read: a full link or processor shows as requests that arrive slowly, many at a time. Callers that have stopped sending say
/// nothing about it, nor do large requests.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    next: u64,
    /// Requests that are being read, by number.
    unread: HashMap<u64, Unread>,
    /// Times of the reads within [`WINDOW_MS`], each with true if the request was not late.
    reads: VecDeque<(Millis, bool)>,
    /// Until when the box counts as at its limit.
    limited_until: Millis,
}

/// A request that is being read.
#[derive(Clone, Copy, Debug)]
struct Unread {
    /// When it began, or was expected.
    since: Millis,
    /// Number of bytes that have arrived.
    bytes: usize,
    /// When its last bytes arrived.
    last_bytes: Millis,
}

impl Intake {
    /// Records that a request is expected on a connection, or begins to arrive. Returns its number.
    pub fn begin(&mut self, now: Millis) -> u64 {
        self.next += 1;
        self.unread.insert(self.next, Unread { since: now, bytes: 0, last_bytes: now });
        self.next
    }

    /// Records that `count` bytes of a request have arrived.
    pub fn progress(&mut self, number: u64, count: usize, now: Millis) {
        if let Some(unread) = self.unread.get_mut(&number) {
            unread.bytes += count;
            unread.last_bytes = now;
        }
    }

    /// Records that a request was read whole.
    pub fn finish(&mut self, number: u64, now: Millis) {
        if let Some(unread) = self.unread.remove(&number) {
            self.reads.push_back((now, now.saturating_sub(unread.since) < LATE_MS));
        }
        self.expire(now);
    }

    /// Records that a request won't be read: its connection has ended.
    pub fn abandon(&mut self, number: u64) {
        self.unread.remove(&number);
    }

    /// Returns true if a new connection should be taken. Otherwise it is closed unread, so that the caller's next try meets
    /// another box in time.
    #[must_use]
    pub fn admits(&mut self, now: Millis) -> bool {
        self.expire(now);
        let sending = |unread: &&Unread| now.saturating_sub(unread.last_bytes) < STOPPED_CALLER_MS;
        let ages = self.unread.values().filter(|unread| unread.bytes < LARGE_BYTES).filter(sending);
        let ages = ages.map(|unread| now.saturating_sub(unread.since)).filter(|age| *age < SLOW_CALLER_MS);
        let ages: Vec<Millis> = ages.collect();
        let reads = self.reads.len() as f64;
        let late = ages.iter().filter(|age| **age >= LATE_MS).count();
        let prompt = self.reads.iter().filter(|(_, is_prompt)| *is_prompt).count() as f64;
        let allowed = (reads * MAX_LATE_RATIO).max(prompt * MAX_LATE_PER_PROMPT);
        let is_late = late > MIN_LATE.max(allowed as usize);
        let is_limited = is_late || now < self.limited_until;
        let admits = !is_limited || ages.len() < MIN_UNREAD.max((reads * READ_TIME_S) as usize);
        if is_late || !admits {
            self.limited_until = now + LIMIT_MS;
        }
        admits
    }

    fn expire(&mut self, now: Millis) {
        while self.reads.front().is_some_and(|(at, _)| at + WINDOW_MS <= now) {
            self.reads.pop_front();
        }
    }
}
