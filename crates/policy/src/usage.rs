//! Customers' limits across the boxes of a hall, without a shared counter.
//!
//! Each box tells the customer's keeper (a box named by rendezvous hashing) what it uses; the keeper
//! answers with what all others use. A box then admits by its own exact figure plus the others' late
//! one. Only customers whose use changed are told, and seldom those whose requests merely run on.
//! Halls don't speak of this: each has its share, the limit divided by the number of halls.

use crate::layout::Quota;
use crate::Time;
use catalog::{BoxId, CustomerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of the window for tokens, in milliseconds.
const WINDOW_MS: u64 = 60_000;

/// A box's word is forgotten after this many milliseconds, unless it is repeated.
const STALE_MS: u64 = WINDOW_MS;

/// What a box uses of a customer is told again after this time, in milliseconds, should a message be lost.
const REPEAT_MS: u64 = 25_000;

/// What a customer uses, at one box or at several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: CustomerId,
    /// Requests now running or waiting.
    pub running: u32,
    /// Tokens passed on within the last minute.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Own {
    running: u32,
    spent: VecDeque<(Time, u64)>,
    tokens: u64,
    /// Its keeper has to hear of it: the use changed, or a request was turned away by what may be old.
    changed: bool,
    told: Time,
}

impl Own {
    fn slide(&mut self, now: Time) {
        while let Some((at, tokens)) = self.spent.front().copied() {
            if now.since(at) < WINDOW_MS {
                return;
            }
            self.tokens -= tokens;
            self.spent.pop_front();
        }
    }
}

/// The entry box's side: what passes here, and what others were last said to use.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    own: BTreeMap<CustomerId, Own>,
    others: BTreeMap<CustomerId, (Time, Usage)>,
}

impl UsageMeter {
    /// Admits one more request of `customer`, or says that its limit is reached.
    #[must_use]
    pub fn admit(&mut self, customer: CustomerId, quota: Quota, now: Time) -> bool {
        let others = self.others.get(&customer).filter(|(at, _)| now.since(*at) < STALE_MS);
        let others = others.map(|(_, usage)| *usage).unwrap_or_default();
        let own = self.own.entry(customer).or_default();
        own.slide(now);
        own.changed = true;
        let full = quota.max_concurrent > 0 && own.running + others.running >= quota.max_concurrent;
        let spent = quota.max_tokens_per_minute > 0 && own.tokens + others.tokens >= quota.max_tokens_per_minute;
        if full || spent {
            return false;
        }
        own.running += 1;
        true
    }

    /// A request of `customer` has ended with `tokens` tokens.
    pub fn finish(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        let own = self.own.entry(customer).or_default();
        own.running = own.running.saturating_sub(1);
        own.changed = true;
        own.spent.push_back((now, tokens));
        own.tokens += tokens;
    }

    /// What to tell the keepers: customers whose use changed, or of whom nothing was said for long.
    pub fn usage_to_report(&mut self, now: Time) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (customer, own) in &mut self.own {
            own.slide(now);
            let repeat = own.running > 0 && now.since(own.told) >= REPEAT_MS;
            if own.changed || repeat {
                (own.changed, own.told) = (false, now);
                usages.push(Usage { customer: *customer, running: own.running, tokens: own.tokens });
            }
        }
        self.own.retain(|_, own| own.running > 0 || own.tokens > 0);
        usages
    }

    /// Boxes came or went, and with them keepers: all that is used has to be told anew.
    pub fn mark_all_changed(&mut self) {
        self.own.values_mut().for_each(|own| own.changed = true);
    }

    /// A keeper said what all other boxes use.
    pub fn record_others(&mut self, usages: &[Usage], now: Time) {
        self.others.retain(|_, (at, _)| now.since(*at) < STALE_MS);
        for usage in usages {
            self.others.insert(usage.customer, (now, *usage));
        }
    }
}

/// The keeper's side: what each box last said of each customer.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    said: BTreeMap<CustomerId, BTreeMap<BoxId, (Time, Usage)>>,
}

impl UsageTable {
    /// Takes in what `from` uses, and gives what all others use of the same customers.
    pub fn record(&mut self, from: BoxId, usages: &[Usage], now: Time) -> Vec<Usage> {
        let mut answer = Vec::new();
        for usage in usages {
            let boxes = self.said.entry(usage.customer).or_default();
            boxes.retain(|_, (at, _)| now.since(*at) < STALE_MS);
            boxes.insert(from, (now, *usage));
            let others = boxes.iter().filter(|(id, _)| **id != from);
            let sum = others.fold(Usage { customer: usage.customer, ..Usage::default() }, |sum, (_, (_, u))| Usage {
                running: sum.running + u.running,
                tokens: sum.tokens + u.tokens,
                ..sum
            });
            answer.push(sum);
        }
        answer
    }

    /// Forgets what boxes said that aren't there any more.
    pub fn retain_boxes(&mut self, boxes: &BTreeSet<BoxId>) {
        for said in self.said.values_mut() {
            said.retain(|id, _| boxes.contains(id));
        }
    }

    /// Forgets customers of whom nobody speaks any more.
    pub fn expire(&mut self, now: Time) {
        self.said.retain(|_, boxes| boxes.values().any(|(at, _)| now.since(*at) < STALE_MS));
    }
}
