//! What is asked of an upstream.

use bytes::Bytes;
use serde_json::Value;

/// Which of an engine's two endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// The path.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// What the caller already has of an answer that is to be resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// How many tokens, that is events.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// Which endpoint.
    pub endpoint: Endpoint,
    /// The caller's body, whole.
    pub body: Value,
    /// The answer's name, the same for every try.
    pub id: String,
    /// The class's rank: lower goes first.
    pub priority: u8,
    /// The request may be sent again after a failure.
    pub repeatable: bool,
    /// What the caller already has, empty at first.
    pub delivered: Delivered,
}

impl Call {
    /// The body as the engine gets it: always streamed, so that a break is noticed at once.
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
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The request may be sent again after a failure.
    pub repeatable: bool,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body, whole.
    pub body: Bytes,
}
