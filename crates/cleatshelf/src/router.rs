//! One box that routes by the configuration of a platform.
//!
//! Its control thread follows the platform and the other boxes and puts configurations and servers in
//! force; its traffic threads run `relay`. The product's own interface (`serve`) is beside it and uses
//! other files.

mod advice;
mod follow;
mod knowledge;
mod operators;
mod packing;
mod peering;
mod reload;
mod serve;
mod settings;

pub use serve::serve;
pub use settings::Settings;
