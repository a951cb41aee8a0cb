//! A box's settings, checked as a whole.

use catalog::{Fault, TableReader};
use fleet::Peer;
use gateway::Limits;
use policy::{QueueDiscipline, SchedulingMode};
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest secret between boxes.
const KEY_LEAST: usize = 16;

/// How boxes prove themselves to each other.
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

/// A box's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who this box is and where it listens for other boxes.
    pub me: Peer,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where operators ask for status and metrics.
    pub operators: SocketAddr,
    /// The platform's configuration service.
    pub config: SocketAddr,
    /// The platform's membership list.
    pub members: SocketAddr,
    /// How boxes prove themselves to each other.
    pub link: Link,
    /// Boxes known from the start. May contain this one.
    pub peers: Vec<Peer>,
    /// Traffic threads, 1 to 64.
    pub traffic_threads: usize,
    /// Bounds on what callers can make grow.
    pub limits: Limits,
    /// How requests find a server.
    pub way: SchedulingMode,
    /// Longest time that a planned stop waits for running requests.
    pub stop_time: Duration,
}

/// An address that must stand under `key`; one fault if it doesn't.
pub(crate) fn address(reader: &mut TableReader<'_>, key: &str) -> SocketAddr {
    let parsed = reader.parsed(key, "an IP address with a port, such as 10.0.0.5:7000");
    parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

/// Notes a fault when the secret between boxes is too short; a missing one is a fault already.
pub(crate) fn check_link_key(reader: &mut TableReader<'_>, key: &str) {
    if !key.is_empty() && key.len() < KEY_LEAST {
        reader.fault("link_key", format!("must have at least {KEY_LEAST} bytes"));
    }
}

fn read_peer(reader: &mut TableReader<'_>) -> Peer {
    Peer { name: reader.name("name"), hall: reader.name("hall"), address: address(reader, "address") }
}

fn read_limits(reader: &mut TableReader<'_>) -> Limits {
    let base = Limits::default();
    let mut seconds =
        |key: &str, base: Duration| reader.integer_opt(key, &(1..=86_400)).map_or(base, Duration::from_secs);
    let body_timeout = seconds("body_seconds", base.body_timeout);
    let unread_timeout = seconds("unread_seconds", base.unread_timeout);
    let request_timeout = seconds("request_seconds", base.request_timeout);
    let mut number =
        |key: &str, base: usize, most: u64| reader.integer_opt(key, &(1..=most)).map_or(base, |n| n as usize);
    Limits {
        max_body_bytes: number("body_bytes", base.max_body_bytes, 1 << 30),
        body_timeout,
        max_requests: number("requests", base.max_requests, 1_000_000),
        unread_timeout,
        max_key_bytes: number("request_key_bytes", base.max_key_bytes, 4_096),
        request_timeout,
    }
}

fn read_way(reader: &mut TableReader<'_>) -> SchedulingMode {
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
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Every fault at once, unknown keys included.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let me = Peer {
            name: reader.name("name"),
            hall: reader.name("hall"),
            address: address(&mut reader, "listen_boxes"),
        };
        let settings = Self {
            me,
            callers: address(&mut reader, "listen_callers"),
            operators: address(&mut reader, "listen_operators"),
            config: address(&mut reader, "platform_config"),
            members: address(&mut reader, "platform_members"),
            link: Link { key: reader.string("link_key") },
            peers: reader.tables("peer", read_peer),
            traffic_threads: reader.integer_opt("traffic_threads", &(1..=64)).unwrap_or(2) as usize,
            limits: read_limits(&mut reader),
            way: read_way(&mut reader),
            stop_time: Duration::from_secs(reader.integer_opt("stop_seconds", &(1..=86_400)).unwrap_or(120)),
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
                reader.fault(&key, format!("'{}' stands there twice", peer.name));
            }
            if peer.name == self.me.name && peer != &self.me {
                reader.fault(&key, "is this box, but with another hall or address");
            }
        }
    }
}
