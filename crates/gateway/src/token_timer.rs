//! Measurement of an engine's token rate for the lease's report.

use crate::guards::Lease;
use std::time::Instant;

/// Times of an engine's first and last token.
pub(crate) struct TokenTimer {
    started: Instant,
    first: Option<Instant>,
    last: Instant,
    count: u32,
}

impl TokenTimer {
    pub(crate) fn new(started: Instant) -> Self {
        Self { started, first: None, last: started, count: 0 }
    }

    pub(crate) fn record_token(&mut self) {
        self.last = Instant::now();
        self.first.get_or_insert(self.last);
        self.count += 1;
    }

    pub(crate) fn write_to(&self, lease: &mut Lease) {
        let first = self.first.unwrap_or(self.last);
        lease.report.tokens = self.count;
        lease.report.first_ms = (first.duration_since(self.started).as_millis() as u32).max(1);
        if self.count > 1 {
            let tenths = self.last.duration_since(first).as_micros() / 100 / u128::from(self.count - 1);
            lease.report.between_tenths = (tenths as u32).max(1);
        }
    }
}
