//! The machine that a box runs on.

use clock::{BootClock, Clock};
use relay::{Network, TcpNetwork};
use std::sync::Arc;

/// What a box uses of its machine.
#[derive(Clone)]
pub struct Host {
    /// Clock that advances while the machine is suspended.
    pub clock: Arc<dyn Clock>,
    /// Opens connections to servers.
    pub network: Arc<dyn Network>,
}

impl Default for Host {
    fn default() -> Self {
        Self { clock: Arc::new(BootClock), network: Arc::new(TcpNetwork) }
    }
}
