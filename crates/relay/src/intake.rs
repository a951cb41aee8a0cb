//! How many new requests a box takes.

use placement::Millis;
use std::collections::{HashMap, VecDeque};

/// Time after which a request that has not been read whole is late. Callers wait some tenths of a second for their first
/// byte, and a packet that is lost once comes after 200 ms.
const LATE_MS: Millis = 250;

/// Age from which an unread request says nothing: its caller sends slowly, or not at all.
const SLOW_CALLER_MS: Millis = 2_000;

/// Late requests that are always taken for those of slow callers or lost packets.
const MIN_LATE: usize = 6;

/// Part of the requests read within a second that may be late.
const MAX_LATE_RATIO: f64 = 0.1;

/// Time that a box at its limit may need to read a request. Its rate of reads times this is the number that it reads at once.
const READ_TIME_S: f64 = 0.25;

/// Requests that a box at its limit reads at once in any case, so that it finds out when it can read more.
const MIN_UNREAD: usize = 4;

/// Time for which a box counts as at its limit after requests were late or a connection was closed.
const LIMIT_MS: Millis = 3_000;

/// Period in which reads count.
const WINDOW_MS: Millis = 1_000;

/// The requests that are being read, and whether this box can read more. What it can is learned from how long it takes to
/// read: a full link or processor shows as requests that arrive slowly, many at a time.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    next: u64,
    /// Requests that are being read, by number, with the time since when.
    unread: HashMap<u64, Millis>,
    /// Times of the reads within [`WINDOW_MS`].
    reads: VecDeque<Millis>,
    /// Until when the box counts as at its limit.
    limited_until: Millis,
}

impl Intake {
    /// Records that a request is expected on a connection, or begins to arrive. Returns its number.
    pub fn begin(&mut self, now: Millis) -> u64 {
        self.next += 1;
        self.unread.insert(self.next, now);
        self.next
    }

    /// Records that a request was read whole.
    pub fn finish(&mut self, number: u64, now: Millis) {
        if self.unread.remove(&number).is_some() {
            self.reads.push_back(now);
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
        let ages = || self.unread.values().map(|since| now.saturating_sub(*since)).filter(|age| *age < SLOW_CALLER_MS);
        let reads = self.reads.len() as f64;
        let late = ages().filter(|age| *age >= LATE_MS).count();
        let is_late = late > MIN_LATE.max((reads * MAX_LATE_RATIO) as usize);
        let is_limited = is_late || now < self.limited_until;
        let admits = !is_limited || ages().count() < MIN_UNREAD.max((reads * READ_TIME_S) as usize);
        if is_late || !admits {
            self.limited_until = now + LIMIT_MS;
        }
        admits
    }

    fn expire(&mut self, now: Millis) {
        while self.reads.front().is_some_and(|at| at + WINDOW_MS <= now) {
            self.reads.pop_front();
        }
    }
}
