//! Requests to upstreams and answers of plain services.

use bytes::Bytes;
use serde_json::Value;

/// Endpoint of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// Returns the path.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// The part of an answer that the caller has already received, for resuming it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// Number of tokens, which equals the number of events.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The caller's complete body.
    pub body: Value,
    /// Id of the answer, equal for all attempts.
    pub id: String,
    /// Rank of the class; lower ranks go first.
    pub priority: u8,
    /// True if the request may be sent again after a failure.
    pub repeatable: bool,
    /// The part that the caller has already received; empty at first.
    pub delivered: Delivered,
}

impl Call {
    /// Returns the body for the engine. Always requests a stream, so that a lost connection is noticed at once.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        if let Some(fields) = body.as_object_mut() {
            fields.insert("stream".into(), Value::Bool(true));
            fields.insert("priority".into(), Value::from(self.priority));
            fields.insert("request_id".into(), Value::from(self.id.as_str()));
            if self.delivered.tokens > 0 {
                let resume = serde_json::json!({"tokens": self.delivered.tokens, "text": self.delivered.text});
                fields.insert("resume".into(), resume);
            }
        }
        body.to_string().into_bytes()
    }
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// The method.
    pub method: String,
    /// Path and query below the service's name, beginning with a slash.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// True if the request may be sent again after a failure.
    pub repeatable: bool,
}

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Bytes,
}
