//! One box of cleatshelf, put together: settings, the control thread, the traffic threads, the command line.
//!
//! The decisions are in `policy` and `fleet`; this crate gives them a clock, a network and threads.
//! One thread runs [`Control`] with all state that boxes share; the others move callers' bytes.

mod command;
mod control;
mod desk;
mod envelope;
mod operators;
pub mod router;
mod serve;
mod settings;
mod status;

pub use command::{route, run, Command};
pub use control::Control;
pub use desk::ControlDesk;
pub use envelope::Envelope;
pub use serve::serve;
pub use settings::{Link, Settings};
pub use status::{Explanation, Status};
