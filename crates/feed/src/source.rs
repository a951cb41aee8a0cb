//! Interface to the platform.

use async_trait::async_trait;
use catalog::ServerId;
use fleet::Peer;

/// The key under which operators publish the manifest. Parts are published under `part/DIGEST`.
pub const MANIFEST_KEY: &str = "manifest";

/// A value of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The service's revision of this value, which increases with each change.
    pub revision: u64,
    /// Content of the value.
    pub bytes: Vec<u8>,
}

/// The membership list as last published, which may lag behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Increases with each change.
    pub revision: u64,
    /// Boxes with their leaving flags.
    pub boxes: Vec<(Peer, bool)>,
    /// Upstreams with their leaving flags.
    pub upstreams: Vec<(ServerId, bool)>,
}

/// The reason why the platform returned no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// The platform did not answer in time, or its answer was an error or incomplete.
    Unreachable(String),
    /// The platform's response could not be decoded.
    Malformed(String),
}

impl std::fmt::Display for SourceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
            Self::Malformed(why) => write!(f, "malformed response: {why}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// Read-only access to the platform.
#[async_trait(?Send)]
pub trait Source {
    /// Returns the value of `key`, if there is one.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn get(&self, key: &str) -> Result<Option<Value>, SourceError>;

    /// Waits until `key` has a revision above `since`. Returns `None` when the platform ends the wait.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn watch(&self, key: &str, since: u64) -> Result<Option<Value>, SourceError>;

    /// Returns the membership list.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn member_list(&self) -> Result<MemberList, SourceError>;
}
