//! How boxes know each other and share what the operators published, without any store.
//!
//! [`Probe`] finds out who is alive at a cost per box that doesn't grow with the fleet. [`Spread`]
//! carries releases from the few boxes that read the platform to all others and never goes back.
//! Both are plain state machines: messages and time in, actions out. How requests are decided is
//! `policy`'s matter; how messages travel is `wire`'s.

mod action;
mod member;
mod message;
mod probe;
mod rumour;
mod spread;

pub use action::Action;
pub use member::{Member, Peer, State};
pub use message::{Change, Delta, Message, REASON_MOST};
pub use probe::{Probe, Timing};
pub use spread::{watchers, Refused, Spread, WATCHERS};
