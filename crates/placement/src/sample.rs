//! The servers considered for one request.

use crate::member::Member;

/// A subset of a pool's servers: those that may cache what the request shares with others, which are the same on
/// every box, and others that differ from request to request.
pub(crate) struct Sample<'a> {
    /// All of them, each once.
    pub(crate) servers: Vec<&'a Member>,
    /// The servers that may cache shared parts are those with hashes from `from` up to `span` beyond it.
    pub(crate) from: u64,
    pub(crate) span: u64,
}

impl<'a> Sample<'a> {
    /// All servers of a pool, each of which may cache shared parts.
    pub(crate) fn all(servers: impl Iterator<Item = &'a Member>) -> Self {
        Self { servers: servers.collect(), from: 0, span: u64::MAX }
    }

    /// True for a server that may cache what the request shares.
    pub(crate) fn may_cache(&self, member: &Member) -> bool {
        routing::rank(0, &member.server.id).wrapping_sub(self.from) <= self.span
    }
}
