//! The settings of a box.

use catalog::{Fault, TableReader};
use fleet::Peer;
use gateway::Limits;
use policy::{QueueDiscipline, SchedulingMode};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum length of the secret that boxes share.
const MIN_LINK_KEY_BYTES: usize = 16;

/// The credentials with which boxes authenticate each other.
#[derive(Clone, PartialEq, Eq)]
pub struct Link {
    /// The secret that all boxes share, at least 16 bytes.
    pub key: String,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Link { key: .. }")
    }
}

/// The settings of a box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, hall and listening address of this box for other boxes.
    pub me: Peer,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators: status and metrics.
    pub operators: SocketAddr,
    /// Address of the platform's configuration service.
    pub config: SocketAddr,
    /// Address of the platform's membership list.
    pub members: SocketAddr,
    /// The credentials with which boxes authenticate each other.
    pub link: Link,
    /// Boxes known at the start. May contain this one.
    pub peers: Vec<Peer>,
    /// Number of traffic threads, 1 to 64.
    pub traffic_threads: usize,
    /// Limits on the resources that callers can use.
    pub limits: Limits,
    /// Assignment of requests to servers.
    pub scheduling_mode: SchedulingMode,
    /// Maximum time that a planned stop waits for running requests.
    pub stop_timeout: Duration,
}

/// Reads an address from a required key. Records one fault if it is missing or invalid.
pub(crate) fn read_address(reader: &mut TableReader<'_>, key: &str) -> SocketAddr {
    let parsed = reader.parsed(key, "an IP address with a port, such as 10.0.0.5:7000");
    parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

/// Records a fault if the secret shared by boxes is too short; a missing one is already reported.
pub(crate) fn check_link_key(reader: &mut TableReader<'_>, key: &str) {
    if !key.is_empty() && key.len() < MIN_LINK_KEY_BYTES {
        reader.fault("link_key", format!("must have at least {MIN_LINK_KEY_BYTES} bytes"));
    }
}

fn read_peer(reader: &mut TableReader<'_>) -> Peer {
    Peer { name: reader.name("name"), hall: reader.name("hall"), address: read_address(reader, "address") }
}

fn read_limits(reader: &mut TableReader<'_>) -> Limits {
    let defaults = Limits::default();
    let mut seconds =
        |key: &str, default: Duration| reader.integer_opt(key, &(1..=86_400)).map_or(default, Duration::from_secs);
    let body_timeout = seconds("body_seconds", defaults.body_timeout);
    let unread_timeout = seconds("unread_seconds", defaults.unread_timeout);
    let request_timeout = seconds("request_seconds", defaults.request_timeout);
    let mut number =
        |key: &str, default: usize, max: u64| reader.integer_opt(key, &(1..=max)).map_or(default, |n| n as usize);
    Limits {
        max_body_bytes: number("body_bytes", defaults.max_body_bytes, 1 << 30),
        max_buffered_bytes: number("buffered_bytes", defaults.max_buffered_bytes, 1 << 40),
        body_timeout,
        max_requests: number("requests", defaults.max_requests, 1_000_000),
        unread_timeout,
        max_key_bytes: number("request_key_bytes", defaults.max_key_bytes, 4_096),
        request_timeout,
    }
}

fn read_scheduling_mode(reader: &mut TableReader<'_>) -> SchedulingMode {
    match reader.string_opt("way").as_deref() {
        None | Some("owner") => SchedulingMode::Owner,
        Some("alone-arrival") => SchedulingMode::Uncoordinated(QueueDiscipline::Arrival),
        Some("alone-class") => SchedulingMode::Uncoordinated(QueueDiscipline::Class),
        Some(other) => {
            reader.fault("way", format!("'{other}' is not owner, alone-arrival or alone-class"));
            SchedulingMode::Owner
        }
    }
}

impl Settings {
    /// Parses the settings from the text of `file`.
    ///
    /// # Errors
    /// All faults, including unknown keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let me = Peer {
            name: reader.name("name"),
            hall: reader.name("hall"),
            address: read_address(&mut reader, "listen_boxes"),
        };
        let settings = Self {
            me,
            callers: read_address(&mut reader, "listen_callers"),
            operators: read_address(&mut reader, "listen_operators"),
            config: read_address(&mut reader, "platform_config"),
            members: read_address(&mut reader, "platform_members"),
            link: Link { key: reader.string("link_key") },
            peers: reader.tables("peer", read_peer),
            traffic_threads: reader.integer_opt("traffic_threads", &(1..=64)).unwrap_or(2) as usize,
            limits: read_limits(&mut reader),
            scheduling_mode: read_scheduling_mode(&mut reader),
            stop_timeout: Duration::from_secs(reader.integer_opt("stop_seconds", &(1..=86_400)).unwrap_or(120)),
        };
        settings.check(&mut reader);
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn check(&self, reader: &mut TableReader<'_>) {
        check_link_key(reader, &self.link.key);
        let own = [self.me.address, self.callers, self.operators];
        if own[0] == own[1] || own[0] == own[2] || own[1] == own[2] {
            reader.fault("listen_boxes", "the three listen addresses must differ");
        }
        for (i, peer) in self.peers.iter().enumerate() {
            let key = format!("peer[{i}].name");
            if self.peers[..i].iter().any(|p| p.name == peer.name) {
                reader.fault(&key, format!("duplicate '{}'", peer.name));
            }
            if peer.name == self.me.name && peer != &self.me {
                reader.fault(&key, "is this box, but its hall or address differs");
            }
        }
    }
}
