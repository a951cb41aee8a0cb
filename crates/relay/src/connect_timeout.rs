//! How long a connection is waited for.

use std::time::Duration;

/// Longest wait before it was seen how long connections take, and at most: a lost opening packet is sent again only
/// after a second, by when another server has answered.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest wait: a busy peer may be held up for some turns of its processor.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// Weights of the newest time in the mean and in the deviation, and how many deviations are waited for beyond the mean;
/// as TCP does for its retransmissions.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 8.0;

/// Attempts in a row that took too long after which the network, and not the peer, is taken for slow.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 4;

/// The time that connections took lately, of one traffic thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeout {
    /// Mean and deviation in seconds; none before the first connection.
    estimate: Option<(f64, f64)>,
    /// Attempts in a row that took too long.
    consecutive_timeouts: u32,
}

impl ConnectTimeout {
    /// How long to wait for the next one.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self.estimate {
            Some((mean, deviation)) if self.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS => {
                Duration::from_secs_f64(mean + DEVIATION_FACTOR * deviation).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
            }
            _ => MAX_TIMEOUT,
        }
    }

    /// A connection took so long.
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

    /// A connection was given up.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}
