//! What the work of a pool takes of its engines, as far as their owners told.

use crate::ServerStatus;

/// The part of an engine's places that are to be taken on either side: beyond, some engines are full while others are not.
const PLACES_MOST: f64 = 0.7;

/// What requests take of a pool's engines, in pools of this size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Use {
    /// Time for reading.
    pub(crate) reading: f64,
    /// Places.
    pub(crate) places: f64,
}

/// What the work of a pool takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Need {
    /// By requests with long prompts.
    pub(crate) long: Use,
    /// By the others.
    pub(crate) short: Use,
}

impl Use {
    /// Both.
    fn and(self, other: Self) -> Self {
        Self { reading: self.reading + other.reading, places: self.places + other.places }
    }

    /// So many times this.
    fn times(self, factor: f64) -> Self {
        Self { reading: self.reading * factor, places: self.places * factor }
    }

    /// The part of the pool that it takes, where engines are to spend so much of their time reading.
    pub(crate) fn engines(self, reading_most: f64) -> f64 {
        (self.reading / reading_most).max(self.places / PLACES_MOST)
    }
}

impl Need {
    /// Both.
    pub(crate) fn and(self, other: Self) -> Self {
        Self { long: self.long.and(other.long), short: self.short.and(other.short) }
    }

    /// So many times this.
    pub(crate) fn times(self, factor: f64) -> Self {
        Self { long: self.long.times(factor), short: self.short.times(factor) }
    }
}

/// What was heard of the engines on one side of the division.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Side {
    /// How many there are.
    pub(crate) engines: f64,
    /// Of how many something was heard.
    heard: f64,
    /// Sums over those heard of.
    need: Need,
}

impl Side {
    /// Takes what the owner of one of them said.
    pub(crate) fn hear(&mut self, opinion: &ServerStatus, slots: u32) {
        let places = f64::from(slots.max(1));
        let short = opinion.load.running.saturating_sub(opinion.load.long);
        self.heard += 1.0;
        self.need = self.need.and(Need {
            long: Use { reading: opinion.long_prefill_ratio.into(), places: f64::from(opinion.load.long) / places },
            short: Use { reading: opinion.short_prefill_ratio.into(), places: f64::from(short) / places },
        });
    }

    /// What the work on this side takes, in parts of a pool of so many engines.
    pub(crate) fn need(&self, of: f64) -> Need {
        if self.heard == 0.0 {
            return Need::default();
        }
        self.need.times(self.engines / self.heard / of)
    }
}
