//! A box that routes according to a platform's configuration.
//!
//! Its control thread follows the platform and the other boxes, and puts configurations and servers in
//! force; its traffic threads run `relay`. The `serve` command runs a different kind of box, with the
//! product's own interface and other files.

mod cluster_state;
mod codec;
mod follower;
mod host;
mod operators;
mod owner_service;
mod peering;
mod port;
mod reload;
mod serve;
mod settings;
mod slot_assignment;

pub use host::Host;
pub use serve::serve;
pub use settings::Settings;
pub use slot_assignment::{SlotAction, SlotAssignment};
