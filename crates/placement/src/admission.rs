//! Admission control: whether a request is sent or refused for now.
//!
//! Before anything is asked of other boxes, a request is shed if a more urgent class of its service loses requests and it
//! is larger than those, or if its own class is the last one served, is short of slots, and its customer is beyond its
//! fair share. What is admitted is refused later if it would wait for a slot beyond its latency target, since sending it
//! would make it late and delay those after it.

use crate::urgency::{class_index, PerUrgency};
use crate::{CustomerReport, Customers, DemandReport, Loss, Millis, PlacementRequest, Refusal, Shortage};

/// Time for which an urgency class counts as present after its last request.
const PRESENCE_WINDOW: Millis = 2_000;

/// A class that has been shed entirely for this long gets a small share, so that none starves.
const STARVATION_TIMEOUT: Millis = 10_000;

/// Time for which the classes below one must have been shed entirely before its customers are told apart. A class must
/// not be held back within five seconds after a less urgent request began.
const ORDER_WINDOW: Millis = 5_000;

/// Prompt tokens that take an engine about as long as one generated token, which needs a step of the whole batch.
const PROMPT_TOKENS_PER_OUT_TOKEN: u32 = 10;

/// Share of its requests that a starved class gets.
const STARVED_RATIO: f64 = 0.05;

/// Rate per second at which the share that is held back from a class's customers beyond their fair share follows the share
/// that found no slot. Counts are a second old, so a higher rate would overshoot.
const HELD_BACK_RATE: f64 = 1.0;

/// Share of a class that may find no slot before more is held back.
const MIN_REFUSED_RATIO: f64 = 0.01;

/// Part of the held-back share that is released per second while fewer find no slot, to see whether slots have become
/// free, and the least share released: a crowd's is gone within ten seconds.
const RELEASED_PART: f64 = 0.15;
const MIN_RELEASED: f64 = 0.01;

/// Longest time for which one update of the held-back share counts.
const MAX_UPDATE_INTERVAL: Millis = 1_000;

/// Time after which shed callers may return: by then the counts of the last second are others.
const SHED_RETRY_MS: u64 = 1_000;

/// Customers listed in the report of one box.
const MAX_CUSTOMERS: usize = 4;

/// What admission holds back of one service, for metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionSummary {
    /// For each urgency with requests, the share of its largest requests that is shed for more urgent ones, from 0 to 1.
    pub shed_ratios: Vec<(u8, f64)>,
    /// For each urgency with requests, the share that is held back from customers beyond their fair share, from 0 to 1.
    pub held_back: Vec<(u8, f64)>,
    /// The heaviest customers by the hash of their names, each with the part of its work beyond its fair share, from 0 to 1.
    pub excesses: Vec<(u64, f64)>,
}

/// Admission control for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Time of the last request of each urgency; `None` before the first.
    last_request: PerUrgency<Option<Millis>>,
    /// Time since which every request of an urgency was shed; `None` if one was admitted since.
    shed_since: PerUrgency<Option<Millis>>,
    /// Time since which all less urgent classes are shed entirely; `None` if one of them is served.
    least_urgent_since: PerUrgency<Option<Millis>>,
    /// Share of each urgency that is held back from customers beyond their fair share, and when it was last updated.
    held_back: PerUrgency<(f64, Millis)>,
    /// True if slots were short at the last request.
    is_short: bool,
    shortage: Shortage,
    customers: Customers,
}

impl Admission {
    /// Records the arrival of a request.
    pub(crate) fn record(&mut self, urgency: u8, now: Millis) {
        self.last_request[class_index(urgency)] = Some(now);
    }

    /// Decides whether a new request of `customer` is shed. `is_short` tells whether slots are short; `draw` is uniform in
    /// 0..1 and independent of the request.
    ///
    /// The order of classes follows from the comparison of their urgency: the share of a class that is shed depends only
    /// on the losses of more urgent classes, whatever the targets of either. Customers are told apart only within the
    /// least urgent class that is served, since what another class loses would be served to less urgent requests.
    pub(crate) fn admit(
        &mut self,
        request: &PlacementRequest<'_>,
        customer: u64,
        is_short: bool,
        draw: f64,
    ) -> Result<(), Refusal> {
        let (urgency, now) = (request.urgency, request.now);
        let work = request.prompt.map_or(1, |prompt| {
            prompt.tokens.saturating_add(prompt.expected_out_tokens().saturating_mul(PROMPT_TOKENS_PER_OUT_TOKEN))
        });
        self.shortage.record(urgency, work, now);
        self.customers.record(customer, work, now);
        self.is_short = is_short;
        let shed = self.shortage.shed_ratio(urgency, work, self.is_short, now);
        let shed = self.with_floor(shed, urgency, now);
        let refused = self.shortage.refused_of(urgency, now);
        let has_to_share = self.has_to_share(urgency, now);
        let held_back = self.update_held_back(if has_to_share { refused } else { 0.0 }, urgency, now);
        // The held-back share falls slowly, as counts are a second old, so it must not count where slots are free.
        let has_to_share = has_to_share && self.is_short && (shed > 0.0 || held_back > 0.0);
        if shed >= 1.0 || !has_to_share {
            return if draw < shed { Err(Refusal::Shed { retry_ms: SHED_RETRY_MS }) } else { Ok(()) };
        }
        let served = self.served_ratio(shed, urgency);
        let excess = self.customers.excess(customer, served, now);
        if draw < excess {
            return Err(Refusal::CustomerShare { retry_ms: SHED_RETRY_MS });
        }
        // What the customers' excess doesn't cover is shed from all alike.
        let covered = self.customers.excess_total(served, now);
        let rest = ((shed - covered) / (1.0 - covered).max(f64::MIN_POSITIVE)).max(0.0);
        let rescaled_draw = (draw - excess) / (1.0 - excess).max(f64::MIN_POSITIVE);
        if rescaled_draw < rest {
            return Err(Refusal::Shed { retry_ms: SHED_RETRY_MS });
        }
        Ok(())
    }

    /// True if a class is the least urgent one that is served, and has been so for a while.
    fn has_to_share(&mut self, urgency: u8, now: Millis) -> bool {
        let since = &mut self.least_urgent_since[class_index(urgency)];
        if !self.shortage.is_least_urgent(urgency, now) {
            *since = None;
            return false;
        }
        let is_last = !self.shortage.has_less_urgent(urgency, now);
        is_last || now >= since.get_or_insert(now).saturating_add(ORDER_WINDOW)
    }

    /// Returns the share of a class that is shed, so that it doesn't starve.
    fn with_floor(&mut self, shed: f64, urgency: u8, now: Millis) -> f64 {
        let since = &mut self.shed_since[class_index(urgency)];
        if shed < 1.0 {
            *since = None;
            return shed;
        }
        if now < since.get_or_insert(now).saturating_add(STARVATION_TIMEOUT) {
            return shed;
        }
        1.0 - STARVED_RATIO
    }

    /// Records that a request got nothing.
    pub(crate) fn record_lost(&mut self, urgency: u8, loss: Loss, now: Millis) {
        self.shortage.record_lost(urgency, loss, now);
    }

    /// True if requests of any class found no slot within the last second.
    pub(crate) fn has_refused(&self, now: Millis) -> bool {
        self.shortage.has_refused(now)
    }

    /// Returns what is held back now, for metrics.
    pub(crate) fn summary(&self, now: Millis) -> AdmissionSummary {
        let shed = |urgency| self.shortage.shed_ratio(urgency, u32::MAX, self.is_short, now);
        let held_back = |urgency| if self.is_short { self.held_back[class_index(urgency)].0 } else { 0.0 };
        let served = |urgency| self.served_ratio(shed(urgency), urgency);
        let least_served = self.shortage.urgencies(now).map(served).fold(1.0, f64::min);
        AdmissionSummary {
            shed_ratios: self.shortage.urgencies(now).map(|urgency| (urgency, shed(urgency))).collect(),
            held_back: self.shortage.urgencies(now).map(|urgency| (urgency, held_back(urgency))).collect(),
            excesses: self.customers.heaviest(if self.is_short { least_served } else { 1.0 }, now),
        }
    }

    /// Returns the share of a class that can be served without customers' excess, if this share of it is shed.
    fn served_ratio(&self, shed: f64, urgency: u8) -> f64 {
        (1.0 - shed) * (1.0 - self.held_back[class_index(urgency)].0)
    }

    /// Updates the held-back share of a class, of which this share found no slot, and returns it.
    fn update_held_back(&mut self, refused: f64, urgency: u8, now: Millis) -> f64 {
        let (share, updated_at) = &mut self.held_back[class_index(urgency)];
        let elapsed_s = now.saturating_sub(*updated_at).min(MAX_UPDATE_INTERVAL) as f64 / 1e3;
        let release = *share * RELEASED_PART + MIN_RELEASED;
        let rate = if refused > MIN_REFUSED_RATIO { refused * HELD_BACK_RATE } else { -release };
        *share = (*share + rate * elapsed_s).clamp(0.0, 1.0);
        *updated_at = now;
        *share
    }

    /// Returns the demand that this box counted. Customers are told only while a class is short of slots.
    pub(crate) fn report(&self, now: Millis) -> DemandReport {
        let classes = self.shortage.report(now);
        let is_short = (0..=9).any(|urgency| self.shortage.refused_of(urgency, now) > 0.0);
        let customers = if is_short { self.customers.report(MAX_CUSTOMERS, now) } else { CustomerReport::default() };
        DemandReport { classes, customers }
    }

    /// Applies the demand on all boxes, as an owner reported it.
    pub(crate) fn apply(&mut self, demand: &DemandReport, now: Millis) {
        self.shortage.apply(&demand.classes, now);
        if demand.customers != CustomerReport::default() {
            self.customers.apply(&demand.customers, now);
        }
    }

    /// True if requests of more urgent classes came recently.
    pub(crate) fn has_more_urgent(&self, request: &PlacementRequest<'_>) -> bool {
        self.more_urgent(request) > 0
    }

    /// Returns the number of more urgent classes with recent requests.
    fn more_urgent(&self, request: &PlacementRequest<'_>) -> usize {
        let present = |last: &&Option<Millis>| last.is_some_and(|at| request.now < at + PRESENCE_WINDOW);
        self.last_request[..class_index(request.urgency)].iter().filter(present).count()
    }

    /// True if a request may be sent although it would wait `wait_ms` for a slot.
    ///
    /// Each more urgent class that is present reduces the wait allowed to a half, a third, and so on, so that less
    /// urgent classes are refused first.
    pub(crate) fn admits(&self, request: &PlacementRequest<'_>, wait_ms: f64) -> bool {
        wait_ms <= request.target.as_secs_f64() * 1e3 / (1.0 + self.more_urgent(request) as f64)
    }
}
