//! HTTP client of a caller, which classifies the outcome of each request exactly.

use crate::example_release::{api_key, MODEL};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use futures_util::StreamExt;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use upstream::EventSplitter;

/// Timeout of a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum size of a response body that is read in one piece.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Outcome of a request as seen by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Complete,
    /// An error response arrived instead of an answer.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error code.
        code: String,
        /// Value of the header that states whether the request ran.
        ran: String,
        /// Delay before a retry, in milliseconds.
        retry_ms: Option<u64>,
    },
    /// The connection was lost before the end of the answer.
    Interrupted,
    /// No connection to the box could be made.
    Unreachable,
}

/// Response to one request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The outcome.
    pub outcome: Outcome,
    /// The received text.
    pub text: String,
    /// Arrival time of each token.
    pub times: Vec<Instant>,
}

/// A caller with the API key of one customer.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    /// The customer's name.
    pub customer: String,
    /// The class; the customer's default if none.
    pub class: Option<String>,
    /// Marks requests as non-repeatable.
    pub non_repeatable: bool,
    /// The request key.
    pub key: Option<String>,
}

impl Caller {
    /// Creates a caller for `customer`.
    #[must_use]
    pub fn new(customer: &str) -> Self {
        // All callers share one process, so idle connections are closed before the server closes them.
        let connector =
            Connector::new().limit(0).timeout(Duration::from_secs(1)).conn_keep_alive(Duration::from_secs(1));
        let client = Client::builder().connector(connector).timeout(ANSWER_TIMEOUT).finish();
        Self { client, customer: customer.to_owned(), class: None, non_repeatable: false, key: None }
    }

    /// Sets the class.
    #[must_use]
    pub fn class(mut self, class: &str) -> Self {
        self.class = Some(class.to_owned());
        self
    }

    /// Marks requests as non-repeatable.
    #[must_use]
    pub fn non_repeatable(mut self) -> Self {
        self.non_repeatable = true;
        self
    }

    /// Sets the request key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![("authorization", format!("Bearer {}", api_key(&self.customer)))];
        if let Some(class) = &self.class {
            headers.push((gateway::CLASS_HEADER, class.clone()));
        }
        if self.non_repeatable {
            headers.push((gateway::REPEATABLE_HEADER, "no".to_owned()));
        }
        if let Some(key) = &self.key {
            headers.push((gateway::KEY_HEADER, key.clone()));
        }
        headers
    }

    /// Sends `prompt` to the model through the box at `address` and collects the streamed answer.
    pub async fn complete(&self, address: SocketAddr, prompt: &str, max_tokens: u32) -> Reply {
        let body = json!({"model": MODEL, "stream": true, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}]});
        self.post(address, "/v1/chat/completions", &body).await
    }

    /// Posts `body` and collects the response, streamed or in one piece.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Reply {
        let mut request = self.client.post(format!("http://{address}{path}"));
        for (name, value) in self.headers() {
            request = request.insert_header((name, value));
        }
        let failed = |outcome| Reply { outcome, text: String::new(), times: Vec::new() };
        let response = match request.send_json(body).await {
            Ok(response) => response,
            Err(error) => return failed(transport_error(&error)),
        };
        if response.status() != 200 {
            return failed(read_refusal(response).await);
        }
        if body["stream"] == json!(true) {
            return read_stream(response).await;
        }
        let mut response = response.timeout(ANSWER_TIMEOUT);
        match response.json::<Value>().limit(MAX_BODY_BYTES).await {
            Ok(value) => Reply { outcome: Outcome::Complete, text: answer_text(&value), times: vec![Instant::now()] },
            Err(_) => failed(Outcome::Interrupted),
        }
    }

    /// Sends a request with a text body, as to a plain service, and collects the response body.
    pub async fn request(&self, address: SocketAddr, method: &str, path: &str, body: &str) -> Reply {
        let method = awc::http::Method::from_bytes(method.as_bytes()).unwrap_or(awc::http::Method::GET);
        let mut request = self.client.request(method, format!("http://{address}{path}"));
        for (name, value) in self.headers() {
            request = request.insert_header((name, value));
        }
        let failed = |outcome| Reply { outcome, text: String::new(), times: Vec::new() };
        let mut response = match request.send_body(body.to_owned()).await {
            Ok(response) => response,
            Err(error) => return failed(transport_error(&error)),
        };
        if response.status() != 200 {
            return failed(read_refusal(response).await);
        }
        match response.body().limit(MAX_BODY_BYTES).await {
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                Reply { outcome: Outcome::Complete, text, times: vec![Instant::now()] }
            }
            Err(_) => failed(Outcome::Interrupted),
        }
    }
}

/// Classifies a failed request. Only if no connection was made is it certain that no box received it.
fn transport_error(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Interrupted,
        SendRequestError::Connect(_) => Outcome::Unreachable,
        _ => Outcome::Interrupted,
    }
}

fn answer_text(value: &Value) -> String {
    let choice = &value["choices"][0];
    let chat = choice["message"]["content"].as_str().or_else(|| choice["delta"]["content"].as_str());
    chat.or_else(|| choice["text"].as_str()).unwrap_or_default().to_owned()
}

type Response<S> = awc::ClientResponse<S>;

async fn read_refusal<S>(mut response: Response<S>) -> Outcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let status = response.status().as_u16();
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let ran = header(gateway::RAN_HEADER).unwrap_or_default();
    let retry_ms = header("retry-after-ms").and_then(|v| v.parse().ok());
    let body: Value = response.json().await.unwrap_or_default();
    let code = body["error"]["code"].as_str().unwrap_or_default().to_owned();
    Outcome::Refused { status, code, ran, retry_ms }
}

async fn read_stream<S>(response: Response<S>) -> Reply
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut body = response.timeout(ANSWER_TIMEOUT);
    let mut events = EventSplitter::default();
    let mut reply = Reply { outcome: Outcome::Interrupted, text: String::new(), times: Vec::new() };
    while let Some(Ok(bytes)) = body.next().await {
        if !events.feed(&bytes) {
            return reply;
        }
        while let Some(event) = events.next_event() {
            if EventSplitter::is_done(&event) {
                reply.outcome = Outcome::Complete;
                continue;
            }
            let value: Value = serde_json::from_slice(EventSplitter::data(&event)).unwrap_or_default();
            let text = answer_text(&value);
            if !text.is_empty() {
                reply.text.push_str(&text);
                reply.times.push(Instant::now());
            }
        }
    }
    reply
}
