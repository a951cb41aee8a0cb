//! Election of the boxes that watch the publisher, and distribution of updates to all other boxes.
//!
//! Calls to the publisher are billed and must be few, so only some boxes of each hall watch it. Watchers send
//! updates to the other boxes of their hall, and announce the versions they have to watchers of other halls.
//! A box that receives no watcher's heartbeats starts to watch by itself. [`Peers`] is a state machine
//! without I/O or clock: it takes messages and the time, and returns [`Action`]s. It doesn't interpret
//! updates. A box that can't be reached is not relied upon for updates at once, and no longer counted as a member once
//! it has left or has been silent for long.

mod action;
mod member;
mod message;
mod missed_replies;
mod peers;
mod roster;
mod status;
mod watch_role;

pub use action::Action;
pub use message::{Heartbeat, Message, Profile, Subject};
pub use missed_replies::MissedReplies;
pub use peers::{KnownVersions, Peers};
pub use roster::Roster;
pub use status::Status;
pub use watch_role::WatchRole;

/// A time in milliseconds, of a clock that never decreases.
pub type Millis = u64;
