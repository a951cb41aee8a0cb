//! Load shedding in the order of urgency classes.
//!
//! Each box counts the requests of each class of a service, and those that were refused for want of a slot. Owners of
//! servers add up the counts of all boxes and tell the boxes, so that every box sheds the same classes. A class is shed
//! in proportion to the refusals of the classes above it, so a more urgent class isn't refused for a less urgent one.

use crate::urgency::{class_index, PerUrgency};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time for which the last report of a box, or the sum of an owner, counts. Boxes report with each query, several times
/// a second under load.
pub(crate) const REPORT_TTL: Millis = 1_000;

/// Length of a bucket of the sliding second.
const BUCKET_MS: Millis = 100;

/// Number of buckets: together one second.
const BUCKETS: usize = 10;

/// Fewest requests of a class for which its share of refusals counts: below, one refusal is over a tenth of them.
const MIN_REQUESTS: u32 = 10;

/// Factor from the refused share of the classes above to the shed share of a class. It is shed entirely when one in 25
/// requests above is refused, half of the one in twelve that may not be refused while less urgent requests begin.
const SHED_PER_REFUSED: f64 = 25.0;

/// Requests of one urgency class within the last second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCount {
    /// The urgency, 0 for the most urgent.
    pub urgency: u8,
    /// Number of requests, refused ones included.
    pub requests: u32,
    /// Number of requests that were refused for want of a slot; at most `requests`.
    pub refused: u32,
}

/// Requests of the urgency classes of one service within the last second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Counts of the classes that had requests, in ascending order of urgency value.
    pub classes: Vec<ClassCount>,
}

/// Requests and refusals of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    refused: u32,
}

impl Tally {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            refused: self.refused.saturating_add(other.refused),
        }
    }

    fn refused_ratio(self) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        f64::from(self.refused.min(self.requests)) / f64::from(self.requests)
    }
}

/// Tallies of all classes of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Tallies(PerUrgency<Tally>);

impl Tallies {
    /// Reads counts of another box. Entries beyond one per class are ignored.
    fn from_counts(counts: &ClassCounts) -> Self {
        let mut tallies = Self::default();
        for count in counts.classes.iter().take(tallies.0.len()) {
            let tally = Tally { requests: count.requests, refused: count.refused.min(count.requests) };
            let class = class_index(count.urgency);
            tallies.0[class] = tallies.0[class].plus(tally);
        }
        tallies
    }

    fn to_counts(self) -> ClassCounts {
        let present = self.0.iter().zip(0u8..).filter(|(tally, _)| tally.requests > 0);
        let classes = present.map(|(tally, urgency)| ClassCount {
            urgency,
            requests: tally.requests,
            refused: tally.refused.min(tally.requests),
        });
        ClassCounts { classes: classes.collect() }
    }

    fn add(&mut self, other: &Self) {
        for (sum, tally) in self.0.iter_mut().zip(&other.0) {
            *sum = sum.plus(*tally);
        }
    }

    fn requests(&self) -> u64 {
        self.0.iter().map(|tally| u64::from(tally.requests)).sum()
    }
}

/// The last report of each box, for as long as it counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastReports<T> {
    /// Ordered, so that sums of fractions don't depend on the order of a hash map.
    reports: BTreeMap<SocketAddr, (Millis, T)>,
    /// Time at which expired reports were last dropped.
    pruned_at: Millis,
}

impl<T> LastReports<T> {
    /// Records the report of a box in place of its previous one.
    pub(crate) fn record(&mut self, from: SocketAddr, report: T, now: Millis) {
        if now >= self.pruned_at.saturating_add(REPORT_TTL) {
            self.reports.retain(|_, (at, _)| is_recent(*at, now));
            self.pruned_at = now;
        }
        self.reports.insert(from, (now, report));
    }

    /// Returns the reports that count now.
    pub(crate) fn recent(&self, now: Millis) -> impl Iterator<Item = &T> {
        self.reports.values().filter(move |(at, _)| is_recent(*at, now)).map(|(_, report)| report)
    }
}

/// Returns whether what was reported at this time still counts.
pub(crate) fn is_recent(at: Millis, now: Millis) -> bool {
    now < at.saturating_add(REPORT_TTL)
}

/// Sums the class counts of all boxes at the owner of a server.
#[derive(Clone, Debug, Default)]
pub struct ShortageSums {
    reports: LastReports<Tallies>,
}

impl ShortageSums {
    /// Records the counts of the box `from`. They count for one second or until its next report.
    pub fn on_report(&mut self, from: SocketAddr, counts: &ClassCounts, now: Millis) {
        self.reports.record(from, Tallies::from_counts(counts), now);
    }

    /// Returns the sum of the last counts of all boxes.
    #[must_use]
    pub fn sum(&self, now: Millis) -> ClassCounts {
        let mut sum = Tallies::default();
        for tallies in self.reports.recent(now) {
            sum.add(tallies);
        }
        sum.to_counts()
    }
}

/// Shortage of slots of one service, as known to a box.
#[derive(Clone, Debug, Default)]
pub struct Shortage {
    /// This box's requests of the last second, by the time modulo one second. With the number of the bucket since time
    /// 0, since a bucket that hasn't been written for over a second holds older requests.
    buckets: [(Millis, Tallies); BUCKETS],
    /// The largest recent sum over all boxes, and when it was received.
    all: Option<(Millis, Tallies)>,
}

impl Shortage {
    /// Records a request of this box, whether or not it is admitted.
    pub fn record(&mut self, urgency: u8, now: Millis) {
        self.add(urgency, Tally { requests: 1, refused: 0 }, now);
    }

    /// Records that a request, recorded before, was refused for want of a slot.
    pub fn record_refused(&mut self, urgency: u8, now: Millis) {
        self.add(urgency, Tally { requests: 0, refused: 1 }, now);
    }

    /// Returns the counts of this box within the last second.
    #[must_use]
    pub fn report(&self, now: Millis) -> ClassCounts {
        self.own(now).to_counts()
    }

    /// Applies the sum of an owner. Among the sums of the last second, the one that covers the most requests is used.
    pub fn apply(&mut self, counts: &ClassCounts, now: Millis) {
        let tallies = Tallies::from_counts(counts);
        let larger = |(at, all): &(Millis, Tallies)| is_recent(*at, now) && all.requests() > tallies.requests();
        if !self.all.as_ref().is_some_and(larger) {
            self.all = Some((now, tallies));
        }
    }

    /// Returns the greatest share of refused requests among the more urgent classes that have at least ten requests;
    /// from 0 to 1.
    #[must_use]
    pub fn refused_above(&self, urgency: u8, now: Millis) -> f64 {
        let above = &self.known(now).0[..class_index(urgency)];
        let counted = above.iter().filter(|tally| tally.requests >= MIN_REQUESTS);
        counted.map(|tally| tally.refused_ratio()).fold(0.0, f64::max)
    }

    /// Returns the share of refused requests of a class; from 0 to 1, and 0 without requests.
    #[must_use]
    pub fn refused_of(&self, urgency: u8, now: Millis) -> f64 {
        self.known(now).0[class_index(urgency)].refused_ratio()
    }

    /// Returns the share of a class that has to be shed in favour of more urgent classes; from 0 to 1.
    #[must_use]
    pub fn shed_ratio(&self, urgency: u8, now: Millis) -> f64 {
        (SHED_PER_REFUSED * self.refused_above(urgency, now)).min(1.0)
    }

    fn add(&mut self, urgency: u8, tally: Tally, now: Millis) {
        let number = now / BUCKET_MS;
        let (held, tallies) = &mut self.buckets[(number % BUCKETS as Millis) as usize];
        if *held != number {
            (*held, *tallies) = (number, Tallies::default());
        }
        let class = class_index(urgency);
        tallies.0[class] = tallies.0[class].plus(tally);
    }

    /// Returns the tallies of this box. A refusal may fall into a later bucket than its request, so a class can have
    /// more refusals than requests.
    fn own(&self, now: Millis) -> Tallies {
        let newest = now / BUCKET_MS;
        let mut sum = Tallies::default();
        for (number, tallies) in &self.buckets {
            if *number <= newest && newest - number < BUCKETS as Millis {
                sum.add(tallies);
            }
        }
        sum
    }

    /// Returns the sum over all boxes, or the tallies of this box if these cover more requests.
    fn known(&self, now: Millis) -> Tallies {
        let own = self.own(now);
        match &self.all {
            Some((at, all)) if is_recent(*at, now) && all.requests() >= own.requests() => *all,
            _ => own,
        }
    }
}
