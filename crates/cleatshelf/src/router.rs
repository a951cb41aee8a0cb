//! A box that routes according to a platform's configuration.
//!
//! Its control thread follows the platform and the other boxes, and puts configurations and servers in
//! force; its traffic threads run `relay`. The `serve` command runs a different kind of box, with the
//! product's own interface and other files.

mod advice;
mod codec;
mod follow;
mod knowledge;
mod operators;
mod peering;
mod reload;
mod serve;
mod settings;

pub use serve::serve;
pub use settings::Settings;
