//! The border towards whatever publishes the configuration and the servers.

use crate::{Change, Directory, Evacuations, Position, Table};
use async_trait::async_trait;
use std::time::Duration;

/// What is read and watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// What operators order: the configuration, and which halls are evacuated.
    Orders,
    /// The servers.
    Directory,
}

/// How new what is read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As new as the publisher has it.
    Newest,
    /// May be seconds old, and costs the publisher little.
    Stale,
}

/// What operators have ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    /// The configuration as published; none while there is none.
    pub table: Option<Vec<u8>>,
    /// The evacuated halls, and where all this was the newest.
    pub evacuations: Evacuations,
}

/// What a watch brought.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Up to where everything is told; the next watch goes on from here.
    pub position: Position,
    /// The newest configuration as published, if it changed.
    pub table: Option<Vec<u8>>,
    /// Halls that are evacuated from now on (true) or no more, in order.
    pub evacuations: Vec<(String, bool)>,
    /// What became of servers, in order.
    pub changes: Vec<Change>,
}

/// Why the publisher gave nothing usable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherError {
    /// It did not answer in time, or turned the call away.
    Unreachable(String),
    /// It answers, and has no configuration yet.
    NoConfiguration,
    /// It doesn't have the history since the position asked for, or came back from a copy meanwhile; a full read is needed.
    HistoryUnavailable,
    /// It answered something that makes no sense.
    Malformed(String),
}

impl std::fmt::Display for PublisherError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
            Self::NoConfiguration => f.write_str("no configuration yet"),
            Self::HistoryUnavailable => f.write_str("history no longer available; a full read is needed"),
            Self::Malformed(why) => write!(f, "malformed response: {why}"),
        }
    }
}

impl std::error::Error for PublisherError {}

/// Publishes the configuration and the servers; can only be read.
#[async_trait(?Send)]
pub trait Publisher {
    /// What operators have ordered.
    ///
    /// # Errors
    /// [`PublisherError`] when nothing usable came.
    async fn orders(&self, freshness: Freshness) -> Result<Orders, PublisherError>;

    /// All servers.
    ///
    /// # Errors
    /// [`PublisherError`] when nothing usable came.
    async fn directory(&self, freshness: Freshness) -> Result<Directory, PublisherError>;

    /// Some of the servers, by few calls: others for each `draw`, and at no position. Where there are few, all of them at theirs.
    ///
    /// # Errors
    /// [`PublisherError`] when nothing usable came.
    async fn sample(&self, freshness: Freshness, draw: u64) -> Result<Directory, PublisherError>;

    /// Waits up to `wait` for news of `subject` after `since`.
    ///
    /// # Errors
    /// [`PublisherError`] when nothing usable came; [`PublisherError::HistoryUnavailable`] asks for a full read.
    async fn watch(&self, subject: Subject, since: Position, wait: Duration) -> Result<Update, PublisherError>;

    /// Reads a configuration as published.
    ///
    /// # Errors
    /// The field at fault and the reason.
    fn decode(&self, bytes: &[u8]) -> Result<Table, String>;
}
