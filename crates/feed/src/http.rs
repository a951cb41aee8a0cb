//! Access to the platform over HTTP.

use crate::{MemberList, Source, SourceError, Value};
use async_trait::async_trait;
use awc::http::StatusCode;
use awc::Client;
use catalog::ServerId;
use fleet::Peer;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the platform is asked to keep a watch open.
const WATCH_WAIT_MS: u64 = 10_000;

/// Timeout of a watch, which leaves the platform 2 s to end it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 2_000);

/// Maximum size of a value, slightly above the platform's limit.
const MAX_VALUE_BYTES: usize = 1_100_000;

/// Response header with a value's revision.
const REVISION_HEADER: &str = "revision";

/// Reads `/v1/values/KEY`, `/v1/watch/KEY?since=N&wait_ms=N` and `/v1/members`.
pub struct HttpSource {
    client: Client,
    config: SocketAddr,
    members: SocketAddr,
}

#[derive(Deserialize)]
struct Members {
    revision: u64,
    #[serde(default)]
    boxes: Vec<BoxEntry>,
    #[serde(default)]
    upstreams: Vec<UpstreamEntry>,
}

#[derive(Deserialize)]
struct BoxEntry {
    #[serde(flatten)]
    peer: Peer,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct UpstreamEntry {
    name: String,
    #[serde(default)]
    leaving: bool,
}

impl HttpSource {
    /// Creates a client of the configuration service at `config` and the membership list at `members`.
    #[must_use]
    pub fn new(config: SocketAddr, members: SocketAddr) -> Self {
        let client = Client::builder().timeout(WATCH_TIMEOUT).disable_redirects().finish();
        Self { client, config, members }
    }

    async fn read(&self, url: &str, timeout: Duration) -> Result<Option<Value>, SourceError> {
        let unreachable = |e: &dyn std::fmt::Display| SourceError::Unreachable(e.to_string());
        let response = self.client.get(url).timeout(timeout).send().await.map_err(|e| unreachable(&e))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => return Ok(None),
            status => return Err(SourceError::Unreachable(format!("status {status}"))),
        }
        let mut response = response.timeout(timeout);
        let revision = response.headers().get(REVISION_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
        let bytes = response.body().limit(MAX_VALUE_BYTES).await.map_err(|e| unreachable(&e))?;
        Ok(Some(Value { revision: revision.unwrap_or(0), bytes: bytes.to_vec() }))
    }
}

#[async_trait(?Send)]
impl Source for HttpSource {
    async fn get(&self, key: &str) -> Result<Option<Value>, SourceError> {
        self.read(&format!("http://{}/v1/values/{key}", self.config), CALL_TIMEOUT).await
    }

    async fn watch(&self, key: &str, since: u64) -> Result<Option<Value>, SourceError> {
        let url = format!("http://{}/v1/watch/{key}?since={since}&wait_ms={WATCH_WAIT_MS}", self.config);
        self.read(&url, WATCH_TIMEOUT).await
    }

    async fn member_list(&self) -> Result<MemberList, SourceError> {
        let url = format!("http://{}/v1/members", self.members);
        let value = self.read(&url, CALL_TIMEOUT).await?.unwrap_or(Value { revision: 0, bytes: Vec::new() });
        let members: Members =
            serde_json::from_slice(&value.bytes).map_err(|e| SourceError::Malformed(e.to_string()))?;
        Ok(MemberList {
            revision: members.revision,
            boxes: members.boxes.into_iter().map(|b| (b.peer, b.leaving)).collect(),
            upstreams: members.upstreams.iter().map(|u| (ServerId::of(&u.name), u.leaving)).collect(),
        })
    }
}
