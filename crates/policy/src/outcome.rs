//! States of a request, as types that allow only true claims about whether it ran.
//!
//! ```
//! use policy::{Permit, Time, Unsent};
//! let unsent = Unsent::new(false);
//! let sent = unsent.send(Permit::new(Time(1000)), Time(5)).expect("the permit is fresh");
//! // A request that isn't repeatable can't be sent again once it may have run.
//! assert!(sent.retry().is_err());
//! ```

use crate::Time;

/// The state of knowledge about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Returns the value of the header sent to callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Permission to send one request once. It cannot be cloned, and sending consumes it.
#[derive(Debug)]
pub struct Permit {
    /// After this time the slot may belong to another request.
    expires: Time,
}

/// The error for a permit that has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired;

/// A request of which no byte can have reached an upstream.
#[derive(Debug)]
pub struct Unsent {
    repeatable: bool,
}

/// A request of which a byte may have reached an upstream.
#[derive(Debug)]
pub struct Sent {
    repeatable: bool,
    /// Earlier sends that may have reached an upstream. 0 unless `repeatable`.
    earlier_sends: u32,
}

/// A repeatable request that may have run before and may be sent again.
#[derive(Debug)]
pub struct Resend {
    earlier_sends: u32,
}

impl Permit {
    /// Creates a permit that expires at `expires`, on a clock that keeps counting while the process is
    /// frozen.
    #[must_use]
    pub fn new(expires: Time) -> Self {
        Self { expires }
    }

    /// Consumes the permit, whether it is still valid or not.
    fn consume(self, now: Time) -> Result<(), Expired> {
        if now < self.expires {
            Ok(())
        } else {
            Err(Expired)
        }
    }
}

impl Unsent {
    /// Creates the state of a request that has just arrived.
    #[must_use]
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable }
    }

    /// Consumes the permit right before the first byte is sent.
    ///
    /// # Errors
    /// Returns the request unsent if the permit has expired.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Unsent> {
        match permit.consume(now) {
            Ok(()) => Ok(Sent { repeatable: self.repeatable, earlier_sends: 0 }),
            Err(Expired) => Err(self),
        }
    }

    /// Refuses the request, which did not run. Consumes it, so that it cannot be sent afterwards.
    #[must_use]
    pub fn refuse(self) -> Ran {
        Ran::No
    }
}

impl Sent {
    /// Records that no connection was made, so that no byte of this send reached an upstream.
    ///
    /// # Errors
    /// Returns a [`Resend`] if an earlier send may have reached an upstream.
    pub fn connect_failed(self) -> Result<Unsent, Resend> {
        if self.earlier_sends == 0 {
            Ok(Unsent { repeatable: self.repeatable })
        } else {
            Err(Resend { earlier_sends: self.earlier_sends })
        }
    }

    /// Allows another attempt, for repeatable requests only.
    ///
    /// # Errors
    /// Returns the request if it is not repeatable.
    pub fn retry(self) -> Result<Resend, Sent> {
        if self.repeatable {
            Ok(Resend { earlier_sends: self.earlier_sends + 1 })
        } else {
            Err(self)
        }
    }

    /// Ends a request that was sent. It ran if its upstream answered, else that is unknown.
    #[must_use]
    pub fn finish(self, answered: bool) -> Ran {
        if answered {
            Ran::Yes
        } else {
            Ran::Unknown
        }
    }
}

impl Resend {
    /// Consumes the permit right before the first byte is sent again.
    ///
    /// # Errors
    /// Returns the request if the permit has expired.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Resend> {
        match permit.consume(now) {
            Ok(()) => Ok(Sent { repeatable: true, earlier_sends: self.earlier_sends }),
            Err(Expired) => Err(self),
        }
    }

    /// Refuses the request after an attempt that may have run.
    #[must_use]
    pub fn refuse(self) -> Ran {
        Ran::Unknown
    }
}
