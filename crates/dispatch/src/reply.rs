//! Replies of a dispatcher.

use crate::SlotReply;
use std::net::SocketAddr;

/// A reply to be sent to a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The requesting box.
    pub to: SocketAddr,
    /// The reply.
    pub reply: SlotReply,
}
