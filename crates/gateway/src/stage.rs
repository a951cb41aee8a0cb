//! Send state of a request between leases.

use policy::{Permit, Ran, Resend, Sent, Time, Unsent};

/// Send state of a request that holds no lease.
pub enum Stage {
    /// No byte can have reached an upstream.
    Unsent(Unsent),
    /// The request may have run, and may be sent again.
    Resend(Resend),
}

impl Stage {
    /// Sends under `permit`.
    ///
    /// # Errors
    /// Returns the unchanged stage if the permit has expired.
    pub fn send(self, permit: Permit, now: Time) -> Result<Sent, Self> {
        match self {
            Self::Unsent(unsent) => unsent.send(permit, now).map_err(Self::Unsent),
            Self::Resend(resend) => resend.send(permit, now).map_err(Self::Resend),
        }
    }

    /// Gives the request up and returns whether it ran.
    #[must_use]
    pub fn refuse(self) -> Ran {
        match self {
            Self::Unsent(unsent) => unsent.refuse(),
            Self::Resend(resend) => resend.refuse(),
        }
    }

    /// Returns the stage after a send that reached no server.
    #[must_use]
    pub fn after_unreached(sent: Sent) -> Self {
        sent.connect_failed().map_or_else(Self::Resend, Self::Unsent)
    }
}
