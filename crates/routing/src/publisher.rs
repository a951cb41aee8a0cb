//! Interface to the service that publishes the configuration and the list of servers.

use crate::{Change, Directory, Evacuations, Position, Table};
use async_trait::async_trait;
use std::time::Duration;

/// A set of published values that is read and watched together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Values set by operators: the configuration and the evacuated halls.
    Orders,
    /// The list of servers.
    Directory,
}

/// Required freshness of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The latest value that the publisher has.
    Newest,
    /// A value that may be seconds old, and is cheap for the publisher to serve.
    Stale,
}

/// The values set by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    /// The configuration as published, if there is one.
    pub table: Option<Vec<u8>>,
    /// The evacuated halls, with the position at which all of these values were the latest.
    pub evacuations: Evacuations,
}

/// The result of a watch.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Position up to which all changes are included; the next watch continues from here.
    pub position: Position,
    /// The latest configuration as published, if it has changed.
    pub table: Option<Vec<u8>>,
    /// Halls whose evacuation began (true) or ended (false), in order.
    pub evacuations: Vec<(String, bool)>,
    /// Changes to the list of servers, in order.
    pub changes: Vec<Change>,
}

/// The reason why the publisher returned no usable result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherError {
    /// The publisher did not answer in time, or rejected the call.
    Unreachable(String),
    /// The publisher answers but has no configuration yet.
    NoConfiguration,
    /// The publisher no longer has the history since the requested position, or was restored from a backup in
    /// the meantime; a full read is needed.
    HistoryUnavailable,
    /// The publisher's response could not be decoded.
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

/// Read-only access to the published configuration and list of servers.
#[async_trait(?Send)]
pub trait Publisher {
    /// Returns the values set by operators.
    ///
    /// # Errors
    /// Returns a [`PublisherError`] if there is no usable response.
    async fn orders(&self, freshness: Freshness) -> Result<Orders, PublisherError>;

    /// Returns all servers.
    ///
    /// # Errors
    /// Returns a [`PublisherError`] if there is no usable response.
    async fn directory(&self, freshness: Freshness) -> Result<Directory, PublisherError>;

    /// Returns a sample of the servers with few calls: a different one for each `draw`, without a position.
    /// If there are few servers, returns all of them at their position.
    ///
    /// # Errors
    /// Returns a [`PublisherError`] if there is no usable response.
    async fn sample(&self, freshness: Freshness, draw: u64) -> Result<Directory, PublisherError>;

    /// Waits up to `wait` for changes to `subject` after `since`.
    ///
    /// # Errors
    /// Returns a [`PublisherError`] if there is no usable response; [`PublisherError::HistoryUnavailable`]
    /// requires a full read.
    async fn watch(&self, subject: Subject, since: Position, wait: Duration) -> Result<Update, PublisherError>;

    /// Decodes a configuration as published.
    ///
    /// # Errors
    /// Returns the invalid field and the reason.
    fn decode(&self, bytes: &[u8]) -> Result<Table, String>;
}
