//! Where a request stands, as far as sending goes.

use policy::{Permit, Ran, Resend, Sent, Time, Unsent};

/// Where a request that holds no lease stands.
pub enum Stage {
    /// No byte of it can have reached an upstream.
    Unsent(Unsent),
    /// It may have run, and may be sent again.
    Resend(Resend),
}

impl Stage {
    /// Sends under `permit`.
    ///
    /// # Errors
    /// The same stage when the permit is too old.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Self> {
        match self {
            Self::Unsent(unsent) => unsent.send(permit, now).map_err(Self::Unsent),
            Self::Resend(resend) => resend.send(permit, now).map_err(Self::Resend),
        }
    }

    /// What is true of the request when it is given up here.
    #[must_use]
    pub fn refuse(self) -> Ran {
        match self {
            Self::Unsent(unsent) => unsent.refuse(),
            Self::Resend(resend) => resend.refuse(),
        }
    }

    /// The stage after a send that reached nobody.
    #[must_use]
    pub fn after_unreached(sent: Sent) -> Self {
        sent.connect_failed().map_or_else(Self::Resend, Self::Unsent)
    }
}
