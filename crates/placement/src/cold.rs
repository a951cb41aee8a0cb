//! Cold servers: the time for which they count as cold, and the requests that they may get meanwhile.
//!
//! A server is cold for some seconds after a start, and may turn cold at other times. Its directory entry shows this
//! seconds late. Two signs show it sooner: lost connections, after which the server may have restarted under its
//! name, and the end of its hall's evacuation.

use crate::{Ending, Millis, Quota};
use routing::ColdStart;
use serde::{Deserialize, Serialize};

/// Window over which arrivals at a cold server are counted. It is one second plus the time that a request may take
/// from its owner's permit to the server, so that no second at the server holds more requests.
pub(crate) const COLD_WINDOW: Millis = 1_200;

/// Requests per second held back from what a cold server may get, to allow for requests that were not counted.
const UNCOUNTED_PER_S: f64 = 2.0;

/// The requests that all boxes together may send to a cold server, by the platform's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the rate that its service declares for cold servers.
    pub ratio: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for ColdAllowance {
    /// Without configured bounds, exactly the declared rate.
    fn default() -> Self {
        Self { ratio: 1.0, slack: 0.0 }
    }
}

impl ColdAllowance {
    /// Returns the quota of a cold server: below the bound for bursts, and no more than the bound without its slack
    /// under sustained load.
    pub(crate) fn quota(&self, cold: &ColdStart) -> Quota {
        let sustained = cold.requests_per_s * self.ratio;
        let burst = sustained + self.slack - UNCOUNTED_PER_S;
        Quota { max_requests: burst.min(sustained * COLD_WINDOW as f64 / 1e3).max(0.0) as u32, window: COLD_WINDOW }
    }
}

/// Whether connections to a server were lost, and how long ago it first answered again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disconnect {
    /// No connection was lost.
    #[default]
    None,
    /// The server has not answered since.
    Open,
    /// The server has answered since, for the first time this many milliseconds ago.
    Over(u32),
}

/// Observations of a server that may have restarted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Disconnects {
    #[default]
    None,
    Open,
    Over(Millis),
}

impl Disconnects {
    /// Records how a send ended.
    pub(crate) fn record(&mut self, ending: Ending, now: Millis) {
        match (ending, *self) {
            (Ending::Broken | Ending::Unreached, _) => *self = Self::Open,
            (Ending::Good | Ending::Failed, Self::Open) => *self = Self::Over(now),
            _ => {}
        }
    }

    /// Converts to a form that other boxes can use, which don't share this clock.
    pub(crate) fn elapsed(&self, now: Millis) -> Disconnect {
        match self {
            Self::None => Disconnect::None,
            Self::Open => Disconnect::Open,
            Self::Over(at) => Disconnect::Over(u32::try_from(now.saturating_sub(*at)).unwrap_or(u32::MAX)),
        }
    }
}

impl Disconnect {
    /// Returns until when a server counts as cold of which a box reported this at `at`; 0 if nothing suggests a
    /// restart.
    pub(crate) fn cold_until(self, cold: &ColdStart, at: Millis) -> Millis {
        let duration = cold.duration.as_millis() as Millis;
        match self {
            Self::None => 0,
            Self::Open => at + duration,
            Self::Over(ago) => (at + duration).saturating_sub(ago.into()),
        }
    }
}
