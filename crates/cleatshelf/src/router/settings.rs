//! A router's settings, checked as a whole.

use crate::settings::{address, check_link_key};
use catalog::{Fault, TableReader};
use placement::ColdAllowance;
use routing::HallRegions;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one router box.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this box, for logs.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this box is ready.
    pub ready: SocketAddr,
    /// Where other boxes come.
    pub boxes: SocketAddr,
    /// Where operators ask for metrics.
    pub operators: SocketAddr,
    /// Where the configuration and the servers are published.
    pub publisher: SocketAddr,
    /// Some boxes' addresses; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all boxes share, at least 16 bytes.
    pub link_key: String,
    /// Longest time that a planned stop may take.
    pub stop_time: Duration,
    /// Most files and connections that the process may hold.
    pub files_most: usize,
    /// How much this box can do for others: the lesser of its processor in thousandths of a core and its link in
    /// tenths of Mbit/s.
    pub capacity: u32,
    /// Second sends that all boxes may make for each request.
    pub retry_ratio: f64,
    /// Second sends that all boxes may make besides.
    pub retry_slack: f64,
    /// Window over which second sends are counted.
    pub retry_window: Duration,
    /// What all boxes may send to a server that has just started, or turned cold.
    pub cold: ColdAllowance,
    /// The region of each hall. A request that may run in some regions only is not sent to halls that aren't named.
    pub regions: HallRegions,
}

fn capacity(reader: &mut TableReader<'_>) -> u32 {
    let processor = reader.number("processor_share", &(0.0..=1_000.0)) * 1_000.0;
    let link = reader.number("link_mbps", &(0.0..=1_000_000.0)) * 10.0;
    processor.min(link) as u32
}

fn cold(reader: &mut TableReader<'_>) -> ColdAllowance {
    let base = ColdAllowance::default();
    ColdAllowance {
        ratio: reader.number_opt("cold_ratio", &(0.0..=100.0)).unwrap_or(base.ratio),
        slack: reader.number_opt("cold_slack", &(0.0..=1_000_000.0)).unwrap_or(base.slack),
    }
}

fn regions(reader: &mut TableReader<'_>) -> HallRegions {
    reader.tables("halls", |hall| (hall.name("name"), hall.name("region"))).into_iter().collect()
}

fn seeds(reader: &mut TableReader<'_>) -> Vec<SocketAddr> {
    let texts = reader.strings("seeds");
    let parsed: Vec<SocketAddr> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if parsed.len() != texts.len() {
        reader.fault("seeds", "must be IP addresses with ports");
    }
    parsed
}

impl Settings {
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Every fault at once, unknown keys included.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let settings = Self {
            name: reader.name("name"),
            hall: reader.name("hall"),
            callers: address(&mut reader, "listen_callers"),
            ready: address(&mut reader, "listen_ready"),
            boxes: address(&mut reader, "listen_boxes"),
            operators: address(&mut reader, "listen_operators"),
            publisher: address(&mut reader, "publisher"),
            seeds: seeds(&mut reader),
            link_key: reader.string("link_key"),
            stop_time: Duration::from_secs_f64(reader.number("stop_seconds", &(1.0..=86_400.0))),
            files_most: reader.integer("files_most", &(256..=1_000_000)) as usize,
            capacity: capacity(&mut reader),
            retry_ratio: reader.number("retry_ratio", &(0.0..=10.0)),
            retry_slack: reader.number("retry_slack", &(0.0..=1_000_000.0)),
            retry_window: Duration::from_secs_f64(reader.number("retry_window_seconds", &(0.1..=3_600.0))),
            cold: cold(&mut reader),
            regions: regions(&mut reader),
        };
        check_link_key(&mut reader, &settings.link_key);
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}
