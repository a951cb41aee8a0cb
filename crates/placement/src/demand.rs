//! What the work of a pool takes of its engines, as far as their owners told.

use crate::ServerStatus;

/// The part of an engine's places that are to be taken on either side: beyond, some engines are full while others are not.
const MAX_SLOT_RATIO: f64 = 0.7;

/// What requests take of a pool's engines, in pools of this size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Time for reading.
    pub(crate) prefill: f64,
    /// Places.
    pub(crate) slots: f64,
}

/// What the work of a pool takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// By requests with long prompts.
    pub(crate) long: Usage,
    /// By the others.
    pub(crate) short: Usage,
}

impl Usage {
    /// Both.
    fn plus(self, other: Self) -> Self {
        Self { prefill: self.prefill + other.prefill, slots: self.slots + other.slots }
    }

    /// So many times this.
    fn scaled(self, factor: f64) -> Self {
        Self { prefill: self.prefill * factor, slots: self.slots * factor }
    }

    /// The part of the pool that it takes, where engines are to spend so much of their time reading.
    pub(crate) fn engines_needed(self, max_prefill_ratio: f64) -> f64 {
        (self.prefill / max_prefill_ratio).max(self.slots / MAX_SLOT_RATIO)
    }
}

impl Demand {
    /// Both.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self { long: self.long.plus(other.long), short: self.short.plus(other.short) }
    }

    /// So many times this.
    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self { long: self.long.scaled(factor), short: self.short.scaled(factor) }
    }
}

/// What was heard of the engines on one side of the division.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Side {
    /// How many there are.
    pub(crate) engines: f64,
    /// Of how many something was heard.
    reporting: f64,
    /// Sums over those heard of.
    demand: Demand,
}

impl Side {
    /// Takes what the owner of one of them said.
    pub(crate) fn add(&mut self, status: &ServerStatus, slots: u32) {
        let slots = f64::from(slots.max(1));
        let short = status.load.running.saturating_sub(status.load.long);
        self.reporting += 1.0;
        self.demand = self.demand.plus(Demand {
            long: Usage { prefill: status.long_prefill_ratio.into(), slots: f64::from(status.load.long) / slots },
            short: Usage { prefill: status.short_prefill_ratio.into(), slots: f64::from(short) / slots },
        });
    }

    /// What the work on this side takes, in parts of a pool of so many engines.
    pub(crate) fn demand(&self, pool_size: f64) -> Demand {
        if self.reporting == 0.0 {
            return Demand::default();
        }
        self.demand.scaled(self.engines / self.reporting / pool_size)
    }
}
