//! Time that keeps counting while the machine is suspended.
//!
//! A [`Clock`] measures every duration that another process relies on: server timeouts, the validity of send
//! permits, the idle time of connections, the age of updates. The monotonic clock of the standard library
//! stops during a suspension and is only used for waits within this process.

mod clock;

pub use clock::{BootClock, Clock};
