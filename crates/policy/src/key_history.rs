//! Request keys: a request with a known key isn't run again.
//!
//! Keys are remembered by boxes that rendezvous hashing names for the key. A memory is only as old as
//! its box, so it also says what it can't know: a key that may be older than the memory is proved new
//! only if the key itself tells when it was made (UUID version 7).

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// How long a key is remembered, in milliseconds.
pub const KEY_RETENTION_MS: u64 = 600_000;

/// Most keys in one memory. When it is full the oldest go, and the memory says it is younger.
const MAX_KEYS: usize = 1_000_000;

/// Allowance for clocks that differ, in milliseconds. A memory younger than this proves nothing.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// A wish to run the request with this key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of customer and key.
    pub key: u64,
    /// Tells deliveries of the same key apart.
    pub delivery: u64,
    /// How long ago the key was made, where the key tells.
    pub age_ms: Option<u64>,
}

/// What a memory knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was not used before; now it is.
    Fresh,
    /// It was used before.
    Repeat,
    /// It wasn't seen, but it may be older than this memory.
    Unproved,
}

/// The keys that one box remembers.
#[derive(Clone, Debug)]
pub struct KeyHistory {
    /// Everything claimed since this moment is remembered.
    since: Time,
    /// Delivery and first answer by key. Every key in it is also in `order`.
    keys: HashMap<u64, (u64, Verdict)>,
    order: VecDeque<(Time, u64)>,
}

impl KeyHistory {
    /// An empty memory that begins now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { since: now, keys: HashMap::new(), order: VecDeque::new() }
    }

    /// Answers a claim, and remembers the key unless it was known.
    pub fn claim(&mut self, claim: &Claim, now: Time) -> Verdict {
        self.expire_old(now);
        if let Some((delivery, verdict)) = self.keys.get(&claim.key) {
            // The same delivery asks again when an answer was lost.
            return if *delivery == claim.delivery { *verdict } else { Verdict::Repeat };
        }
        let verdict = if self.is_provably_new(claim, now) { Verdict::Fresh } else { Verdict::Unproved };
        self.keys.insert(claim.key, (claim.delivery, verdict));
        self.order.push_back((now, claim.key));
        verdict
    }

    /// True when a key that isn't in the memory was certainly never used.
    fn is_provably_new(&self, claim: &Claim, now: Time) -> bool {
        let history_ms = now.since(self.since);
        match claim.age_ms {
            Some(age) => {
                age + MAX_CLOCK_SKEW_MS < KEY_RETENTION_MS && age.saturating_add(MAX_CLOCK_SKEW_MS) <= history_ms
            }
            None => history_ms >= KEY_RETENTION_MS,
        }
    }

    /// Forgets a key that was claimed by this delivery and not used.
    pub fn unclaim(&mut self, claim: &Claim) {
        if self.keys.get(&claim.key).is_some_and(|(delivery, _)| *delivery == claim.delivery) {
            self.keys.remove(&claim.key);
        }
    }

    fn expire_old(&mut self, now: Time) {
        while let Some((at, key)) = self.order.front().copied() {
            let full = self.order.len() >= MAX_KEYS;
            if !full && now.since(at) < KEY_RETENTION_MS {
                return;
            }
            self.order.pop_front();
            self.keys.remove(&key);
            if full {
                self.since = self.since.max(at);
            }
        }
    }

    /// How many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True when no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
