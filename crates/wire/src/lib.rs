//! Frames between boxes: `bincode` values on `h2` streams, proved by a shared key.
//!
//! A [`Link`] carries messages one way, from this box to one peer; the peer answers on its own link.
//! A [`Listener`] takes them in. A frame that is malformed, too large or not proved closes its stream,
//! is counted, and harms nothing else. This crate knows nothing of what the messages mean.

mod frame;
mod key;
mod link;
mod listener;

pub use frame::{Codec, Frame, FrameError, MAX_FRAME_BYTES};
pub use key::{Key, Session};
pub use link::Link;
pub use listener::Listener;

/// The version of frames and messages. Boxes of different versions don't talk.
pub const VERSION: u32 = 7;
