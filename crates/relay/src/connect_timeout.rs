//! Adaptive time limit for opening connections.

use std::time::Duration;

/// Upper bound, also used before the first connection. A lost SYN is retransmitted only after a second; by then another
/// server has answered.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);

/// Lower bound: a busy peer may not be scheduled for some time slices.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// Smoothing weights of the mean and the deviation, and the number of deviations added to the mean. The scheme is that
/// of TCP's retransmission timer.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 8.0;

/// After this many consecutive time-outs the network is assumed to be slow, not the peer.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 4;

/// Estimates the time limit from recent connections of one traffic thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeout {
    /// Mean and deviation in seconds; `None` before the first connection.
    estimate: Option<(f64, f64)>,
    /// Number of consecutive time-outs.
    consecutive_timeouts: u32,
}

impl ConnectTimeout {
    /// Returns the time limit for the next connection.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self.estimate {
            Some((mean, deviation)) if self.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS => {
                Duration::from_secs_f64(mean + DEVIATION_FACTOR * deviation).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
            }
            _ => MAX_TIMEOUT,
        }
    }

    /// Records the time that a successful connection took.
    pub fn record_connected(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.consecutive_timeouts = 0;
        self.estimate = Some(match self.estimate {
            None => (time, time / 2.0),
            Some((mean, deviation)) => {
                (mean + (time - mean) * MEAN_WEIGHT, deviation + ((time - mean).abs() - deviation) * DEVIATION_WEIGHT)
            }
        });
    }

    /// Records a time-out.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}
