//! Time that counts through a freeze.

use policy::Time;

/// Gives the time. A trait so that tests can freeze it.
pub trait Clock: Send + Sync {
    /// Milliseconds since some moment, counting while the machine or process is suspended.
    fn now(&self) -> Time;
}

/// The kernel's boot clock, which goes on counting while the machine sleeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Time(at.tv_sec as u64 * 1_000 + at.tv_nsec as u64 / 1_000_000)
    }
}
