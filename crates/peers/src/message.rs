//! Messages between boxes.

use crate::Roster;
use routing::{Digests, Evacuations, Position};
use serde::{Deserialize, Serialize};

/// The data that can be requested from another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The configuration as published.
    Table,
    /// The list of servers.
    Directory,
    /// The boxes known.
    Members,
    /// Suspect requests, which appear to terminate the servers that run them.
    Suspects,
    /// Notices that servers gave about themselves.
    Notices,
}

/// Announces that the sender is alive, the versions it has, and whether it watches the publisher successfully.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub profile: Profile,
    /// True while the sender watches the publisher and its last call succeeded.
    pub watches: bool,
    /// Version of its configuration; 0 for none.
    pub table: u64,
    /// Position at which that configuration was still the latest; [`Position::NONE`] if unknown.
    pub table_until: Position,
    /// Position of its list of servers.
    pub directory: Position,
    /// Evacuated halls that it knows.
    pub evacuations: Evacuations,
    /// Digest of the lives of boxes that it counts on.
    pub members: u32,
    /// Digest of the suspect requests that it knows.
    pub suspects: u64,
    /// Digest of the server notices that it knows and that are not part of the servers' entries.
    pub notices: u64,
}

/// Properties that a box announces to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Its hall.
    pub hall: String,
    /// Its capacity to serve other boxes. Boxes with a higher capacity are preferred as watchers.
    pub capacity: u32,
    /// Port at its address at which it opens connections to servers for other boxes; 0 if it opens none.
    pub tunnel_port: u16,
    /// Distinguishes the lives of the box at one address: the Unix time of its start in milliseconds, or a later
    /// number, with which it contradicts reports that this life is silent or has left.
    pub incarnation: u64,
}

/// A message between two boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces a box that wants to receive updates.
    Hello {
        /// The sender.
        profile: Profile,
        /// Digest of the lives of boxes that it counts on.
        members: u32,
    },
    /// Bootstrap message, which announces the sender's versions to a new box so that it need not read the
    /// publisher.
    Welcome {
        /// Version of the sender's configuration; 0 for none.
        table: u64,
        /// Position of its list of servers.
        directory: Position,
        /// Evacuated halls that it knows.
        evacuations: Evacuations,
    },
    /// Heartbeat of a watcher.
    Heartbeat(Heartbeat),
    /// Requests data from the receiver.
    Want(Subject),
    /// What the sender knows about boxes, itself included.
    Members(Roster),
    /// A configuration as published.
    Table(Vec<u8>),
    /// Requests the parts that the sender's list of servers, with these digests, lacks.
    Lacking(Digests),
    /// The encoded response: parts of a list of servers.
    Excerpt(Vec<u8>),
    /// Changes to the list of servers after `since` and up to `until`, which are of the same era.
    Changes {
        /// Position of the list to which the changes apply.
        since: Position,
        /// Position of the list after the changes.
        until: Position,
        /// The encoded changes, in order.
        packed: Vec<u8>,
    },
    /// The sender is shutting down.
    Leave {
        /// Its incarnation.
        incarnation: u64,
    },
}
