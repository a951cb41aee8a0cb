//! Passes callers' requests to servers and the answers back.
//!
//! A [`Front`] takes callers' connections. Each request becomes an exchange: it finds its route,
//! is sent to one server after another within its bounds, and ends with one outcome. What headers
//! are called is behind [`HeaderCodec`]; which server is chosen is decided in `placement`.
//!
//! `hyper`'s low-level client and server are used in place of `awc` and `actix-web`: these hide
//! whether a request's bytes left, reuse connections without saying so, and go on with a request
//! whose caller has left.

mod answer;
mod attempt;
mod choose;
mod connect_timeout;
mod connections;
mod crash;
mod ending;
mod event_splitter;
mod exchange;
mod frontend;
mod header_codec;
mod liveness;
mod outcome;
mod owner_requests;
mod peer_client;
mod readiness;
mod resettable_stream;
mod server_hints;
mod shared;
mod stream_forwarder;
mod suspects;
mod timing;

pub use connect_timeout::ConnectTimeout;
pub use event_splitter::EventSplitter;
pub use frontend::Frontend;
pub use header_codec::{Call, Dispatch, HeaderCodec, Notice, UnknownHeader, Verdict};
pub use liveness::enable_dead_peer_detection;
pub use outcome::Outcome;
pub use peer_client::PeerClient;
pub use readiness::ReadinessServer;
pub use shared::{Dependencies, Shared, View};

/// The body of an answer to a caller.
pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, TruncatedAnswer>;

/// The answer breaks off: the caller's connection is closed so that it can't look whole.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedAnswer;

impl std::fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for TruncatedAnswer {}
