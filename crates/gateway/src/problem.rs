//! Error responses to callers.

use crate::{Outcome, RAN_HEADER};
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use policy::{Ran, Reason, Refusal};
use serde_json::{json, Value};

/// Stable code of a problem. The meaning of a code never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// No customer has this API key.
    InvalidApiKey,
    /// The body isn't a JSON object.
    InvalidJson,
    /// A field is missing or invalid.
    InvalidRequest,
    /// No upstream serves this model or service.
    NotFound,
    /// No class has this name.
    UnknownClass,
    /// The customer may not use this class.
    ClassNotAllowed,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body was not received within the time limit.
    BodyTooSlow,
    /// The customer's limit is reached.
    CustomerLimit,
    /// The box has no release, is stopping, or has too many requests.
    NotReady,
    /// The class's latency target can't be met at present.
    Overloaded,
    /// No suitable server is in service.
    NoServer,
    /// A request with this key was delivered before.
    KeyUsed,
    /// It is unknown whether a request with this key was delivered before.
    KeyUnproved,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream answered with an error of its own.
    UpstreamRefused,
}

impl Code {
    /// Returns the code as sent to callers.
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

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Stable code.
    pub code: Code,
    /// Human-readable message.
    pub message: String,
    /// Execution state of the request: it ran, did not run, or that is unknown.
    pub ran: Ran,
    /// Delay after which the caller may retry.
    pub retry_ms: Option<u32>,
    /// Status and body of an upstream's own error, forwarded unchanged.
    pub upstream_answer: Option<(u16, Vec<u8>)>,
}

impl Problem {
    /// Creates a problem found before anything was sent.
    #[must_use]
    pub fn before_send(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), ran: Ran::No, retry_ms: None, upstream_answer: None }
    }

    /// Creates a problem of a request that was sent.
    #[must_use]
    pub fn after_send(code: Code, message: impl Into<String>, ran: Ran) -> Self {
        Self { code, message: message.into(), ran, retry_ms: None, upstream_answer: None }
    }

    /// Creates the problem for a refusal by the `policy` crate; `ran` comes from the request's state.
    #[must_use]
    pub fn refused(refusal: Refusal, ran: Ran) -> Self {
        let (code, message) = match refusal.reason {
            Reason::Infeasible => (Code::Overloaded, "the class's latency target can't be met at present"),
            Reason::Late => (Code::Overloaded, "the request has waited too long"),
            Reason::QueueFull => (Code::Overloaded, "the class's queue is full"),
            Reason::Limit => (Code::CustomerLimit, "the customer's limit is reached"),
            Reason::NoServer => (Code::NoServer, "no suitable server is in service"),
            Reason::NotReady => (Code::NotReady, "this box accepts no requests at present"),
            Reason::NoBudget => (Code::UpstreamFailed, "the upstream failed and the retry budget is exhausted"),
        };
        Self { code, message: message.into(), ran, retry_ms: Some(refusal.retry_ms), upstream_answer: None }
    }

    /// Adds a retry delay.
    #[must_use]
    pub fn with_retry_ms(mut self, ms: u32) -> Self {
        self.retry_ms = Some(ms);
        self
    }

    /// Returns the outcome that the request is counted under.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.ran {
            Ran::No if self.code.is_caller_error() => Outcome::CallerError,
            Ran::No => Outcome::NotRun,
            Ran::Yes | Ran::Unknown => Outcome::Failed,
        }
    }

    /// Returns the error object in the format of the language-model API.
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

    /// Returns the HTTP response.
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

    /// Returns the event that reports the problem in a stream that has already begun.
    #[must_use]
    pub fn event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.body())
    }
}
