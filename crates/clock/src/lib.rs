//! Time that counts while the machine is suspended.
//!
//! A [`Clock`] is for each span that somebody outside this process relies on: time that a server may take, leave for a send, how
//! long a connection rests, when news was heard. The steady clock of the standard library stands still during a suspension, and
//! is for waits within this process only.

mod clock;

pub use clock::{BootClock, Clock};
