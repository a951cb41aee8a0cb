//! How fast a server is, as its answers showed.

use crate::Report;

/// Weight of a new sample in the moving means.
const FRESH: f64 = 0.2;

/// The same for the answer to a try: what was known is old by then.
const FRESH_TRY: f64 = 0.5;

/// How fast the reference may rise; it falls at once.
const REFERENCE_RISE: f64 = 0.002;

/// Moving means of a server's times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Speed {
    /// Milliseconds to the first token; 0 before the first sample.
    pub first_ms: f64,
    /// Milliseconds between tokens; 0 before the first sample.
    pub between_ms: f64,
    /// The best `between_ms` of late, rising slowly.
    pub reference_ms: f64,
}

fn mix(old: f64, new: f64, fresh: f64) -> f64 {
    if old == 0.0 {
        new
    } else {
        old + fresh * (new - old)
    }
}

impl Speed {
    /// Takes in what one request showed; one that was sent as a try counts for more.
    pub fn record(&mut self, report: &Report, was_try: bool) {
        let fresh = if was_try { FRESH_TRY } else { FRESH };
        if report.first_ms > 0 {
            self.first_ms = mix(self.first_ms, f64::from(report.first_ms), fresh);
        }
        if report.between_tenths == 0 {
            return;
        }
        self.between_ms = mix(self.between_ms, f64::from(report.between_tenths) / 10.0, fresh);
        if self.reference_ms == 0.0 || self.between_ms < self.reference_ms {
            self.reference_ms = self.between_ms;
        } else {
            self.reference_ms += REFERENCE_RISE * (self.between_ms - self.reference_ms);
        }
    }

    /// True when the server is much slower between tokens than at its best.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        self.reference_ms > 0.0 && self.between_ms > 2.0 * self.reference_ms
    }

    /// Milliseconds that an answer of `tokens` tokens is expected to take.
    #[must_use]
    pub fn expected_ms(&self, tokens: u32) -> f64 {
        self.first_ms + self.between_ms * f64::from(tokens)
    }
}
