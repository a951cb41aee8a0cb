//! Boxes and their membership state.

use catalog::BoxId;
use policy::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a box, and the address where it listens for other boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The box's name, unique over all halls.
    pub name: String,
    /// Hall in which the box is.
    pub hall: String,
    /// Address where it listens for other boxes.
    pub address: SocketAddr,
}

impl Peer {
    /// Returns the box's ID, which is derived from its name.
    #[must_use]
    pub fn id(&self) -> BoxId {
        BoxId::of(&self.name)
    }
}

/// Membership state of a box. At equal incarnation, the later state in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The box answers probes.
    Alive,
    /// The box did not answer probes. It may refute this.
    Suspect,
    /// The box is considered gone.
    Dead,
    /// The box, or the platform's list, has announced that it is leaving. Takes precedence over all other
    /// states.
    Leaving,
}

/// A box and its membership state.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identity and address of the box.
    pub peer: Peer,
    /// The address is from the settings and is not changed by updates.
    pub address_fixed: bool,
    /// Membership state of the box.
    pub state: State,
    /// Incremented by the box itself each time it starts or refutes a wrong state.
    pub incarnation: u32,
    /// Time at which `state` was entered.
    pub since: Time,
    /// A message was received from it directly since this box started or resumed.
    pub contacted: bool,
    /// Time of the last message received from it directly.
    pub last_contact: Time,
}
