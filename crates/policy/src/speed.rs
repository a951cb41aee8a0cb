//! The speed of a server, from the answers that it gave.

use crate::Report;

/// Weight of a new sample in the moving means.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a speed probe's sample, since the earlier means are old by then.
const PROBE_SAMPLE_WEIGHT: f64 = 0.5;

/// Weight with which the reference rises towards the mean; it falls at once.
const REFERENCE_RISE_WEIGHT: f64 = 0.002;

/// Moving means of a server's response times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Speed {
    /// Milliseconds to the first token; 0 before the first sample.
    pub first_ms: f64,
    /// Milliseconds between tokens; 0 before the first sample.
    pub between_ms: f64,
    /// The best recent `between_ms`, rising slowly.
    pub reference_ms: f64,
}

fn moving_mean(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 {
        new
    } else {
        old + weight * (new - old)
    }
}

impl Speed {
    /// Records the observations of one request. A speed probe has a higher weight.
    pub fn record(&mut self, report: &Report, was_probe: bool) {
        let weight = if was_probe { PROBE_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        if report.first_ms > 0 {
            self.first_ms = moving_mean(self.first_ms, f64::from(report.first_ms), weight);
        }
        if report.between_tenths == 0 {
            return;
        }
        self.between_ms = moving_mean(self.between_ms, f64::from(report.between_tenths) / 10.0, weight);
        if self.reference_ms == 0.0 || self.between_ms < self.reference_ms {
            self.reference_ms = self.between_ms;
        } else {
            self.reference_ms += REFERENCE_RISE_WEIGHT * (self.between_ms - self.reference_ms);
        }
    }

    /// Returns true if the server is much slower between tokens than at its best.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        self.reference_ms > 0.0 && self.between_ms > 2.0 * self.reference_ms
    }

    /// Returns the expected milliseconds of an answer of `tokens` tokens.
    #[must_use]
    pub fn expected_ms(&self, tokens: u32) -> f64 {
        self.first_ms + self.between_ms * f64::from(tokens)
    }
}
