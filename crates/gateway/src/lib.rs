//! HTTP server for callers, with the API that language-model clients use.
//!
//! A request is identified and validated, acquires a lease from the control thread through [`ControlHandle`], and is
//! sent to the leased upstream, whose answer is forwarded. Each request ends with exactly one [`Outcome`]. This crate
//! has no knowledge of other boxes and makes no decisions about ordering or the choice of servers.

mod answer_assembler;
mod app;
mod body;
mod caller;
mod completion;
mod control;
mod guards;
mod hangup;
mod limits;
mod outcome;
mod problem;
mod request_driver;
mod request_metrics;
mod service;
mod stage;
mod token_timer;

pub use app::{configure, App};
pub use body::SMALL_BODY_BYTES;
pub use control::{ControlHandle, ControlRequest, LeaseGrant, Snapshot};
pub use hangup::Hangup;
pub use limits::Limits;
pub use outcome::Outcome;
pub use problem::{Code, Problem};

/// Request header with the class.
pub const CLASS_HEADER: &str = "cleatshelf-class";
/// Request header that marks a request as not repeatable, with the value `no`.
pub const REPEATABLE_HEADER: &str = "cleatshelf-repeatable";
/// Request header with the caller's key for a request that must not run twice.
pub const KEY_HEADER: &str = "cleatshelf-request-key";
/// Response header that states whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "cleatshelf-ran";
