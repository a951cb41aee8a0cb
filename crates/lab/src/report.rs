//! What a load run showed, by class and in all.

use serde::{Deserialize, Serialize};

/// What a run showed of one class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// Requests that callers intended.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within both targets, from the intended time.
    pub in_time: u64,
    /// Requests that ended refused as not run, callers' returns included.
    pub refused: u64,
    /// Requests that failed after they ran or may have run.
    pub failed: u64,
    /// Requests without an end when the run ended.
    pub unfinished: u64,
    /// Answers that weren't the one generated for the request. Must be 0.
    pub mismatched: u64,
    /// Refusals on the way, each followed by a return or an end.
    pub refusals: u64,
    /// Whole answers whose first token was too late.
    #[serde(default)]
    pub late: u64,
    /// Whole answers begun in time whose tokens came too slowly.
    #[serde(default)]
    pub slow: u64,
    /// Milliseconds to the first token from the intended time: half, 99 in 100, worst.
    pub first_ms: (u64, u64, u64),
    /// Milliseconds between tokens, 95 in 100.
    pub between_p95_ms: f64,
}

/// What a run showed in all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// What was run.
    pub name: String,
    /// Load as a multiple of capacity, where that is known.
    pub load: f64,
    /// How long requests came, in seconds.
    pub seconds: f64,
    /// By class.
    pub rows: Vec<ClassReport>,
    /// Answers in time a second.
    pub goodput: f64,
    /// Tokens of answers in time a second.
    pub goodput_tokens: f64,
    /// Tokens that engines generated.
    pub generated: u64,
    /// Tokens of whole answers.
    pub delivered: u64,
    /// Share of generated tokens that no whole answer holds.
    pub wasted: f64,
    /// Broken invariants that the boxes counted. Must be 0.
    pub broken: u64,
    /// Refusals by code.
    pub codes: Vec<(String, u64)>,
}

impl ClassReport {
    /// Share of the intended requests that met both targets.
    #[must_use]
    pub fn attainment(&self) -> f64 {
        if self.sent == 0 {
            return 1.0;
        }
        self.in_time as f64 / self.sent as f64
    }
}

impl LoadReport {
    /// The row of a class.
    #[must_use]
    pub fn row(&self, class: &str) -> Option<&ClassReport> {
        self.rows.iter().find(|row| row.class == class)
    }

    /// As a table for people.
    #[must_use]
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<16} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}",
            "CLASS",
            "SENT",
            "WHOLE",
            "IN_TIME",
            "ATTAIN",
            "LATE",
            "SLOW",
            "REFUSED",
            "FAILED",
            "UNFIN",
            "P50_MS",
            "P99_MS",
            "MAX_MS",
            "BETWEEN"
        )];
        for row in &self.rows {
            lines.push(format!(
                "{:<16} {:>6} {:>6} {:>8} {:>8.4} {:>6} {:>6} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8.1}",
                row.class,
                row.sent,
                row.whole,
                row.in_time,
                row.attainment(),
                row.late,
                row.slow,
                row.refused,
                row.failed,
                row.unfinished,
                row.first_ms.0,
                row.first_ms.1,
                row.first_ms.2,
                row.between_p95_ms
            ));
        }
        let mismatched: u64 = self.rows.iter().map(|r| r.mismatched).sum();
        lines.push(format!(
            "goodput {:.1} answers/s {:.0} tokens/s, generated {} tokens, wasted {:.2}%, mismatched {mismatched}, broken {}",
            self.goodput, self.goodput_tokens, self.generated, 100.0 * self.wasted, self.broken
        ));
        let codes: Vec<String> = self.codes.iter().map(|(code, n)| format!("{code}={n}")).collect();
        lines.push(format!("refusals [{}]", codes.join(" ")));
        lines.join("\n")
    }
}
