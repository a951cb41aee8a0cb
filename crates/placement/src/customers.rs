//! Work of a service's customers, and what each has beyond its fair share.
//!
//! A box accounts for the recent work of its own callers in a space-saving sketch, which holds the heaviest customers
//! in bounded memory. Boxes report their heaviest customers to owners of servers, and owners answer with the sum over
//! boxes ([`CustomerSums`](crate::CustomerSums)), since callers of one customer are spread over boxes unevenly.

use crate::shedding::{covers_far_more, is_recent};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Time constant of the decay, after which work counts for about a third. Short enough to follow a burst of some
/// seconds, long enough to smooth over single requests.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// Time for which a customer counts as active after its last request: two time constants.
const ACTIVE_WINDOW: Millis = 4_000;

/// Most customers of a service that a box accounts for. A customer with over 1/256 of the work is always among them.
const MAX_ENTRIES: usize = 256;

/// Most customers of a report from another box that are read. Owners list 8, other boxes 4.
pub(crate) const MAX_LISTED: usize = 8;

/// Customers with up to this many times the fair level have no excess. The level and the work over all boxes are
/// estimates from the few customers that each box lists. Without a tolerance, customers below the level lost up to 20 %
/// of their work over 7 boxes and 11 % over 87, in loads like those of `tests/customers.rs`.
const TOLERANCE: f64 = 1.25;

/// Time after which the sums are rescaled. They grow by a factor of e^20 meanwhile, far from the limits of `f64`.
const RESCALE_INTERVAL: Millis = 40_000;

/// Recent work of one customer of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerWork {
    /// Hash of the customer's name; 0 for requests without a customer.
    pub customer: u64,
    /// Its work of the last seconds, decayed, in the unit of [`Customers::record`].
    pub work: u32,
}

/// Recent work of the customers of one service, on one box or over all boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerReport {
    /// Work of all customers.
    pub total: u32,
    /// Number of customers with recent work; a lower bound where there are more than a box or a sum can tell apart.
    pub count: u16,
    /// The customers with the most work, in descending order.
    pub heaviest: Vec<CustomerWork>,
}

impl CustomerReport {
    /// Returns a copy that is safe to calculate with: few customers, each once, with work, in descending order, and no
    /// more of them than the totals say.
    pub(crate) fn normalized(&self) -> Self {
        let mut heaviest: Vec<CustomerWork> =
            self.heaviest.iter().take(MAX_LISTED).filter(|listed| listed.work > 0).copied().collect();
        heaviest.sort_unstable_by_key(|listed| (listed.customer, Reverse(listed.work)));
        heaviest.dedup_by_key(|listed| listed.customer);
        heaviest.sort_unstable_by_key(descending);
        let listed = heaviest.iter().fold(0_u32, |sum, listed| sum.saturating_add(listed.work));
        Self { total: self.total.max(listed), count: self.count.max(heaviest.len() as u16), heaviest }
    }

    /// Returns the customers that a normalized report doesn't list.
    pub(crate) fn unlisted(&self) -> Unlisted {
        let listed: u64 = self.heaviest.iter().map(|listed| u64::from(listed.work)).sum();
        let work = u64::from(self.total).saturating_sub(listed) as f64;
        // None of them has more work than the lightest listed one, which bounds their number from below. At least one
        // has the work, even if it is only a rounding difference.
        let fewest = self.heaviest.last().map_or(0.0, |lightest| work / f64::from(lightest.work));
        let count = f64::from(self.count) - self.heaviest.len() as f64;
        Unlisted { work, count: count.max(fewest).max(work.min(1.0)) }
    }

    /// Returns the work that a customer may have if this share of the total is served.
    ///
    /// This is the max-min fair level, at which the total of all `min(work, level)` is what is served. It is at least
    /// the mean of the unlisted customers: these can't be shed, so a listed one with as much work as they would
    /// otherwise get less than they do.
    fn fair_level(&self, served_ratio: f64) -> f64 {
        let unlisted = self.unlisted();
        let mean = unlisted.mean();
        let listed = self.heaviest.iter().rev().map(|listed| (f64::from(listed.work), 1.0));
        let mut customers = unlisted.count + self.heaviest.len() as f64;
        let mut remaining = f64::from(self.total) * served_ratio;
        // The mean comes first, as it doesn't exceed the work of the lightest listed customer.
        for (work, count) in std::iter::once((mean, unlisted.count)).chain(listed) {
            if work * customers >= remaining {
                return (remaining / customers).max(mean);
            }
            remaining -= work * count;
            customers -= count;
        }
        f64::INFINITY
    }

    /// Returns the part of a customer's work above the fair level. It sets in at `TOLERANCE` times the level and is
    /// complete from 1.5 times the level, without a step that a customer could alternate around.
    fn excess(&self, customer: u64, served_ratio: f64) -> f64 {
        let Some(listed) = self.heaviest.iter().find(|listed| listed.customer == customer) else { return 0.0 };
        let fair = self.fair_level(served_ratio) / f64::from(listed.work);
        (1.0 - fair).min(2.0 * (1.0 - TOLERANCE * fair)).clamp(0.0, 1.0)
    }

    /// Returns the share of the total that is excess.
    fn excess_total(&self, served_ratio: f64) -> f64 {
        let excess = |listed: &CustomerWork| f64::from(listed.work) * self.excess(listed.customer, served_ratio);
        self.heaviest.iter().map(excess).sum::<f64>() / f64::from(self.total.max(1))
    }
}

/// Customers that a report doesn't list, taken together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unlisted {
    /// Work of all of them.
    pub(crate) work: f64,
    /// Estimate of their number.
    pub(crate) count: f64,
}

impl Unlisted {
    fn mean(self) -> f64 {
        if self.count > 0.0 {
            self.work / self.count
        } else {
            0.0
        }
    }
}

/// Sort key for the most work first; equal work is ordered by customer, so that all boxes list the same.
pub(crate) fn descending(listed: &CustomerWork) -> (Reverse<u32>, u64) {
    (Reverse(listed.work), listed.customer)
}

/// Reduces a list to the customers with the most work, in descending order.
pub(crate) fn keep_heaviest(customers: &mut Vec<CustomerWork>, max: usize) {
    if max < customers.len() {
        customers.select_nth_unstable_by_key(max, descending);
        customers.truncate(max);
    }
    customers.sort_unstable_by_key(descending);
}

/// Account of one customer. The sums are scaled as described at [`Customers`].
#[derive(Clone, Copy, Debug)]
struct Entry {
    customer: u64,
    /// Upper bound of its work.
    work: f64,
    /// Largest part of `work` that may belong to customers whose entry it took over.
    error: f64,
    last_recorded: Millis,
}

/// Recent work of the customers of one service, on this box and over all boxes as far as known.
///
/// Sums are stored relative to `origin`: work at a later time is multiplied by the growth since then, and the sums are
/// divided by the growth when they are read, so that nothing has to be decayed on every request.
#[derive(Clone, Debug, Default)]
pub struct Customers {
    entries: Vec<Entry>,
    total: f64,
    origin: Millis,
    /// The last sum over all boxes, normalized, and when it was received.
    all: Option<(Millis, CustomerReport)>,
}

impl Customers {
    /// Records the work that a request offers, whether or not it is admitted. Customer 0 stands for all requests
    /// without a customer. The unit is the caller's, tokens for example.
    pub fn record(&mut self, customer: u64, work: u32, now: Millis) {
        if now >= self.origin.saturating_add(RESCALE_INTERVAL) {
            self.rescale(now);
        }
        let work = f64::from(work) * self.growth(now);
        self.total += work;
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.customer == customer) {
            entry.work += work;
            entry.last_recorded = now;
            return;
        }
        let mut added = Entry { customer, work, error: 0.0, last_recorded: now };
        if self.entries.len() < MAX_ENTRIES {
            self.entries.push(added);
            return;
        }
        // Space-saving: the customer takes over the account with the least work, an upper bound of its own so far.
        if let Some(least) = self.entries.iter_mut().min_by(|a, b| a.work.total_cmp(&b.work)) {
            added.work += least.work;
            added.error = least.work;
            *least = added;
        }
    }

    /// Returns the work of this box's customers, with at most `max` of the heaviest. Their work is what is certainly
    /// theirs, so that a customer that just took over an account isn't taken for a heavy one.
    #[must_use]
    pub fn report(&self, max: usize, now: Millis) -> CustomerReport {
        let growth = self.growth(now);
        let active = |entry: &&Entry| now < entry.last_recorded.saturating_add(ACTIVE_WINDOW);
        let works = self
            .entries
            .iter()
            .map(|entry| CustomerWork { customer: entry.customer, work: rounded((entry.work - entry.error) / growth) });
        let mut heaviest = works.filter(|listed| listed.work > 0).collect();
        keep_heaviest(&mut heaviest, max);
        let count = self.entries.iter().filter(active).count().max(heaviest.len()) as u16;
        CustomerReport { total: self.own_total(now), count, heaviest }
    }

    /// Applies the sum over boxes of an owner in place of the last one, unless that one is at most a second old and has far
    /// more work.
    pub fn apply(&mut self, all: &CustomerReport, now: Millis) {
        let all = all.normalized();
        let covers_more = |(at, kept): &(Millis, CustomerReport)| {
            is_recent(*at, now) && covers_far_more(kept.total.into(), all.total.into())
        };
        if !self.all.as_ref().is_some_and(covers_more) {
            self.all = Some((now, all));
        }
    }

    /// Returns the part of a customer's work beyond its max-min fair share, from 0 to 1, where `served_ratio` is the
    /// share of the offered work of all customers that is served. 0 for customers that aren't among the heaviest or
    /// have up to 1.25 times the fair share, and for all where everything is served.
    #[must_use]
    pub fn excess(&self, customer: u64, served_ratio: f64, now: Millis) -> f64 {
        if served_ratio.is_nan() || served_ratio >= 1.0 {
            return 0.0;
        }
        self.with_report(now, |report| report.excess(customer, served_ratio.max(0.0)))
    }

    /// Evaluates the work over all boxes, or of this box if it has more than the others are known to have.
    fn with_report<T>(&self, now: Millis, evaluate: impl Fn(&CustomerReport) -> T) -> T {
        match &self.all {
            Some((at, all)) if is_recent(*at, now) && all.total >= self.own_total(now) => evaluate(all),
            _ => evaluate(&self.report(MAX_LISTED, now).normalized()),
        }
    }

    /// Returns the heaviest customers, each with the part of its work beyond its fair share; see [`Customers::excess`].
    #[must_use]
    pub fn heaviest(&self, served_ratio: f64, now: Millis) -> Vec<(u64, f64)> {
        let listed = self.with_report(now, |report| report.heaviest.clone());
        listed.iter().map(|listed| (listed.customer, self.excess(listed.customer, served_ratio, now))).collect()
    }

    /// Returns the share of all customers' work that is excess, from 0 to 1.
    #[must_use]
    pub fn excess_total(&self, served_ratio: f64, now: Millis) -> f64 {
        self.with_report(now, |report| report.excess_total(served_ratio))
    }

    /// Returns the memory that this takes, in bytes.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let listed = self.all.as_ref().map_or(0, |(_, all)| all.heaviest.capacity());
        size_of::<Self>() + self.entries.capacity() * size_of::<Entry>() + listed * size_of::<CustomerWork>()
    }

    fn own_total(&self, now: Millis) -> u32 {
        rounded(self.total / self.growth(now))
    }

    /// Returns the factor by which work at this time counts more than work at `origin`. Infinite long after the last
    /// request, when nothing is left.
    fn growth(&self, now: Millis) -> f64 {
        (now.saturating_sub(self.origin) as f64 / TIME_CONSTANT_MS).exp()
    }

    /// Moves `origin` to this time, and drops customers with less work than is ever reported.
    fn rescale(&mut self, now: Millis) {
        let growth = self.growth(now);
        self.total /= growth;
        for entry in &mut self.entries {
            entry.work /= growth;
            entry.error /= growth;
        }
        self.entries.retain(|entry| rounded(entry.work) > 0);
        self.origin = now;
    }
}

/// Returns the nearest whole number; the greatest `u32` for larger numbers.
fn rounded(work: f64) -> u32 {
    work.round() as u32
}
