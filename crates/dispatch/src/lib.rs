//! Hands out the slots of scarce servers to all boxes of a region.
//!
//! One box runs the [`Dispatcher`] of a service. Other boxes send it a [`SlotRequest`] before each send and a
//! [`SlotRelease`] after it. The crate does no I/O and reads no clock: time is an argument.

mod boxes;
mod dispatcher;
mod ended;
mod forecast;
mod message;
mod promises;
mod queue;
mod reply;
mod server;
mod service;
mod summary;

pub use dispatcher::Dispatcher;
pub use message::{SlotEnding, SlotRelease, SlotReply, SlotRequest};
pub use promises::{Promises, EARLY_TOLERANCE, MAX_WAIT_RATIO};
pub use reply::Reply;
pub use summary::{ServerSlots, Summary};

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
