//! Which boxes watch the publisher, and how all others hear of news within their bounds.
//!
//! Calls to the publisher are few and paid for, so that in each hall only some boxes watch; they send
//! what they learn to the hall's others, and tell watchers of other halls how new their knowledge is. A
//! box that hears no watcher watches by itself. [`Peers`] is a state machine without I/O and clock: it
//! takes messages and the time, and answers with [`Action`]s. It doesn't decide what news mean, and it is
//! no membership service: a box that others can't hear is merely not relied upon.

mod action;
mod member;
mod message;
mod missed_replies;
mod peers;
mod roster;
mod watch_role;

pub use action::Action;
pub use message::{Heartbeat, Message, Profile, Subject};
pub use missed_replies::MissedReplies;
pub use peers::{KnownVersions, Peers};
pub use roster::Roster;
pub use watch_role::WatchRole;

/// Milliseconds of a clock that never goes back.
pub type Millis = u64;
