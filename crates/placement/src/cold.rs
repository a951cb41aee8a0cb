//! Until when a server is taken for cold, and what it bears meanwhile.
//!
//! A server is cold for some seconds after a start, and may turn cold at other moments. Its entry says so, seconds late.
//! Sooner than that show: answers that broke off, after which it may have started again under its name, and the end of
//! its hall's evacuation.

use crate::{Ending, Millis, Quota};
use routing::ColdStart;
use serde::{Deserialize, Serialize};

/// The span over which arrivals at a cold server are counted: a second, and as long as a request may be under way between its
/// owner's leave and the server, so that no second at the server holds more.
pub(crate) const COLD_WINDOW: Millis = 1_200;

/// Arrivals in a second that are left free of what a cold server may get, for those that nobody counted.
const UNCOUNTED_PER_S: f64 = 2.0;

/// What all boxes together may send to a cold server, by the platform's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Times what its service says that it bears in a second.
    pub ratio: f64,
    /// Requests in a second besides.
    pub slack: f64,
}

impl Default for ColdAllowance {
    /// Where no bound is set, just what it bears.
    fn default() -> Self {
        Self { ratio: 1.0, slack: 0.0 }
    }
}

impl ColdAllowance {
    /// Most requests that a cold server is to get: below the bound for bursts, and no more than the bound without its slack where
    /// they go on.
    pub(crate) fn quota(&self, cold: &ColdStart) -> Quota {
        let sustained = cold.requests_per_s * self.ratio;
        let burst = sustained + self.slack - UNCOUNTED_PER_S;
        Quota { max_requests: burst.min(sustained * COLD_WINDOW as f64 / 1e3).max(0.0) as u32, window: COLD_WINDOW }
    }
}

/// How long ago a server broke off, and has answered since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disconnect {
    /// It has not broken off.
    #[default]
    None,
    /// It has not answered since.
    Open,
    /// It has answered since, for the first time so many milliseconds ago.
    Over(u32),
}

/// What sends show of a server that may have started again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Disconnects {
    #[default]
    None,
    Open,
    Over(Millis),
}

impl Disconnects {
    /// Takes how a send ended.
    pub(crate) fn record(&mut self, ending: Ending, now: Millis) {
        match (ending, *self) {
            (Ending::Broken | Ending::Unreached, _) => *self = Self::Open,
            (Ending::Good | Ending::Failed, Self::Open) => *self = Self::Over(now),
            _ => {}
        }
    }

    /// The same for those who don't share this clock.
    pub(crate) fn elapsed(&self, now: Millis) -> Disconnect {
        match self {
            Self::None => Disconnect::None,
            Self::Open => Disconnect::Open,
            Self::Over(at) => Disconnect::Over(u32::try_from(now.saturating_sub(*at)).unwrap_or(u32::MAX)),
        }
    }
}

impl Disconnect {
    /// Until when a server is cold that breaks off as told at `at`, by this; 0 when it says nothing.
    pub(crate) fn cold_until(self, cold: &ColdStart, at: Millis) -> Millis {
        let time = cold.duration.as_millis() as Millis;
        match self {
            Self::None => 0,
            Self::Open => at + time,
            Self::Over(ago) => (at + time).saturating_sub(ago.into()),
        }
    }
}
