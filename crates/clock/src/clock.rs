//! The clock interface and its implementation by the kernel's boot clock.

/// A source of time. A trait, so that tests can substitute a clock that jumps.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary moment, including time during which the machine or process
    /// was suspended. Never decreases.
    fn now(&self) -> u64;
}

/// The kernel's boot clock, which keeps counting while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> u64 {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        at.tv_sec as u64 * 1_000 + at.tv_nsec as u64 / 1_000_000
    }
}
