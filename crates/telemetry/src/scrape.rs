//! The scrape endpoint's text.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bucket bounds in seconds, from a fast token to a long answer.
const SECONDS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2, 0.56, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0, 1200.0];

/// The process's metrics, ready to be rendered for a scrape.
#[derive(Clone)]
pub struct Scrape {
    handle: PrometheusHandle,
}

impl Scrape {
    /// Installs the process-wide recorder.
    ///
    /// # Errors
    /// When a recorder is already installed, or the buckets are refused by the exporter.
    pub fn install() -> eyre::Result<Self> {
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &SECONDS)?
            .install_recorder()?;
        Ok(Self { handle })
    }

    /// The metrics in the text format that scrapers read.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded samples into the buckets; to be called every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}
