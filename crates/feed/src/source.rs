//! The border towards the platform.

use async_trait::async_trait;
use catalog::ServerId;
use fleet::Peer;

/// The key under which operators publish the manifest. A part stands under `part/DIGEST`.
pub const MANIFEST_KEY: &str = "manifest";

/// A value of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The service's revision of this value, rising.
    pub revision: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The membership list as last published. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Rises with each change.
    pub revision: u64,
    /// Boxes, and whether each is leaving.
    pub boxes: Vec<(Peer, bool)>,
    /// Upstreams, and whether each is leaving.
    pub upstreams: Vec<(ServerId, bool)>,
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// It did not answer, or not in time.
    Unreachable(String),
    /// It answered something that makes no sense.
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

/// What the platform publishes, read only.
#[async_trait(?Send)]
pub trait Source {
    /// The value under `key`, if there is one.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn get(&self, key: &str) -> Result<Option<Value>, SourceError>;

    /// Waits until `key` has a revision above `since`; none when the platform's time for that is over.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn watch(&self, key: &str, since: u64) -> Result<Option<Value>, SourceError>;

    /// The membership list.
    ///
    /// # Errors
    /// [`SourceError`] when the platform gives no usable answer.
    async fn member_list(&self) -> Result<MemberList, SourceError>;
}
