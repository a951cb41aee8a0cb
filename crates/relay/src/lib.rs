//! Forwards callers' requests to servers and the answers back.
//!
//! A [`Frontend`] accepts callers' connections. Each request becomes an exchange: it is matched to a route, sent to one
//! or more servers within the limits of that route, and finishes with exactly one outcome. A [`HeaderCodec`] reads and
//! writes the headers; the `placement` crate chooses the server.
//!
//! This crate uses `hyper`'s low-level client and server instead of `awc` and `actix-web`. Those don't report whether
//! any byte of a request was sent, reuse connections transparently, and continue a request after its caller has
//! disconnected.

mod answer;
mod answer_memory;
mod attempt;
mod body_reader;
mod caller;
mod caller_body;
mod caller_stream;
mod callers;
mod choose;
mod connect_error;
mod connect_timeout;
mod connections;
mod crash;
mod dialer;
mod ending;
mod event_splitter;
mod exchange;
mod exchange_state;
mod framing;
mod frontend;
mod header_codec;
mod intake;
mod liveness;
mod network;
mod not_sent;
mod outcome;
mod owner_requests;
mod peer_client;
mod readiness;
mod request_body;
mod request_memory;
mod resettable_stream;
mod retry_delay;
mod server_hints;
mod shared;
mod slot;
mod slot_guard;
mod stream_forwarder;
mod suspects;
mod take_up;
mod timing;
mod tunnel_boxes;
mod tunnel_connector;
mod uploads;

pub use answer_memory::AnswerMemory;
pub use caller::{Caller, RequestGuard};
pub use callers::{CallerGuard, Callers};
pub use connect_timeout::ConnectTimeout;
pub use event_splitter::EventSplitter;
pub use frontend::Frontend;
pub use header_codec::{Call, Dispatch, HeaderCodec, Notice, UnknownHeader, Verdict};
pub use intake::Intake;
pub use liveness::{enable_dead_peer_detection, enable_dead_server_detection};
pub use memory::Reservation;
pub use network::{Network, TcpNetwork};
pub use outcome::Outcome;
pub use peer_client::{DispatcherState, PeerClient};
pub use readiness::ReadinessServer;
pub use request_body::{BodyBuffer, OutgoingBody, RequestBody};
pub use request_memory::RequestMemory;
pub use retry_delay::{Cause, Queue, Returns, Turn};
pub use shared::{Dependencies, Shared, View};
pub use tunnel_boxes::TunnelBoxes;

/// The body of a response to a caller.
pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, TruncatedAnswer>;

/// Body error that closes the caller's connection, so that a truncated answer can't be taken for a complete one.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedAnswer;

impl std::fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer truncated")
    }
}

impl std::error::Error for TruncatedAnswer {}
