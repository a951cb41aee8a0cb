//! Admission control: whether a request is sent or refused for now.
//!
//! Before anything is asked of other boxes, a request is shed if a more urgent class of its service is short of slots, or
//! if its own class is and its customer is beyond its fair share. What is admitted is refused later if it would wait for
//! a slot beyond its latency target, since sending it would make it late and delay those after it.

use crate::urgency::{class_index, PerUrgency};
use crate::{CustomerReport, Customers, DemandReport, Millis, PlacementRequest, Refusal, Shortage};

/// Time for which an urgency class counts as present after its last request.
const PRESENCE_WINDOW: Millis = 2_000;

/// A class that has been shed entirely for this long gets a small share, so that none starves.
const STARVATION_TIMEOUT: Millis = 10_000;

/// Share of its requests that a starved class gets.
const STARVED_RATIO: f64 = 0.05;

/// Share of a customer's excess that is shed. The rest probes whether slots have become free: what is shed counts as
/// refused, so that shedding all of it would go on for as long as the customer sends as much.
const EXCESS_SHED_RATIO: f64 = 0.9;

/// Time after which shed callers may return: by then the counts of the last second are others.
const SHED_RETRY_MS: u64 = 1_000;

/// Customers listed in the report of one box.
const MAX_CUSTOMERS: usize = 4;

/// Admission control for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Time of the last request of each urgency; `None` before the first.
    last_request: PerUrgency<Option<Millis>>,
    /// Time since which every request of an urgency was shed; `None` if one was admitted since.
    shed_since: PerUrgency<Option<Millis>>,
    shortage: Shortage,
    customers: Customers,
}

impl Admission {
    /// Records the arrival of a request.
    pub(crate) fn record(&mut self, urgency: u8, now: Millis) {
        self.last_request[class_index(urgency)] = Some(now);
    }

    /// Decides whether a new request of `customer` is shed. `draw` is uniform in 0..1 and independent of the request.
    ///
    /// The order of classes follows from the comparison of their urgency: the share of a class that is shed depends only
    /// on refusals of more urgent classes, whatever the targets of either.
    pub(crate) fn admit(&mut self, request: &PlacementRequest<'_>, customer: u64, draw: f64) -> Result<(), Refusal> {
        let (urgency, now) = (request.urgency, request.now);
        self.shortage.record(urgency, now);
        let work = request.prompt.map_or(1, |prompt| prompt.tokens.saturating_add(prompt.expected_out_tokens()));
        self.customers.record(customer, work, now);
        let shed = self.shortage.shed_ratio(urgency, now);
        if draw < self.with_floor(shed, urgency, now) {
            return Err(Refusal::Shed { retry_ms: SHED_RETRY_MS });
        }
        let served = 1.0 - shed.max(self.shortage.refused_of(urgency, now));
        let excess = EXCESS_SHED_RATIO * self.customers.excess(customer, served, now);
        // Of the draws that are left, the same share is shed.
        if draw >= 1.0 - excess * (1.0 - shed) {
            return Err(Refusal::CustomerShare { retry_ms: SHED_RETRY_MS });
        }
        Ok(())
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

    /// Records that a request got nothing for want of a slot.
    pub(crate) fn record_refused(&mut self, urgency: u8, now: Millis) {
        self.shortage.record_refused(urgency, now);
    }

    /// Returns the share of a class that is shed in favour of more urgent ones, for metrics.
    pub(crate) fn shed_ratio(&self, urgency: u8, now: Millis) -> f64 {
        self.shortage.shed_ratio(urgency, now)
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

    /// True if a request may be sent although it would wait `wait_ms` for a slot.
    ///
    /// Each more urgent class that is present reduces the wait allowed to a half, a third, and so on, so that less
    /// urgent classes are refused first.
    pub(crate) fn admits(&self, request: &PlacementRequest<'_>, wait_ms: f64) -> bool {
        let present = |last: &&Option<Millis>| last.is_some_and(|at| request.now < at + PRESENCE_WINDOW);
        let more_urgent = self.last_request[..class_index(request.urgency)].iter().filter(present).count();
        wait_ms <= request.target.as_secs_f64() * 1e3 / (1.0 + more_urgent as f64)
    }
}
