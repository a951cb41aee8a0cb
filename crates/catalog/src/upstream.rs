//! Upstreams and the pools they form.

use crate::TableReader;
use std::net::SocketAddr;

/// What an upstream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamKind {
    /// A language-model server.
    Engine,
    /// A plain service: registry look-ups, top-ups and the like.
    Plain,
}

/// The servers of one model or one plain service in one hall.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// The hall in which the servers stand.
    pub hall: String,
    /// The model's or plain service's name.
    pub serves: String,
}

/// One server behind cleatshelf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The server's name, unique in a release.
    pub name: String,
    /// Where it stands and what it serves.
    pub pool: Pool,
    /// What it speaks.
    pub kind: UpstreamKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Most requests it bears at once, 1 to 4096.
    pub slots: u32,
    /// It gets no new work.
    pub leaving: bool,
    /// It can go on with an answer of which the first tokens are already known.
    pub resume: bool,
}

/// How a plain service's calls may be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Methods that may be sent again after a failure.
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
            reader.fault("model", "name either a model or a service, and not both");
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
