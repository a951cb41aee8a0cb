//! What boxes say to each other.

use crate::Roster;
use routing::{Digests, Evacuations, Position};
use serde::{Deserialize, Serialize};

/// What may be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The configuration as published.
    Table,
    /// The list of servers.
    Directory,
    /// The boxes known.
    Members,
    /// Requests that end servers.
    Suspects,
    /// What servers said of themselves.
    Notices,
}

/// Says that the sender lives, what it knows, and whether it can be relied upon for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub profile: Profile,
    /// True while the sender watches the publisher and its last call succeeded.
    pub watches: bool,
    /// Version of the configuration that it has; 0 for none.
    pub table: u64,
    /// Where in the publisher's history that was still the newest; none when it doesn't know.
    pub table_until: Position,
    /// Position of its list of servers.
    pub directory: Position,
    /// The evacuated halls that it knows of.
    pub evacuations: Evacuations,
    /// Digest of the boxes that it knows.
    pub members: u32,
    /// Digest of the requests that it knows to end servers.
    pub suspects: u64,
    /// Digest of what servers said of themselves and their entries don't say.
    pub notices: u64,
}

/// What boxes say of themselves when they meet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Its hall.
    pub hall: String,
    /// How much it can do for others; boxes with more watch first.
    pub capacity: u32,
}

/// A message between two boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A box is there and wants to hear of news.
    Hello {
        /// The sender.
        profile: Profile,
        /// Digest of the boxes that it knows.
        members: u32,
    },
    /// Tells a box that has just come how new the sender's knowledge is, so that it need not read the
    /// publisher.
    Welcome {
        /// Version of the sender's configuration; 0 for none.
        table: u64,
        /// Position of its list of servers.
        directory: Position,
        /// The evacuated halls that it knows of.
        evacuations: Evacuations,
    },
    /// A watcher's heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for what the receiver has.
    Want(Subject),
    /// Boxes that the sender knows.
    Members(Roster),
    /// A configuration as published.
    Table(Vec<u8>),
    /// Asks for what the sender's list of servers lacks.
    Lacking(Digests),
    /// The answer, packed: parts of a list of servers.
    Excerpt(Vec<u8>),
    /// What became of servers after `since`, up to `until`: both of one era.
    Changes {
        /// Position that these changes build upon.
        since: Position,
        /// Position of the list with these changes.
        until: Position,
        /// The changes in order, packed.
        packed: Vec<u8>,
    },
    /// The sender stops by plan.
    Leave,
}
