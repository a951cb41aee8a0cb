//! Membership and distribution of releases among boxes, without a store.
//!
//! [`FailureDetector`] determines which boxes are alive, at a cost per box that doesn't grow with the fleet.
//! [`ReleaseSync`] distributes releases from the few boxes that read the platform to all others, and never
//! returns to an older release. Both are plain state machines that take messages and the time, and return
//! actions. Requests are scheduled in `policy`, and messages are transported by `wire`.

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
