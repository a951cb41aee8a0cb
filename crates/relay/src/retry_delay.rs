//! Causes of refusals, and the delay after which a refused caller should retry.

use dispatch::{EARLY_TOLERANCE, MAX_WAIT_RATIO};
use placement::{Fingerprint, Loss, Millis, Refusal};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Default retry delay of a refusal. Within this time other servers take over from a crashed one.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Lower bound of the retry delay when all slots are taken: a round trip between regions (60 ms) and the time limit of
/// status queries (25 ms). An earlier retry would meet the same queue, judged by the same statuses.
const MIN_CROWDED_DELAY: Duration = Duration::from_millis(100);

/// Lower bound of the retry delay when all servers are cold. Within this time some servers warm up or their owners
/// grant permits.
const MIN_COLD_DELAY: Duration = Duration::from_millis(600);

/// Lower bound of the retry delay when all servers report rate limits. The next window goes to the first callers to
/// return, so the delays are spread over about a second.
const MIN_LIMITED_DELAY: Duration = Duration::from_millis(600);

/// Upper bound of the random factor by which callers' delays exceed the servers' back-off, so that they don't return at
/// the same instant.
const BACKOFF_SPREAD_FACTOR: f64 = 1.2;

/// Time for which starts count: some answers that take a second end within it.
const RATE_WINDOW_MS: Millis = 2_000;

/// Most promised returns kept for each service and urgency, 16 bytes each. With more, the oldest are dropped and the
/// delay grows no further.
const MAX_PROMISES: usize = 512;

/// Most services with a history. Configurations have fewer; the bound covers names that later ones no longer have.
const MAX_SERVICES: usize = 256;

/// Urgencies from 0 to 9.
const URGENCIES: usize = 10;

/// The cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
    /// The placement chose no server.
    NotPlaced(Refusal),
    /// No server took the request.
    NotTaken,
    /// The request's time has passed before it could be sent.
    Deadline,
    /// The caller came back before the time at which it was told to return, while slots are short.
    Early {
        /// Milliseconds until that time.
        retry_ms: Millis,
    },
    /// The caller takes up a stream, and it isn't known what began it.
    OriginUnknown,
    /// The caller takes up a stream of a version that nobody serves any more.
    OriginGone,
    /// The request is quarantined.
    Quarantined {
        /// Milliseconds after which it may be tried again.
        retry_ms: Millis,
    },
}

/// What is known about the queue that a refused caller would join on its return.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Number of callers refused before, for the same service and urgency, that haven't come back yet.
    pub waiting: usize,
    /// Milliseconds between two slots that become free for callers that come back; `None` if unknown.
    pub interval_ms: Option<f64>,
    /// Time that the caller has left.
    pub left: Duration,
    /// Random number in 0..1.
    pub draw: f64,
}

impl Cause {
    /// Returns the word for metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotPlaced(Refusal::Overloaded { .. }) => "crowded",
            Self::NotPlaced(Refusal::Shed { .. }) => "shed",
            Self::NotPlaced(Refusal::CustomerShare { .. }) => "customer_share",
            Self::NotPlaced(Refusal::Cold) => "cold",
            Self::NotPlaced(Refusal::Limited { .. }) => "limited",
            Self::NotPlaced(Refusal::BackingOff { .. }) => "back_off",
            Self::NotPlaced(Refusal::NoServer) | Self::NotTaken => "no_server",
            Self::Deadline => "deadline",
            Self::Early { .. } => "early",
            Self::OriginUnknown => "origin_unknown",
            Self::OriginGone => "origin_gone",
            Self::Quarantined { .. } => "quarantined",
        }
    }

    /// Returns what the request got nothing for, if that has to do with load.
    #[must_use]
    pub fn loss(self) -> Option<Loss> {
        match self {
            Self::NotPlaced(refusal) => refusal.loss(),
            Self::NotTaken => Some(Loss::NoSlot),
            // An early return is no new demand.
            Self::Deadline | Self::Early { .. } | Self::OriginUnknown | Self::OriginGone | Self::Quarantined { .. } => {
                None
            }
        }
    }

    /// Returns false if there is no time after which a retry would do better.
    #[must_use]
    pub fn may_pass(self) -> bool {
        self != Self::OriginGone
    }

    /// Returns the delay after which the caller should retry.
    #[must_use]
    pub fn delay(self, queue: &Queue) -> Duration {
        let spread = 1.0 + queue.draw;
        match self {
            Self::NotPlaced(Refusal::Overloaded { wait_ms }) => crowded_delay(wait_ms, queue),
            Self::NotPlaced(Refusal::Shed { retry_ms } | Refusal::CustomerShare { retry_ms }) => {
                Duration::from_millis(retry_ms).max(RETRY_DELAY).mul_f64(spread)
            }
            Self::NotPlaced(Refusal::Cold) => MIN_COLD_DELAY.mul_f64(spread),
            Self::NotPlaced(Refusal::Limited { retry_ms }) => {
                Duration::from_millis(retry_ms).max(MIN_LIMITED_DELAY).mul_f64(spread)
            }
            Self::NotPlaced(Refusal::BackingOff { retry_ms }) => {
                let spread = 1.0 + queue.draw * (BACKOFF_SPREAD_FACTOR - 1.0);
                Duration::from_millis(retry_ms).max(RETRY_DELAY).mul_f64(spread)
            }
            // Records of streams reach other boxes within some tenths of a second.
            Self::NotPlaced(Refusal::NoServer)
            | Self::NotTaken
            | Self::Deadline
            | Self::OriginUnknown
            | Self::OriginGone => RETRY_DELAY,
            Self::Early { retry_ms } | Self::Quarantined { retry_ms } => Duration::from_millis(retry_ms),
        }
    }
}

/// Returns the delay when all slots are taken: the forecast wait, and a turn after the callers refused before.
fn crowded_delay(wait_ms: f64, queue: &Queue) -> Duration {
    let min_ms = MIN_CROWDED_DELAY.as_secs_f64() * 1e3;
    // Without known starts, one slot is expected per forecast wait.
    let interval_ms = queue.interval_ms.unwrap_or(wait_ms.max(min_ms));
    let served_ms = wait_ms + queue.waiting as f64 * interval_ms;
    let delay_ms = wait_ms.max(min_ms) + (queue.waiting as f64 + queue.draw) * interval_ms;
    let longest_ms = queue.left.as_secs_f64() * 1e3 * MAX_WAIT_RATIO;
    // A caller that can't be served within that time is told the longer delay, so that it gives up at once.
    let delay_ms = if served_ms <= longest_ms { delay_ms.min(longest_ms) } else { delay_ms };
    Duration::try_from_secs_f64(delay_ms / 1e3).unwrap_or(Duration::MAX)
}

/// Whether it is a caller's turn to get a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It may have a slot: it has returned as told, or was told nothing.
    Due,
    /// It came back before the time at which it was told to return, which still holds.
    Early {
        /// Time at which it was told to return.
        promised_at: Millis,
    },
}

/// Promised returns of refused callers, and the number of recent starts, for each service and urgency.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    services: HashMap<String, [History; URGENCIES]>,
}

/// The time at which the caller of a refused request was told to return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    request: Fingerprint,
    at: Millis,
}

/// What happened to the requests of one service and urgency.
#[derive(Clone, Debug, Default)]
struct History {
    promised: VecDeque<Promise>,
    /// Recent starts.
    starts: WindowCount,
}

/// Number of events in about the last [`RATE_WINDOW_MS`], from the counts of two windows.
#[derive(Clone, Copy, Debug, Default)]
struct WindowCount {
    /// Number of the current window.
    window: Millis,
    current: u32,
    previous: u32,
}

impl Returns {
    /// Records that a request got a slot: a server has answered it.
    pub fn record_start(&mut self, service: &str, urgency: u8, now: Millis) {
        self.history(service, urgency).starts.record(now);
    }

    /// Returns whether a request may have a slot where slots are short. Early returns are refused, and their promises
    /// stay: another try may meet a free slot that those who wait as told would get.
    #[must_use]
    pub fn turn(&mut self, service: &str, urgency: u8, request: Fingerprint, now: Millis) -> Turn {
        let promised = &self.history(service, urgency).promised;
        let own = promised.iter().filter(|promise| promise.request == request && promise.at > now + EARLY_TOLERANCE);
        own.map(|promise| promise.at).min().map_or(Turn::Due, |promised_at| Turn::Early { promised_at })
    }

    /// Returns the number of callers with promised returns after `now`, not counting the caller of `request`, which has
    /// come back, and the interval at which slots become free for them.
    pub fn queue(&mut self, service: &str, urgency: u8, request: Fingerprint, now: Millis) -> (usize, Option<f64>) {
        let history = self.history(service, urgency);
        // A caller that comes back early loses its place, and its promise doesn't delay the others any longer.
        history.promised.retain(|promise| promise.at > now && promise.request != request);
        (history.promised.len(), history.interval_ms(now))
    }

    /// Records that the caller of `request` was told to return at `at`. Fingerprint 0 counts as a caller that waits, and is
    /// nobody's.
    pub fn promise(&mut self, service: &str, urgency: u8, request: Fingerprint, at: Millis) {
        let history = self.history(service, urgency);
        if history.promised.len() == MAX_PROMISES {
            history.promised.pop_front();
        }
        history.promised.push_back(Promise { request, at });
    }

    fn history(&mut self, service: &str, urgency: u8) -> &mut History {
        let index = usize::from(urgency).min(URGENCIES - 1);
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                self.services.clear();
            }
            self.services.insert(service.to_owned(), Default::default());
        }
        // The entry was inserted above if it was missing.
        &mut self.services.entry(service.to_owned()).or_default()[index]
    }
}

impl History {
    /// Returns the milliseconds between two starts.
    ///
    /// Callers that come back compete with those that come for the first time, so that in a crowd some are refused
    /// again. Longer intervals by the share of refused requests were tried: fewer callers came back within their time,
    /// fewer of them were served, and slots stayed idle after the crowd.
    fn interval_ms(&self, now: Millis) -> Option<f64> {
        let starts = self.starts.count(now);
        (starts > 0.0).then(|| RATE_WINDOW_MS as f64 / starts)
    }
}

impl WindowCount {
    fn record(&mut self, now: Millis) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    fn advance(&mut self, now: Millis) {
        let window = now / RATE_WINDOW_MS;
        if window > self.window {
            self.previous = if window == self.window + 1 { self.current } else { 0 };
            (self.window, self.current) = (window, 0);
        }
    }

    /// Returns the number of events in the last window, with the part of the previous one that lies in it.
    fn count(mut self, now: Millis) -> f64 {
        self.advance(now);
        let elapsed = (now % RATE_WINDOW_MS) as f64 / RATE_WINDOW_MS as f64;
        f64::from(self.current) + f64::from(self.previous) * (1.0 - elapsed)
    }
}
