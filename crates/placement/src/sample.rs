//! The servers that are looked at for one request.

use crate::member::Member;

/// Some servers of a pool: those that may keep what the request shares with others, which are the same for every box, and others that
/// differ from request to request.
pub(crate) struct Sample<'a> {
    /// All of them, each once.
    pub(crate) servers: Vec<&'a Member>,
    /// Those that may keep shared parts are the ones whose hashes lie up to `span` beyond this.
    pub(crate) from: u64,
    pub(crate) span: u64,
}

impl<'a> Sample<'a> {
    /// All servers of a pool, each of which may keep shared parts.
    pub(crate) fn all(servers: impl Iterator<Item = &'a Member>) -> Self {
        Self { servers: servers.collect(), from: 0, span: u64::MAX }
    }

    /// True for a server that may keep what the request shares.
    pub(crate) fn keeps(&self, member: &Member) -> bool {
        routing::rank(0, &member.server.id).wrapping_sub(self.from) <= self.span
    }
}
