//! A complete box of cleatshelf: settings, the control thread, the traffic threads and the command line.
//!
//! The decisions are made in `policy` and `fleet`; this crate provides their clock, network and threads.
//! One thread runs [`Control`], which holds the state shared between boxes; the other threads proxy callers' traffic.

mod command;
mod control;
mod control_handle;
mod envelope;
mod operators;
pub mod router;
mod serve;
mod settings;
mod status;

pub use command::{route, run, Command};
pub use control::Control;
pub use control_handle::ActorControlHandle;
pub use envelope::Envelope;
pub use serve::serve;
pub use settings::{Link, Settings};
pub use status::{Explanation, Status};
