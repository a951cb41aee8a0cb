//! The settings of a router box.

use crate::settings::{check_link_key, read_address};
use catalog::{Fault, TableReader};
use placement::ColdAllowance;
use routing::HallRegions;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a router box.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this box, for logs.
    pub name: String,
    /// Hall of this box.
    pub hall: String,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for other boxes.
    pub boxes: SocketAddr,
    /// Listening address for other boxes that have lost their path to the servers; `None` to open no connections for
    /// them. Must have the same IP address as `boxes`.
    pub tunnels: Option<SocketAddr>,
    /// Listening address for operators.
    pub operators: SocketAddr,
    /// Address at which the configuration and the servers are published.
    pub publisher: SocketAddr,
    /// Addresses of some boxes; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all boxes share, at least 16 bytes.
    pub link_key: String,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
    /// Maximum number of files and connections that the process may hold.
    pub max_files: usize,
    /// Memory of this box, in bytes; `None` if it isn't known.
    pub memory: Option<usize>,
    /// Capacity of this box to serve other boxes: the lesser of its CPU share in thousandths of a core and its link
    /// speed in tenths of Mbit/s.
    pub capacity: u32,
    /// Retries that all boxes together may send per request.
    pub retry_ratio: f64,
    /// Retries that all boxes together may send in addition.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Requests that all boxes together may send to a server that has just started or become cold.
    pub cold: ColdAllowance,
    /// The region of each hall. A request that is restricted to some regions is not sent to halls without a region.
    pub regions: HallRegions,
}

fn read_capacity(reader: &mut TableReader<'_>) -> u32 {
    let processor = reader.number("processor_share", &(0.0..=1_000.0)) * 1_000.0;
    let link = reader.number("link_mbps", &(0.0..=1_000_000.0)) * 10.0;
    processor.min(link) as u32
}

/// Reads the memory of the box in bytes; 0 stands for no limit.
fn read_memory(reader: &mut TableReader<'_>) -> Option<usize> {
    let mb = reader.number_opt("memory_mb", &(0.0..=1_048_576.0)).filter(|mb| *mb > 0.0)?;
    Some((mb * f64::from(1 << 20)) as usize)
}

fn read_cold_allowance(reader: &mut TableReader<'_>) -> ColdAllowance {
    let base = ColdAllowance::default();
    ColdAllowance {
        ratio: reader.number_opt("cold_ratio", &(0.0..=100.0)).unwrap_or(base.ratio),
        slack: reader.number_opt("cold_slack", &(0.0..=1_000_000.0)).unwrap_or(base.slack),
    }
}

fn read_regions(reader: &mut TableReader<'_>) -> HallRegions {
    reader.tables("halls", |hall| (hall.name("name"), hall.name("region"))).into_iter().collect()
}

/// Other boxes combine the port with the address at which they know this box.
fn check_tunnels(reader: &mut TableReader<'_>, tunnels: Option<SocketAddr>, boxes: SocketAddr) {
    if tunnels.is_some_and(|tunnels| tunnels.ip() != boxes.ip()) {
        reader.fault("listen_tunnels", "must have the IP address of listen_boxes");
    }
}

fn read_seeds(reader: &mut TableReader<'_>) -> Vec<SocketAddr> {
    let texts = reader.strings("seeds");
    let addresses: Vec<SocketAddr> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if addresses.len() != texts.len() {
        reader.fault("seeds", "must be IP addresses with ports, such as 10.0.0.5:7000");
    }
    addresses
}

impl Settings {
    /// Parses the settings from the text of `file`.
    ///
    /// # Errors
    /// All faults, including unknown keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let settings = Self {
            name: reader.name("name"),
            hall: reader.name("hall"),
            callers: read_address(&mut reader, "listen_callers"),
            ready: read_address(&mut reader, "listen_ready"),
            boxes: read_address(&mut reader, "listen_boxes"),
            tunnels: reader.parsed_opt("listen_tunnels", "an IP address with a port, such as 10.0.0.5:7000"),
            operators: read_address(&mut reader, "listen_operators"),
            publisher: read_address(&mut reader, "publisher"),
            seeds: read_seeds(&mut reader),
            link_key: reader.string("link_key"),
            stop_timeout: Duration::from_secs_f64(reader.number("stop_seconds", &(1.0..=86_400.0))),
            max_files: reader.integer("files_most", &(256..=1_000_000)) as usize,
            memory: read_memory(&mut reader),
            capacity: read_capacity(&mut reader),
            retry_ratio: reader.number("retry_ratio", &(0.0..=10.0)),
            retry_slack: reader.number("retry_slack", &(0.0..=1_000_000.0)),
            retry_window: Duration::from_secs_f64(reader.number("retry_window_seconds", &(0.1..=3_600.0))),
            cold: read_cold_allowance(&mut reader),
            regions: read_regions(&mut reader),
        };
        check_link_key(&mut reader, &settings.link_key);
        check_tunnels(&mut reader, settings.tunnels, settings.boxes);
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}
