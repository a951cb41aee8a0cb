//! How boxes know each other and share what the operators published, without any store.
//!
//! [`FailureDetector`] finds out who is alive at a cost per box that doesn't grow with the fleet.
//! [`ReleaseSync`] carries releases from the few boxes that read the platform to all others and never goes
//! back. Both are plain state machines: messages and time in, actions out. How requests are decided is
//! `policy`'s matter; how messages travel is `wire`'s.

mod action;
mod failure_detector;
mod gossip;
mod member;
mod message;
mod release_sync;

pub use action::Action;
pub use failure_detector::{FailureDetector, ProbeTiming};
pub use member::{Member, Peer, State};
pub use message::{Change, Delta, Message, MAX_REASON_CHARS};
pub use release_sync::{watchers, RefusedRelease, ReleaseSync, WATCHERS_PER_HALL};
