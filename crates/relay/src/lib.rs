//! Passes callers' requests to servers and the answers back.
//!
//! A [`Front`] takes callers' connections. Each request becomes an exchange: it finds its route,
//! is sent to one server after another within its bounds, and ends with one outcome. What headers
//! are called is behind [`Dialect`]; which server is chosen is decided in `placement`.
//!
//! `hyper`'s low-level client and server are used in place of `awc` and `actix-web`: these hide
//! whether a request's bytes left, reuse connections without saying so, and go on with a request
//! whose caller has left.

mod advisor;
mod answer;
mod attempt;
mod channel;
mod choosing;
mod connections;
mod consult;
mod crash;
mod dialect;
mod ending;
mod events;
mod exchange;
mod front;
mod handshake;
mod liveness;
mod noticed;
mod outcome;
mod pump;
mod ready;
mod shared;
mod suspects;
mod timing;

pub use advisor::Advisor;
pub use dialect::{Call, Dialect, Dispatch, Notice, Unknown, Verdict};
pub use events::Events;
pub use front::Front;
pub use handshake::Handshake;
pub use liveness::notice_death;
pub use outcome::Outcome;
pub use ready::Ready;
pub use shared::{Parts, Shared, View};

/// The body of an answer to a caller.
pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, Broken>;

/// The answer breaks off: the caller's connection is closed so that it can't look whole.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}
