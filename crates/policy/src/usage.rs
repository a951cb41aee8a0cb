//! Customers' limits across the boxes of a hall, without a shared counter.
//!
//! Each box tells the customer's keeper (a box named by rendezvous hashing) what it uses; the keeper
//! answers with what all others use. A box then admits by its local exact figure plus the others' late
//! one. Only customers whose use changed are last_reported, and seldom those whose requests merely run on.
//! Halls don't speak of this: each has its share, the limit divided by the number of halls.

use crate::layout::Quota;
use crate::Time;
use catalog::{BoxId, CustomerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of the window for tokens, in milliseconds.
const TOKEN_WINDOW_MS: u64 = 60_000;

/// A box's word is forgotten after this many milliseconds, unless it is repeated.
const USAGE_TTL_MS: u64 = TOKEN_WINDOW_MS;

/// What a box uses of a customer is last_reported again after this time, in milliseconds, should a message be lost.
const REPORT_INTERVAL_MS: u64 = 25_000;

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
struct LocalUsage {
    running: u32,
    token_log: VecDeque<(Time, u64)>,
    tokens: u64,
    /// Its keeper has to hear of it: the use changed, or a request was turned away by what may be old.
    changed: bool,
    last_reported: Time,
}

impl LocalUsage {
    fn drop_expired_tokens(&mut self, now: Time) {
        while let Some((at, tokens)) = self.token_log.front().copied() {
            if now.since(at) < TOKEN_WINDOW_MS {
                return;
            }
            self.tokens -= tokens;
            self.token_log.pop_front();
        }
    }
}

/// The entry box's side: what passes here, and what others were last said to use.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    local: BTreeMap<CustomerId, LocalUsage>,
    others: BTreeMap<CustomerId, (Time, Usage)>,
}

impl UsageMeter {
    /// Admits one more request of `customer`, or says that its limit is reached.
    #[must_use]
    pub fn admit(&mut self, customer: CustomerId, quota: Quota, now: Time) -> bool {
        let others = self.others.get(&customer).filter(|(at, _)| now.since(*at) < USAGE_TTL_MS);
        let others = others.map(|(_, usage)| *usage).unwrap_or_default();
        let local = self.local.entry(customer).or_default();
        local.drop_expired_tokens(now);
        local.changed = true;
        let over_concurrency = quota.max_concurrent > 0 && local.running + others.running >= quota.max_concurrent;
        let over_tokens =
            quota.max_tokens_per_minute > 0 && local.tokens + others.tokens >= quota.max_tokens_per_minute;
        if over_concurrency || over_tokens {
            return false;
        }
        local.running += 1;
        true
    }

    /// A request of `customer` has ended with `tokens` tokens.
    pub fn finish(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        let local = self.local.entry(customer).or_default();
        local.running = local.running.saturating_sub(1);
        local.changed = true;
        local.token_log.push_back((now, tokens));
        local.tokens += tokens;
    }

    /// What to tell the owners: customers whose use changed, or of whom nothing was said for long.
    pub fn usage_to_report(&mut self, now: Time) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (customer, local) in &mut self.local {
            local.drop_expired_tokens(now);
            let repeat = local.running > 0 && now.since(local.last_reported) >= REPORT_INTERVAL_MS;
            if local.changed || repeat {
                (local.changed, local.last_reported) = (false, now);
                usages.push(Usage { customer: *customer, running: local.running, tokens: local.tokens });
            }
        }
        self.local.retain(|_, local| local.running > 0 || local.tokens > 0);
        usages
    }

    /// Boxes came or went, and with them owners: all that is used has to be last_reported anew.
    pub fn mark_all_changed(&mut self) {
        self.local.values_mut().for_each(|local| local.changed = true);
    }

    /// A keeper said what all other boxes use.
    pub fn record_others(&mut self, usages: &[Usage], now: Time) {
        self.others.retain(|_, (at, _)| now.since(*at) < USAGE_TTL_MS);
        for usage in usages {
            self.others.insert(usage.customer, (now, *usage));
        }
    }
}

/// The keeper's side: what each box last said of each customer.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    reports: BTreeMap<CustomerId, BTreeMap<BoxId, (Time, Usage)>>,
}

impl UsageTable {
    /// Takes in what `from` uses, and gives what all others use of the same customers.
    pub fn record(&mut self, from: BoxId, usages: &[Usage], now: Time) -> Vec<Usage> {
        let mut answer = Vec::new();
        for usage in usages {
            let boxes = self.reports.entry(usage.customer).or_default();
            boxes.retain(|_, (at, _)| now.since(*at) < USAGE_TTL_MS);
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
        for reports in self.reports.values_mut() {
            reports.retain(|id, _| boxes.contains(id));
        }
    }

    /// Forgets customers of whom nobody speaks any more.
    pub fn expire(&mut self, now: Time) {
        self.reports.retain(|_, boxes| boxes.values().any(|(at, _)| now.since(*at) < USAGE_TTL_MS));
    }
}
