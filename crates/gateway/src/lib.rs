//! HTTP towards callers, in the shape that language-model clients already speak.
//!
//! A request is identified, checked, put before the control thread through [`ControlHandle`], sent to the
//! upstream that the lease names, and its answer is passed on. Each request ends with one
//! [`Outcome`]. This crate knows nothing of other boxes and decides nothing about order or servers.

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
pub use control::{ControlHandle, ControlRequest, LeaseGrant, Snapshot};
pub use hangup::Hangup;
pub use limits::Limits;
pub use outcome::Outcome;
pub use problem::{Code, Problem};

/// Request header that names the class.
pub const CLASS_HEADER: &str = "cleatshelf-class";
/// Request header that marks a request as not to be repeated, with the value `no`.
pub const REPEATABLE_HEADER: &str = "cleatshelf-repeatable";
/// Request header with the caller's key for a request that must not run twice.
pub const KEY_HEADER: &str = "cleatshelf-request-key";
/// Response header that says whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "cleatshelf-ran";
