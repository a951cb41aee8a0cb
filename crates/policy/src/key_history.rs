//! Request keys: a request with a known key is not run again.
//!
//! Keys are remembered by boxes that rendezvous hashing chooses for each key. A history is only as old as its
//! box, so it also reports what it cannot know: a key that may be older than the history is proved new only
//! if the key itself contains its creation time (UUID version 7).

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Time for which a key is remembered.
pub const KEY_RETENTION_MS: u64 = 600_000;

/// Maximum number of keys in one history. When it is full, the oldest keys are evicted and the history counts
/// as younger.
const MAX_KEYS: usize = 1_000_000;

/// Allowance for clocks that differ. A history younger than this proves nothing.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// A request's claim to run under this key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the customer and the key.
    pub key: u64,
    /// Distinguishes deliveries of the same key.
    pub delivery: u64,
    /// Age of the key, if the key contains its creation time.
    pub age_ms: Option<u64>,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The key was not used before; now it is.
    Fresh,
    /// The key was used before.
    Repeat,
    /// The key was not seen, but it may be older than this history.
    Unproved,
}

/// The keys that one box remembers.
#[derive(Clone, Debug)]
pub struct KeyHistory {
    /// All keys claimed since this time are remembered.
    since: Time,
    /// Delivery and first verdict by key. Every key in it is also in `order`.
    keys: HashMap<u64, (u64, Verdict)>,
    order: VecDeque<(Time, u64)>,
}

impl KeyHistory {
    /// Creates an empty history that begins now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { since: now, keys: HashMap::new(), order: VecDeque::new() }
    }

    /// Answers a claim, and records the key unless it is known.
    pub fn claim(&mut self, claim: &Claim, now: Time) -> Verdict {
        self.expire_old(now);
        if let Some((delivery, verdict)) = self.keys.get(&claim.key) {
            // The same delivery claims again if an answer was lost.
            return if *delivery == claim.delivery { *verdict } else { Verdict::Repeat };
        }
        let verdict = if self.is_provably_new(claim, now) { Verdict::Fresh } else { Verdict::Unproved };
        self.keys.insert(claim.key, (claim.delivery, verdict));
        self.order.push_back((now, claim.key));
        verdict
    }

    /// Returns true if a key that is not in the history was certainly never used.
    fn is_provably_new(&self, claim: &Claim, now: Time) -> bool {
        let history_ms = now.since(self.since);
        match claim.age_ms {
            Some(age) => {
                age + MAX_CLOCK_SKEW_MS < KEY_RETENTION_MS && age.saturating_add(MAX_CLOCK_SKEW_MS) <= history_ms
            }
            None => history_ms >= KEY_RETENTION_MS,
        }
    }

    /// Removes a key that was claimed by this delivery and not used.
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

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true if no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
