//! Load shedding in the order of urgency classes.
//!
//! Each box counts the requests of each class of a service, and those that got nothing. Owners of servers add up the
//! counts of all boxes and tell the boxes, so that every box sheds the same classes. What is shed of a class depends only
//! on the losses of the classes above it, and the least urgent class is shed first.

use crate::urgency::{class_index, PerUrgency};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time for which the last report of a box, or the sum of an owner, counts. Boxes report with each query, several times
/// a second under load.
pub(crate) const REPORT_TTL: Millis = 1_000;

/// Length of a bucket of the sliding windows.
const BUCKET_MS: Millis = 500;

/// Number of buckets: together five seconds, the window in which a class must not lose over a twelfth of its requests
/// while a less urgent one begins.
const BUCKETS: usize = 10;

/// Number of the newest buckets that count as recent: together one second.
const RECENT_BUCKETS: Millis = 2;

/// Most lost requests of a class within the window that are ignored: half of the ten that must not be lost.
const IGNORED_LOSSES: u32 = 5;

/// Requests of a class that found no slot within a second and are ignored: one may find none at the servers that answered
/// while others have free slots.
const IGNORED_RECENT: u32 = 1;

/// Lost share of a class from which less urgent classes are shed, and from which they are shed entirely: a quarter and
/// half of the twelfth that it must not lose. The rest covers what is lost before all boxes have heard of it.
const MIN_LOST_RATIO: f64 = 1.0 / 48.0;
const MAX_LOST_RATIO: f64 = 1.0 / 24.0;

/// Lost share of a class from which all work below it is shed although slots are free: three quarters of the twelfth, as
/// counts are up to a second old. Fewer losses call for nothing then, since none will follow.
const MAX_LOST_RATIO_FREE: f64 = 1.0 / 16.0;

/// Requests of one urgency class within the last five seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCount {
    /// The urgency, 0 for the most urgent.
    pub urgency: u8,
    /// Number of requests, lost ones included.
    pub requests: u32,
    /// Work of these requests, in thousands of tokens.
    pub work_k: u32,
    /// Number of requests that found no slot or were held back for their customer's share; at most `requests`.
    pub lost: u32,
    /// Number of requests within the last second; at most `requests`.
    pub recent: u32,
    /// Number of these that found no slot; at most `recent`.
    pub recent_refused: u32,
}

/// Requests of the urgency classes of one service within the last five seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Counts of the classes that had requests, in ascending order of urgency value.
    pub classes: Vec<ClassCount>,
}

/// The reason why a request got nothing, where that is a loss of its class. What is shed for a more urgent class is none: the
/// class that needs the slots has all below it shed, so nothing has to be shed for the ones between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It found no slot in time.
    NoSlot,
    /// It was held back for its customer's share.
    CustomerShare,
}

impl Loss {
    /// Returns the word for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoSlot => "no_slot",
            Self::CustomerShare => "customer_share",
        }
    }
}

/// Requests and losses of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    /// In tokens.
    work: u64,
    lost: u32,
    recent: u32,
    recent_refused: u32,
}

impl Tally {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            work: self.work.saturating_add(other.work),
            lost: self.lost.saturating_add(other.lost),
            recent: self.recent.saturating_add(other.recent),
            recent_refused: self.recent_refused.saturating_add(other.recent_refused),
        }
    }

    /// True if its requests are larger on average.
    fn is_larger(&self, other: &Self) -> bool {
        let product = |work: u64, requests: u32| u128::from(work) * u128::from(requests);
        self.requests > 0 && product(self.work, other.requests) > product(other.work, self.requests)
    }

    /// True if its requests have less work than this on average.
    fn has_less_work(&self, work: u64) -> bool {
        u128::from(work) * u128::from(self.requests) > u128::from(self.work)
    }

    /// Returns the lost share, ignoring the first losses.
    fn lost_ratio(self) -> f64 {
        ratio(self.lost.saturating_sub(IGNORED_LOSSES), self.requests)
    }

    /// Returns the share of the work below this class that is shed for it. `is_short` is false where slots are free.
    fn shed_ratio_below(self, is_short: bool) -> f64 {
        if !is_short {
            return f64::from(u8::from(self.lost_ratio() >= MAX_LOST_RATIO_FREE));
        }
        ((self.lost_ratio() - MIN_LOST_RATIO) / (MAX_LOST_RATIO - MIN_LOST_RATIO)).clamp(0.0, 1.0)
    }
}

/// Returns `part` of `all`, from 0 to 1; 0 if there is nothing.
fn ratio(part: u32, all: u32) -> f64 {
    f64::from(part.min(all)) / f64::from(all.max(1))
}

/// Tallies of all classes of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Tallies(PerUrgency<Tally>);

impl Tallies {
    /// Reads counts of another box. Entries beyond one per class are ignored.
    fn from_counts(counts: &ClassCounts) -> Self {
        let mut tallies = Self::default();
        for count in counts.classes.iter().take(tallies.0.len()) {
            let recent = count.recent.min(count.requests);
            let tally = Tally {
                requests: count.requests,
                work: u64::from(count.work_k).saturating_mul(1_000),
                lost: count.lost.min(count.requests),
                recent,
                recent_refused: count.recent_refused.min(recent),
            };
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
            work_k: u32::try_from(tally.work.div_ceil(1_000)).unwrap_or(u32::MAX),
            lost: tally.lost.min(tally.requests),
            recent: tally.recent.min(tally.requests),
            recent_refused: tally.recent_refused.min(tally.recent),
        });
        ClassCounts { classes: classes.collect() }
    }

    fn add(&mut self, other: &Self) {
        for (sum, tally) in self.0.iter_mut().zip(&other.0) {
            *sum = sum.plus(*tally);
        }
    }

    /// Returns the share of a class's requests with this work, in tokens, that is shed for more urgent ones. `is_short` is
    /// false where slots are free: more urgent classes lose nothing more then, but what they have lost still counts.
    fn shed_ratio(&self, class: usize, work: u64, is_short: bool) -> f64 {
        let class_work = (self.0[class].work as f64).max(1.0);
        let below =
            |from: usize| self.0[from..].iter().fold(0, |sum: u64, tally| sum.saturating_add(tally.work)) as f64;
        let shed_for = |above: usize| self.0[above].shed_ratio_below(is_short) * below(above + 1) - below(class + 1);
        let above = (0..class).filter(|above| self.0[*above].has_less_work(work));
        above.map(|above| (shed_for(above) / class_work).clamp(0.0, 1.0)).fold(0.0, f64::max)
    }

    /// Returns the requests of the last second that found no slot.
    fn recent_refused(&self) -> u32 {
        self.0.iter().fold(0, |sum, tally| sum.saturating_add(tally.recent_refused))
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

/// True if a sum over boxes covers so much more than a newer one that the newer one's owner hears only some of the boxes.
/// When demand falls, each sum covers a little less than the one before, which must not outlive it.
pub(crate) fn covers_far_more(kept: u64, newer: u64) -> bool {
    kept / 2 > newer
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
    /// This box's requests of the last five seconds, by the time modulo five seconds. With the number of the bucket since
    /// time 0, since a bucket that hasn't been written for a while holds older requests.
    buckets: [(Millis, Tallies); BUCKETS],
    /// The last sum over all boxes, and when it was received.
    all: Option<(Millis, Tallies)>,
}

impl Shortage {
    /// Records a request of this box with its work in tokens, whether or not it is admitted.
    pub fn record(&mut self, urgency: u8, work: u32, now: Millis) {
        self.add(urgency, Tally { requests: 1, work: work.into(), recent: 1, ..Tally::default() }, now);
    }

    /// Records that a request, recorded before, got nothing.
    pub fn record_lost(&mut self, urgency: u8, loss: Loss, now: Millis) {
        let recent_refused = u32::from(loss == Loss::NoSlot);
        self.add(urgency, Tally { lost: 1, recent_refused, ..Tally::default() }, now);
    }

    /// Returns the counts of this box.
    #[must_use]
    pub fn report(&self, now: Millis) -> ClassCounts {
        self.own(now).to_counts()
    }

    /// Applies the sum of an owner in place of the last one, unless that one is at most a second old and covers far more
    /// requests.
    pub fn apply(&mut self, counts: &ClassCounts, now: Millis) {
        let tallies = Tallies::from_counts(counts);
        let covers_more =
            |(at, all): &(Millis, Tallies)| is_recent(*at, now) && covers_far_more(all.requests(), tallies.requests());
        if !self.all.as_ref().is_some_and(covers_more) {
            self.all = Some((now, tallies));
        }
    }

    /// Returns the share of a class's requests of the last second that found no slot, ignoring the first one; from 0 to
    /// 1.
    #[must_use]
    pub fn refused_of(&self, urgency: u8, now: Millis) -> f64 {
        let tally = self.known(now).0[class_index(urgency)];
        ratio(tally.recent_refused.saturating_sub(IGNORED_RECENT), tally.recent)
    }

    /// True if requests of any class found no slot within the last second, ignoring the first one.
    #[must_use]
    pub fn has_refused(&self, now: Millis) -> bool {
        self.known(now).recent_refused() > IGNORED_RECENT
    }

    /// Returns the share of a class's requests with this work, in tokens, that has to be shed; from 0 to 1. `is_short` is
    /// false where slots are free.
    ///
    /// Each class that loses requests has a share of the work below it shed, the least urgent first. So a class is shed
    /// only where all classes below it are shed entirely. Requests that are no larger than the lost ones are not shed for
    /// them: they take few slots for a short time, and many of them would be lost for one more urgent request.
    #[must_use]
    pub fn shed_ratio(&self, urgency: u8, work: u32, is_short: bool, now: Millis) -> f64 {
        self.known(now).shed_ratio(class_index(urgency), work.into(), is_short)
    }

    /// Returns the urgencies that have requests.
    pub fn urgencies(&self, now: Millis) -> impl Iterator<Item = u8> {
        let tallies = self.known(now).0;
        (0..).zip(tallies).filter(|(_, tally)| tally.requests > 0).map(|(urgency, _)| urgency)
    }

    /// True if a less urgent class has larger requests.
    #[must_use]
    pub fn has_less_urgent(&self, urgency: u8, now: Millis) -> bool {
        let tallies = self.known(now).0;
        let class = class_index(urgency);
        tallies[class + 1..].iter().any(|below| below.is_larger(&tallies[class]))
    }

    /// True if every less urgent class with larger requests is shed entirely.
    #[must_use]
    pub fn is_least_urgent(&self, urgency: u8, now: Millis) -> bool {
        let tallies = self.known(now);
        let class = class_index(urgency);
        let mut larger = (class + 1..tallies.0.len()).filter(|below| tallies.0[*below].is_larger(&tallies.0[class]));
        larger.all(|below| tallies.shed_ratio(below, u64::MAX, true) >= 1.0)
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

    /// Returns the tallies of this box. A loss may fall into a later bucket than its request, so a class can have more
    /// losses than requests.
    fn own(&self, now: Millis) -> Tallies {
        let newest = now / BUCKET_MS;
        let mut sum = Tallies::default();
        for (number, tallies) in &self.buckets {
            if *number > newest || newest - number >= BUCKETS as Millis {
                continue;
            }
            let mut tallies = *tallies;
            if newest - number >= RECENT_BUCKETS {
                for tally in &mut tallies.0 {
                    (tally.recent, tally.recent_refused) = (0, 0);
                }
            }
            sum.add(&tallies);
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
