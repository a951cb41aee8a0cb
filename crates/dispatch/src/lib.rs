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
mod server;
mod service;

pub use dispatcher::{Dispatcher, Reply, ServerSlots, Summary};
pub use message::{SlotEnding, SlotRelease, SlotReply, SlotRequest};
pub use promises::{Promises, EARLY_TOLERANCE};

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
