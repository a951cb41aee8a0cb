//! Authenticated frames between boxes: `bincode` messages on `h2` streams, with a shared key.
//!
//! A [`Link`] carries messages in one direction, from this box to one peer; the peer replies on its own link. A
//! [`Listener`] receives them. A frame that is malformed, too large or not authenticated closes its own stream and is
//! counted; other streams aren't affected. This crate has no knowledge of the messages' contents.

mod frame;
mod key;
mod link;
mod listener;

pub use frame::{Codec, Frame, FrameError, MAX_FRAME_BYTES};
pub use key::{Key, Session};
pub use link::Link;
pub use listener::Listener;

/// Version of frames and messages. Boxes with different versions refuse each other's links.
pub const VERSION: u32 = 12;
