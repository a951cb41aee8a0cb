//! Share of a pool's engines that its current work needs, as reported by the engines' owners.

use crate::ServerStatus;

/// Target for the share of slots in use on either side of the split. Above it, some engines are full while others are
/// not.
const MAX_SLOT_RATIO: f64 = 0.7;

/// Use of a pool's engines, in units of the whole pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Prefill time.
    pub(crate) prefill: f64,
    /// Slots.
    pub(crate) slots: f64,
}

/// Demand of a pool's work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// Requests with long prompts.
    pub(crate) long: Usage,
    /// All other requests.
    pub(crate) short: Usage,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self { prefill: self.prefill + other.prefill, slots: self.slots + other.slots }
    }

    fn scaled(self, factor: f64) -> Self {
        Self { prefill: self.prefill * factor, slots: self.slots * factor }
    }

    /// Returns the share of the pool needed if engines may spend at most `max_prefill_ratio` of their time on
    /// prefill.
    pub(crate) fn engines_needed(self, max_prefill_ratio: f64) -> f64 {
        (self.prefill / max_prefill_ratio).max(self.slots / MAX_SLOT_RATIO)
    }
}

impl Demand {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self { long: self.long.plus(other.long), short: self.short.plus(other.short) }
    }

    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self { long: self.long.scaled(factor), short: self.short.scaled(factor) }
    }
}

/// Reports from the engines on one side of the split.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Side {
    /// Number of engines.
    pub(crate) engines: f64,
    /// Number of engines with a recent report.
    reporting: f64,
    /// Total over the engines that reported.
    demand: Demand,
}

impl Side {
    /// Adds the report of one engine's owner.
    pub(crate) fn add(&mut self, status: &ServerStatus, slots: u32) {
        let slots = f64::from(slots.max(1));
        let short = status.load.running.saturating_sub(status.load.long);
        self.reporting += 1.0;
        self.demand = self.demand.plus(Demand {
            long: Usage { prefill: status.long_prefill_ratio.into(), slots: f64::from(status.load.long) / slots },
            short: Usage { prefill: status.short_prefill_ratio.into(), slots: f64::from(short) / slots },
        });
    }

    /// Returns the demand on this side as a share of a pool of `pool_size` engines, extrapolated to engines without a
    /// report.
    pub(crate) fn demand(&self, pool_size: f64) -> Demand {
        if self.reporting == 0.0 {
            return Demand::default();
        }
        self.demand.scaled(self.engines / self.reporting / pool_size)
    }
}
