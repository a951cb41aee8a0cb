//! What a caller is told when it gets no answer.

use crate::{Outcome, RAN_HEADER};
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use policy::{Ran, Reason, Refusal};
use serde_json::{json, Value};

/// The stable code of a problem. Codes never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// No customer has this API key.
    InvalidApiKey,
    /// The body is no JSON object.
    InvalidJson,
    /// A field is missing or makes no sense.
    InvalidRequest,
    /// No upstream serves this model or service.
    NotFound,
    /// No class has this name.
    UnknownClass,
    /// The class isn't allowed to the customer.
    ClassNotAllowed,
    /// The body is larger than this box takes.
    BodyTooLarge,
    /// The body didn't come in time.
    BodyTooSlow,
    /// The customer's limit is reached.
    CustomerLimit,
    /// The box has no release, is stopping, or has too many requests.
    NotReady,
    /// The target can't be met now.
    Overloaded,
    /// No server for it is in service.
    NoServer,
    /// A request with this key was delivered before.
    KeyUsed,
    /// Nobody can say whether a request with this key was delivered before.
    KeyUnproved,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream answered with an error of its own.
    UpstreamRefused,
}

impl Code {
    /// The code as callers see it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidApiKey => "invalid_api_key",
            Self::InvalidJson => "invalid_json",
            Self::InvalidRequest => "invalid_request",
            Self::NotFound => "not_found",
            Self::UnknownClass => "unknown_class",
            Self::ClassNotAllowed => "class_not_allowed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::CustomerLimit => "customer_limit",
            Self::NotReady => "not_ready",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no_server",
            Self::KeyUsed => "request_key_used",
            Self::KeyUnproved => "request_key_unproved",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamRefused => "upstream_refused",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::InvalidApiKey => StatusCode::UNAUTHORIZED,
            Self::InvalidJson | Self::InvalidRequest | Self::UnknownClass => StatusCode::BAD_REQUEST,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::ClassNotAllowed => StatusCode::FORBIDDEN,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::Overloaded | Self::NoServer => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyUsed | Self::KeyUnproved => StatusCode::CONFLICT,
            Self::UpstreamFailed | Self::UpstreamRefused => StatusCode::BAD_GATEWAY,
        }
    }

    fn is_caller_error(self) -> bool {
        self.status().is_client_error() && self != Self::CustomerLimit
    }
}

/// What a caller is told when it gets no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// A sentence for a person.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    pub retry_ms: Option<u32>,
    /// An upstream's own error: status and body, passed on as they are.
    pub upstream_answer: Option<(u16, Vec<u8>)>,
}

impl Problem {
    /// A problem found before anything was sent.
    #[must_use]
    pub fn before_send(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), ran: Ran::No, retry_ms: None, upstream_answer: None }
    }

    /// A problem of a request that was sent.
    #[must_use]
    pub fn after_send(code: Code, message: impl Into<String>, ran: Ran) -> Self {
        Self { code, message: message.into(), ran, retry_ms: None, upstream_answer: None }
    }

    /// A refusal by the decisions; `ran` comes from the request's state.
    #[must_use]
    pub fn refused(refusal: Refusal, ran: Ran) -> Self {
        let (code, message) = match refusal.reason {
            Reason::Infeasible => (Code::Overloaded, "the class's target can't be met now"),
            Reason::Late => (Code::Overloaded, "the request has waited too long"),
            Reason::QueueFull => (Code::Overloaded, "the class's queue is full"),
            Reason::Limit => (Code::CustomerLimit, "the customer's limit is reached"),
            Reason::NoServer => (Code::NoServer, "no server for this is in service"),
            Reason::NotReady => (Code::NotReady, "this box takes no requests now"),
            Reason::NoBudget => (Code::UpstreamFailed, "the upstream failed and the budget for retries is spent"),
        };
        Self { code, message: message.into(), ran, retry_ms: Some(refusal.retry_ms), upstream_answer: None }
    }

    /// Adds when to come back, in milliseconds.
    #[must_use]
    pub fn with_retry_ms(mut self, ms: u32) -> Self {
        self.retry_ms = Some(ms);
        self
    }

    /// How the request counts.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.ran {
            Ran::No if self.code.is_caller_error() => Outcome::Wrong,
            Ran::No => Outcome::NotRun,
            Ran::Yes | Ran::Unknown => Outcome::Failed,
        }
    }

    /// The ecosystem's error object.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({"error": {
            "message": self.message,
            "type": if self.code.is_caller_error() { "invalid_request_error" } else { "server_error" },
            "param": null,
            "code": self.code.as_str(),
            "ran": self.ran.as_str(),
        }})
    }

    /// The whole response.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        let upstream_answer = self.upstream_answer.as_ref();
        let status = upstream_answer.and_then(|(status, _)| StatusCode::from_u16(*status).ok());
        let mut builder = HttpResponse::build(status.unwrap_or_else(|| self.code.status()));
        builder.insert_header((RAN_HEADER, self.ran.as_str()));
        if let Some(ms) = self.retry_ms {
            builder.insert_header(("retry-after", ms.div_ceil(1_000).to_string()));
            builder.insert_header(("retry-after-ms", ms.to_string()));
        }
        match upstream_answer {
            Some((_, body)) => builder.content_type("application/json").body(body.clone()),
            None => builder.json(self.body()),
        }
    }

    /// The event that tells of a problem in a stream that has already begun.
    #[must_use]
    pub fn event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.body())
    }
}
