//! One server as its owner sees it: slots in use, speed and health.

use crate::{Report, Speed, Time};
use catalog::{ServerId, Upstream};

/// Consecutive failures after which a server is ejected and gets probes only.
const EJECT_AFTER_FAILURES: u32 = 3;

/// First duration of an ejection. It doubles with each further one, up to the maximum.
const EJECTION_BACKOFF_MS: u64 = 1_000;
const MAX_EJECTION_BACKOFF_MS: u64 = 30_000;

/// A server too slow for a class is sent one of its requests as a speed probe after this time without an
/// answer. The interval doubles with each probe, up to the maximum.
const SPEED_PROBE_INTERVAL_MS: u64 = 2_000;
const MAX_SPEED_PROBE_INTERVAL_MS: u64 = 30_000;

/// Minimum time between two reductions of an overloaded server's slot limit.
const SHRINK_INTERVAL_MS: u64 = 1_000;

/// A server's own load report. It describes a moment that has already passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// It reports that it is leaving.
    pub leaving: bool,
}

/// A change of a server's health, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It was ejected and gets probes only.
    Ejected,
    /// It gets its full share again.
    Restored,
}

/// One server of a shard.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Its name in the upstreams file.
    pub name: String,
    /// Slots that the upstreams file gives it.
    pub slots: u32,
    /// Slots that may be granted now: up to `slots`, and at least 1 after a failure or overload.
    pub slot_limit: f64,
    /// Leases on it. May exceed `slot_limit` after adoption, never by a grant.
    pub used: u32,
    /// Moving means of its response times.
    pub speed: Speed,
    /// The upstreams file marks it as leaving.
    pub leaving_by_config: bool,
    /// The membership list, or a box that has read it, marks it as leaving.
    pub leaving_by_membership: bool,
    /// The server itself reports that it is leaving.
    pub leaving_by_report: bool,
    /// The last prompt prefixes that it served, newest last.
    pub warm_prefixes: std::collections::VecDeque<u32>,
    failures: u32,
    ejected_until: Option<Time>,
    ejected: bool,
    ejection_backoff_ms: u64,
    last_shrink: Time,
    /// Time of the last speed probe or answer.
    last_sample: Time,
    speed_probe_interval_ms: u64,
    /// A speed probe has not been answered yet.
    speed_probe_pending: bool,
}

/// Prompt prefixes that are remembered for each server.
const MAX_WARM_PREFIXES: usize = 64;

impl Server {
    /// Creates a server from its entry in the file, with a limit of `slots` slots.
    #[must_use]
    pub fn new(upstream: &Upstream, slots: u32) -> Self {
        Self {
            id: ServerId::of(&upstream.name),
            name: upstream.name.clone(),
            slots,
            slot_limit: f64::from(slots),
            used: 0,
            speed: Speed::default(),
            leaving_by_config: upstream.leaving,
            leaving_by_membership: false,
            leaving_by_report: false,
            warm_prefixes: std::collections::VecDeque::new(),
            failures: 0,
            ejected_until: None,
            ejected: false,
            ejection_backoff_ms: EJECTION_BACKOFF_MS,
            last_shrink: Time(0),
            last_sample: Time(0),
            speed_probe_interval_ms: SPEED_PROBE_INTERVAL_MS,
            speed_probe_pending: false,
        }
    }

    /// Returns true if any of the three sources marks it as leaving, so that the earliest one counts.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_by_config || self.leaving_by_membership || self.leaving_by_report
    }

    /// Returns the number of slots that may be granted now.
    #[must_use]
    pub fn free_slots(&self, now: Time) -> u32 {
        if self.is_leaving() || self.ejected_until.is_some_and(|until| now < until) {
            return 0;
        }
        (self.slot_limit as u32).saturating_sub(self.used)
    }

    /// Returns the number of slots that count as capacity: none while leaving or ejected.
    #[must_use]
    pub fn capacity(&self, now: Time) -> u32 {
        if self.is_leaving() || self.ejected_until.is_some_and(|until| now < until) {
            return 0;
        }
        self.slot_limit as u32
    }

    /// Returns the lowest limit that failures and load reports may set: one slot shows whether it has recovered, but a box
    /// whose share has none must not grant one.
    fn min_slot_limit(&self) -> f64 {
        f64::from(self.slots.min(1))
    }

    /// Returns true if its last sample is so old that a speed probe is due.
    #[must_use]
    pub fn should_probe_speed(&self, now: Time) -> bool {
        now.since(self.last_sample) >= self.speed_probe_interval_ms
    }

    /// Records that a request is sent to it only to sample its current speed.
    pub fn begin_speed_probe(&mut self, now: Time) {
        self.last_sample = now;
        self.speed_probe_interval_ms = (self.speed_probe_interval_ms * 2).min(MAX_SPEED_PROBE_INTERVAL_MS);
        self.speed_probe_pending = true;
    }

    /// Returns true while failures keep it from its full share.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Records the observations of one request.
    pub fn record_report(&mut self, report: &Report, now: Time) -> Option<HealthChange> {
        if report.unused {
            return None;
        }
        if report.failed {
            return self.record_failure(now);
        }
        self.failures = 0;
        let was = self.speed.between_ms;
        self.speed.record(report, std::mem::take(&mut self.speed_probe_pending));
        self.last_sample = now;
        if self.speed.between_ms < was {
            self.speed_probe_interval_ms = SPEED_PROBE_INTERVAL_MS;
        }
        if self.speed.is_degraded() {
            self.shrink(now);
        } else {
            self.grow();
        }
        self.end_ejection_if_recovered()
    }

    fn record_failure(&mut self, now: Time) -> Option<HealthChange> {
        self.failures += 1;
        self.slot_limit = (self.slot_limit / 2.0).max(self.min_slot_limit());
        if self.failures < EJECT_AFTER_FAILURES {
            return None;
        }
        // Many requests fail at once when a server dies; only the first of them ejects it.
        if self.ejected_until.is_some_and(|until| now < until) {
            return None;
        }
        self.ejected_until = Some(now.after(self.ejection_backoff_ms));
        self.ejection_backoff_ms = (self.ejection_backoff_ms * 2).min(MAX_EJECTION_BACKOFF_MS);
        self.slot_limit = self.min_slot_limit();
        let first = !self.ejected;
        self.ejected = true;
        first.then_some(HealthChange::Ejected)
    }

    fn shrink(&mut self, now: Time) {
        if now.since(self.last_shrink) >= SHRINK_INTERVAL_MS {
            self.slot_limit = (self.slot_limit * 0.8).max(self.min_slot_limit());
            self.last_shrink = now;
        }
    }

    fn grow(&mut self) {
        // Grows slowly: a whole slot needs two good answers.
        self.slot_limit = (self.slot_limit + 0.5).min(f64::from(self.slots));
    }

    fn end_ejection_if_recovered(&mut self) -> Option<HealthChange> {
        let recovered = self.ejected && self.slot_limit >= f64::from(self.slots) / 2.0;
        if !recovered {
            return None;
        }
        self.ejected = false;
        self.ejected_until = None;
        self.ejection_backoff_ms = EJECTION_BACKOFF_MS;
        Some(HealthChange::Restored)
    }

    /// Records the server's own load report. Since it is delayed, it only ever lowers the limit, and slowly.
    pub fn record_load(&mut self, load: Load, now: Time) {
        self.leaving_by_report = load.leaving;
        if load.waiting > 0 && now.since(self.last_shrink) >= SHRINK_INTERVAL_MS {
            self.slot_limit = (self.slot_limit * 0.9).max(self.min_slot_limit());
            self.last_shrink = now;
        }
    }

    /// Returns true if the server has recently served a prompt with this prefix.
    #[must_use]
    pub fn is_warm(&self, prefix: u32) -> bool {
        prefix != 0 && self.warm_prefixes.contains(&prefix)
    }

    /// Records that the server serves a prompt with this prefix.
    pub fn record_prefix(&mut self, prefix: u32) {
        if prefix == 0 || self.is_warm(prefix) {
            return;
        }
        self.warm_prefixes.push_back(prefix);
        if self.warm_prefixes.len() > MAX_WARM_PREFIXES {
            self.warm_prefixes.pop_front();
        }
    }
}
