//! HTTP client for upstreams.

use crate::{Call, Engine, EventSplitter, Failure, LoadProbe, PlainAnswer, PlainRequest, PlainService, TokenStream};
use async_trait::async_trait;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use futures_util::StreamExt;
use policy::Load;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Size limit of error bodies and load reports.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Size limit of a plain service's answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time limit of pooled connections.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Total time limit of a streamed answer; pauses within it are bounded by [`Timeouts::idle`].
const MAX_STREAM_TIME: Duration = Duration::from_secs(86_400);

/// Time limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For opening a connection.
    pub connect: Duration,
    /// For the head of the answer.
    pub head: Duration,
    /// Between two chunks of the answer.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { connect: Duration::from_millis(500), head: Duration::from_secs(120), idle: Duration::from_secs(20) }
    }
}

/// Client for engines and plain services over HTTP.
pub struct HttpClient {
    /// Reuses connections for a short time.
    pooled: Client,
    /// Opens a connection for each request.
    unpooled: Client,
    timeouts: Timeouts,
}

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(Timeouts::default())
    }
}

impl HttpClient {
    /// Creates a client with these time limits. Each traffic thread has its own.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        let pooled = client(timeouts, KEEP_ALIVE);
        let unpooled = client(timeouts, Duration::ZERO);
        Self { pooled, unpooled, timeouts }
    }

    /// Returns the client for a request.
    ///
    /// If an upstream has just closed a pooled connection, a request on it fails and it is unknown whether it ran.
    /// Repeatable requests are then sent again; all others use a new connection.
    fn client(&self, repeatable: bool) -> &Client {
        if repeatable {
            &self.pooled
        } else {
            &self.unpooled
        }
    }
}

fn client(timeouts: Timeouts, keep: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timeouts.connect)
        .limit(0)
        .conn_keep_alive(keep)
        .conn_lifetime(Duration::from_secs(600));
    let builder =
        Client::builder().connector(connector).timeout(timeouts.head).disable_redirects().no_default_headers();
    builder.finish()
}

/// Classifies a client error. Only a connection that was never opened proves that the request did not run.
///
/// `awc` also reports a connect error if an open connection is closed before the answer.
fn classify_error(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::Broken("connection closed before the answer".into())
        }
        SendRequestError::Connect(error) => Failure::Unreached(error.to_string()),
        SendRequestError::Url(error) => Failure::Unreached(error.to_string()),
        other => Failure::Broken(other.to_string()),
    }
}

struct EventStream<S> {
    body: S,
    events: EventSplitter,
    idle: Duration,
    done: bool,
}

#[async_trait(?Send)]
impl<S> TokenStream for EventStream<S>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if self.done {
                return Ok(None);
            }
            if let Some(event) = self.events.next_event() {
                self.done = EventSplitter::is_done(&event);
                return Ok(Some(event));
            }
            let more = tokio::time::timeout(self.idle, self.body.next()).await;
            match more {
                Ok(Some(Ok(bytes))) if self.events.feed(&bytes) => {}
                Ok(Some(Ok(_))) => return Err(Failure::Broken("event too large".into())),
                Ok(Some(Err(error))) => return Err(Failure::Broken(error.to_string())),
                Ok(None) => return Err(Failure::Broken("stream ended before the answer was complete".into())),
                Err(_) => return Err(Failure::Broken("no data within the idle timeout".into())),
            }
        }
    }
}

#[async_trait(?Send)]
impl Engine for HttpClient {
    async fn start(&self, address: SocketAddr, call: &Call) -> Result<Box<dyn TokenStream>, Failure> {
        let request = self
            .client(call.repeatable)
            .post(format!("http://{address}{}", call.endpoint.path()))
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(call.render()).await.map_err(|e| classify_error(&e))?;
        if response.status() != StatusCode::OK {
            let status = response.status().as_u16();
            let body = response.body().limit(MAX_ERROR_BODY_BYTES).await.map(|b| b.to_vec()).unwrap_or_default();
            return Err(Failure::Refused { status, body });
        }
        let body = response.timeout(MAX_STREAM_TIME);
        Ok(Box::new(EventStream { body, events: EventSplitter::default(), idle: self.timeouts.idle, done: false }))
    }
}

#[async_trait(?Send)]
impl PlainService for HttpClient {
    async fn call(&self, address: SocketAddr, request: &PlainRequest) -> Result<PlainAnswer, Failure> {
        let method = Method::from_bytes(request.method.as_bytes()).map_err(|e| Failure::Unreached(e.to_string()))?;
        let mut outgoing =
            self.client(request.repeatable).request(method, format!("http://{address}{}", request.target));
        for (name, value) in &request.headers {
            outgoing = outgoing.insert_header((name.as_str(), value.as_str()));
        }
        let sent = outgoing.send_body(request.body.clone()).await;
        let mut response = sent.map_err(|e| classify_error(&e))?.timeout(self.timeouts.head);
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| Failure::Broken(e.to_string()))?;
        let is_end_to_end =
            |name: &str| !matches!(name, "connection" | "transfer-encoding" | "content-length" | "keep-alive");
        let headers = response.headers().iter().filter(|(name, _)| is_end_to_end(name.as_str()));
        let headers = headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())));
        Ok(PlainAnswer { status: response.status().as_u16(), headers: headers.collect(), body })
    }
}

#[async_trait(?Send)]
impl LoadProbe for HttpClient {
    async fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        let request = self.pooled.get(format!("http://{address}/load")).timeout(LOAD_TIMEOUT);
        let mut response = request.send().await.map_err(|e| classify_error(&e))?;
        let body = response.body().limit(MAX_ERROR_BODY_BYTES).await.map_err(|e| Failure::Broken(e.to_string()))?;
        let report: LoadReport = serde_json::from_slice(&body).map_err(|e| Failure::Broken(e.to_string()))?;
        Ok(Load { running: report.running, waiting: report.waiting, leaving: report.leaving })
    }
}
