//! Upstreams and the pools that they form.

use crate::TableReader;
use std::net::SocketAddr;

/// The kind of service that an upstream provides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamKind {
    /// A language-model server.
    Engine,
    /// A plain service, such as registry look-ups or top-ups.
    Plain,
}

/// The servers of one model or one plain service in one hall.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// The hall in which the servers run.
    pub hall: String,
    /// The name of the model or plain service.
    pub serves: String,
}

/// A server behind cleatshelf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The server's name, unique in a release.
    pub name: String,
    /// Its hall, and the model or service that it serves.
    pub pool: Pool,
    /// The kind of service that it provides.
    pub kind: UpstreamKind,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests, 1 to 4096.
    pub slots: u32,
    /// True if it receives no new requests.
    pub leaving: bool,
    /// True if it can continue a response whose first tokens are given.
    pub resume: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// HTTP methods whose requests may be sent again after a failure.
    pub repeatable: Vec<String>,
}

impl Upstream {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let name = reader.name("name");
        let hall = reader.name("hall");
        let model = reader.string_opt("model");
        let service = reader.string_opt("service");
        let kind = if model.is_some() { UpstreamKind::Engine } else { UpstreamKind::Plain };
        if model.is_some() == service.is_some() {
            reader.fault("model", "exactly one of model and service must be set");
        }
        let address = reader.parsed("address", "an address such as 10.0.0.5:8000");
        Self {
            name,
            pool: Pool { hall, serves: model.or(service).unwrap_or_default() },
            kind,
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            slots: reader.integer("slots", &(1..=4096)) as u32,
            leaving: reader.flag("leaving", false),
            resume: reader.flag("resume", false),
        }
    }
}

impl Service {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let repeatable = reader.strings("repeatable").iter().map(|m| m.to_ascii_uppercase()).collect();
        Self { name: reader.name("name"), repeatable }
    }
}
