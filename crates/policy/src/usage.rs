//! Customers' limits across the boxes of a hall, without a shared counter.
//!
//! Each box reports its usage to the customer's owner (a box chosen by rendezvous hashing), which answers
//! with the usage of all other boxes. A box then admits by its own exact usage plus the others' delayed one.
//! Only customers whose usage changed are reported at once; those whose requests merely keep running are
//! reported rarely. Halls do not exchange usage: each has its share, the limit divided by the number of
//! halls.

use crate::layout::Quota;
use crate::Time;
use catalog::{BoxId, CustomerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of the sliding window for tokens.
const TOKEN_WINDOW_MS: u64 = 60_000;

/// Time after which a box's report is dropped unless it is repeated.
const USAGE_TTL_MS: u64 = TOKEN_WINDOW_MS;

/// Interval at which unchanged usage is reported again, in case a message was lost.
const REPORT_INTERVAL_MS: u64 = 25_000;

/// A customer's usage, at one box or at several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: CustomerId,
    /// Requests that are running or waiting.
    pub running: u32,
    /// Tokens forwarded within the last minute.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct LocalUsage {
    running: u32,
    token_log: VecDeque<(Time, u64)>,
    tokens: u64,
    /// Its owner has to be sent a report: the usage changed, or a request was refused by a figure that may be
    /// old.
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

/// The entry box's side: its own usage, and the last reported usage of the other boxes.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    local: BTreeMap<CustomerId, LocalUsage>,
    others: BTreeMap<CustomerId, (Time, Usage)>,
}

impl UsageMeter {
    /// Admits one more request of `customer`. Returns false if its limit is reached.
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

    /// Records the end of a request of `customer` that used `tokens` tokens.
    pub fn finish(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        let local = self.local.entry(customer).or_default();
        local.running = local.running.saturating_sub(1);
        local.changed = true;
        local.token_log.push_back((now, tokens));
        local.tokens += tokens;
    }

    /// Takes the usage that is due for a report: customers whose usage changed, or that were not reported for long.
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

    /// Marks all usage to be reported anew, since the boxes and with them the customers' owners have changed.
    pub fn mark_all_changed(&mut self) {
        self.local.values_mut().for_each(|local| local.changed = true);
    }

    /// Records the usage of all other boxes, as a customer's owner reports it.
    pub fn record_others(&mut self, usages: &[Usage], now: Time) {
        self.others.retain(|_, (at, _)| now.since(*at) < USAGE_TTL_MS);
        for usage in usages {
            self.others.insert(usage.customer, (now, *usage));
        }
    }
}

/// The owner's side: the last report of each box for each customer.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    reports: BTreeMap<CustomerId, BTreeMap<BoxId, (Time, Usage)>>,
}

impl UsageTable {
    /// Records the usage at `from`, and returns the usage of all other boxes for the same customers.
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

    /// Drops the reports of all but `boxes`.
    pub fn retain_boxes(&mut self, boxes: &BTreeSet<BoxId>) {
        for reports in self.reports.values_mut() {
            reports.retain(|id, _| boxes.contains(id));
        }
    }

    /// Drops customers without a recent report.
    pub fn expire(&mut self, now: Time) {
        self.reports.retain(|_, boxes| boxes.values().any(|(at, _)| now.since(*at) < USAGE_TTL_MS));
    }
}
