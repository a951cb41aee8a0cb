//! Boxes and what is known of them.

use catalog::BoxId;
use policy::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who a box is and where it listens for other boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The box's name, unique over all halls.
    pub name: String,
    /// The hall it stands in.
    pub hall: String,
    /// Where it listens for other boxes.
    pub address: SocketAddr,
}

impl Peer {
    /// The box's short name.
    #[must_use]
    pub fn id(&self) -> BoxId {
        BoxId::of(&self.name)
    }
}

/// What is believed of a box. At equal incarnation the later one in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It didn't answer; it may say otherwise.
    Suspect,
    /// It is taken as gone.
    Dead,
    /// It said, or the platform's list says, that it is leaving. Wins over all others.
    Leaving,
}

/// A box and what is believed of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub peer: Peer,
    /// The settings name its address, which no news changes.
    pub address_fixed: bool,
    /// What is believed of it.
    pub state: State,
    /// Rises each time the box starts or speaks up against a wrong belief; only the box raises it.
    pub incarnation: u32,
    /// When `state` was entered.
    pub since: Time,
    /// It was heard from directly since this box started or woke.
    pub contacted: bool,
    /// When it was last heard from directly.
    pub last_contact: Time,
}
