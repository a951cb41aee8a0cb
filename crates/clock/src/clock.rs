//! The clock and its stand-in's border.

/// Gives the time. A trait so that tests can make it jump.
pub trait Clock: Send + Sync {
    /// Milliseconds since some moment, counting while the machine or process is suspended. Never goes back.
    fn now(&self) -> u64;
}

/// The kernel's boot clock, which goes on counting while the machine sleeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> u64 {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        at.tv_sec as u64 * 1_000 + at.tv_nsec as u64 / 1_000_000
    }
}
