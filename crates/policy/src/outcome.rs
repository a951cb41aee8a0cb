//! What may truthfully be said of a request, as types.
//!
//! ```
//! use policy::{Permit, Time, Unsent};
//! let unsent = Unsent::new(false);
//! let sent = unsent.send(Permit::new(Time(1000)), Time(5)).expect("the permit is fresh");
//! // A request that isn't repeatable can't be sent again once it may have run.
//! assert!(sent.retry().is_err());
//! ```

use crate::Time;

/// Whether a request ran, as far as anyone can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It certainly didn't.
    No,
    /// It did.
    Yes,
    /// It may have.
    Unknown,
}

impl Ran {
    /// The word used in the header towards callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Leave to send one request once. It can't be cloned, and sending consumes it.
#[derive(Debug)]
pub struct Permit {
    /// After this moment the slot may belong to somebody else.
    expires: Time,
}

/// The permit was too old to be used.
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
    /// Sends before this one that may have reached an upstream. 0 unless `repeatable`.
    earlier_sends: u32,
}

/// A repeatable request that may have run before and may be sent again.
#[derive(Debug)]
pub struct Resend {
    earlier_sends: u32,
}

impl Permit {
    /// A permit that ends at `expires`, on the clock that counts through a freeze.
    #[must_use]
    pub fn new(expires: Time) -> Self {
        Self { expires }
    }

    /// Consumes the permit, whether it was still good or not.
    fn consume(self, now: Time) -> Result<(), Expired> {
        if now < self.expires {
            Ok(())
        } else {
            Err(Expired)
        }
    }
}

impl Unsent {
    /// A request that has just come in.
    #[must_use]
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable }
    }

    /// Consumes the permit right before the first byte goes out.
    ///
    /// # Errors
    /// Gives the request back unsent when the permit has expired.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Unsent> {
        match permit.consume(now) {
            Ok(()) => Ok(Sent { repeatable: self.repeatable, earlier_sends: 0 }),
            Err(Expired) => Err(self),
        }
    }

    /// What is true of this request: it did not run. Consumes it, so it can't be sent afterwards.
    #[must_use]
    pub fn refuse(self) -> Ran {
        Ran::No
    }
}

impl Sent {
    /// The connection was never made, so no byte of this send reached anybody.
    ///
    /// # Errors
    /// Gives a [`Resend`] where an earlier send may have reached an upstream.
    pub fn connect_failed(self) -> Result<Unsent, Resend> {
        if self.earlier_sends == 0 {
            Ok(Unsent { repeatable: self.repeatable })
        } else {
            Err(Resend { earlier_sends: self.earlier_sends })
        }
    }

    /// Another try, which only a repeatable request gets.
    ///
    /// # Errors
    /// Gives the request back when it isn't repeatable.
    pub fn retry(self) -> Result<Resend, Sent> {
        if self.repeatable {
            Ok(Resend { earlier_sends: self.earlier_sends + 1 })
        } else {
            Err(self)
        }
    }

    /// What is true of a request that was sent: its upstream's answer says yes, silence says unknown.
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
    /// Consumes the permit right before the first byte goes out again.
    ///
    /// # Errors
    /// Gives the request back when the permit has expired.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Resend> {
        match permit.consume(now) {
            Ok(()) => Ok(Sent { repeatable: true, earlier_sends: self.earlier_sends }),
            Err(Expired) => Err(self),
        }
    }

    /// What is true of a request given up on after a try that may have run.
    #[must_use]
    pub fn refuse(self) -> Ran {
        Ran::Unknown
    }
}
