//! How long a connection is waited for.

use std::time::Duration;

/// Longest wait before it was seen how long connections take, and at most: a lost opening packet is sent again only
/// after a second, by when another server has answered.
const MOST: Duration = Duration::from_millis(400);

/// Shortest wait: a busy peer may be held up for some turns of its processor.
const LEAST: Duration = Duration::from_millis(40);

/// Weights of the newest time in the mean and in the deviation, and how many deviations are waited for beyond the mean;
/// as TCP does for its retransmissions.
const NEWEST_MEAN: f64 = 0.125;
const NEWEST_DEVIATION: f64 = 0.25;
const DEVIATIONS: f64 = 8.0;

/// Attempts in a row that took too long after which the network, and not the peer, is taken for slow.
const ROW_MOST: u32 = 4;

/// The time that connections took lately, of one traffic thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeout {
    /// Mean and deviation in seconds; none before the first connection.
    times: Option<(f64, f64)>,
    /// Attempts in a row that took too long.
    row: u32,
}

impl ConnectTimeout {
    /// How long to wait for the next one.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self.times {
            Some((mean, deviation)) if self.row < ROW_MOST => {
                Duration::from_secs_f64(mean + DEVIATIONS * deviation).clamp(LEAST, MOST)
            }
            _ => MOST,
        }
    }

    /// A connection took so long.
    pub fn record_connected(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.row = 0;
        self.times = Some(match self.times {
            None => (time, time / 2.0),
            Some((mean, deviation)) => {
                (mean + (time - mean) * NEWEST_MEAN, deviation + ((time - mean).abs() - deviation) * NEWEST_DEVIATION)
            }
        });
    }

    /// A connection was given up.
    pub fn record_timeout(&mut self) {
        self.row = self.row.saturating_add(1);
    }
}
