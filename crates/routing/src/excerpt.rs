//! Differences between two lists of servers, transferred in proportion to their size.
//!
//! A complete list takes some hundred bytes for each server. With thousands of servers, it would fill a small
//! box's link for seconds if a whole hall requested it. Both lists are therefore partitioned by a hash of the
//! servers' names; the requesting box sends a digest of each part and receives only the parts that differ.

use crate::{rank, Change, Directory, Position, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of parts of a list. With some thousand servers, a part has some tens of them, and 256 bytes of
/// digests are enough to skip the equal parts.
const PARTS: usize = 64;

/// Digests of the parts of a list: equal for equal parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Position of the list.
    pub position: Position,
    /// Digests by part.
    parts: Vec<u32>,
}

/// Parts of a list at one position of the publisher, for a list whose other parts are equal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// Position of the requesting list. The excerpt only applies while the list is at this position.
    pub base: Position,
    /// Position of the list that the excerpt was taken from; higher than `base`.
    pub position: Position,
    /// Indices of the parts.
    parts: BTreeSet<u8>,
    servers: Vec<Server>,
    foreign: Vec<String>,
    lapsed: Vec<String>,
}

fn part(name: &str) -> u8 {
    (rank(0, name) % PARTS as u64) as u8
}

/// An entry of a list.
pub(crate) enum Entry<'a> {
    Server(&'a Server),
    Foreign(&'a str),
    Lapsed(&'a str),
}

impl Entry<'_> {
    fn name(&self) -> &str {
        match self {
            Self::Server(server) => &server.name,
            Self::Foreign(name) | Self::Lapsed(name) => name,
        }
    }

    /// Returns a digest of the entry, which also depends on its kind.
    fn digest(&self) -> u32 {
        let text = match self {
            Self::Server(s) => {
                let cold = s.cold_ms > 0;
                let Server { id, service, address, version, hall, slots, draining, .. } = s;
                format!("server|{}|{id}|{service}|{address}|{version}|{hall}|{slots}|{draining}|{cold}", s.name)
            }
            Self::Foreign(name) => format!("foreign|{name}|"),
            Self::Lapsed(name) => format!("lapsed|{name}|"),
        };
        rank(1, &text) as u32
    }
}

/// The sum of the entries' digests, for each part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartDigests([u32; PARTS]);

impl Default for PartDigests {
    fn default() -> Self {
        Self([0; PARTS])
    }
}

impl PartDigests {
    pub(crate) fn add(&mut self, entry: &Entry<'_>) {
        let sum = &mut self.0[usize::from(part(entry.name()))];
        *sum = sum.wrapping_add(entry.digest());
    }

    pub(crate) fn remove(&mut self, entry: &Entry<'_>) {
        let sum = &mut self.0[usize::from(part(entry.name()))];
        *sum = sum.wrapping_sub(entry.digest());
    }
}

impl Directory {
    /// Returns the digests of the list's parts.
    #[must_use]
    pub fn digests(&self) -> Digests {
        Digests { position: self.position, parts: self.part_digests.0.to_vec() }
    }

    /// Returns the parts of this list that differ from the list with these digests, or `None` if that list
    /// isn't older.
    #[must_use]
    pub fn excerpt(&self, theirs: &Digests) -> Option<Excerpt> {
        if theirs.position >= self.position {
            return None;
        }
        let differs =
            |index: &u8| theirs.parts.get(usize::from(*index)) != self.part_digests.0.get(usize::from(*index));
        let parts: BTreeSet<u8> = (0..PARTS as u8).filter(differs).collect();
        let within = |name: &&String| parts.contains(&part(name));
        Some(Excerpt {
            base: theirs.position,
            position: self.position,
            servers: self.servers.iter().filter(|(name, _)| within(name)).map(|(_, s)| Server::clone(s)).collect(),
            foreign: self.foreign.iter().filter(within).cloned().collect(),
            lapsed: self.in_grace.iter().filter(within).cloned().collect(),
            parts,
        })
    }

    /// Returns this list with the parts of an excerpt replaced, or `None` if the excerpt was made for another
    /// position.
    #[must_use]
    pub fn with_excerpt(&self, excerpt: Excerpt) -> Option<Self> {
        if excerpt.base != self.position {
            return None;
        }
        let mut list = self.clone();
        let replaced = |name: &&String| excerpt.parts.contains(&part(name));
        let names: BTreeSet<String> = self.servers.keys().chain(&self.foreign).filter(replaced).cloned().collect();
        let removed = names.into_iter().map(Change::Gone);
        let listed = excerpt.servers.into_iter().map(Change::Present);
        let foreign = excerpt.foreign.into_iter().map(Change::Foreign);
        list.apply(removed.chain(listed).chain(foreign).collect(), excerpt.position);
        for name in &excerpt.lapsed {
            if list.servers.get(name).is_some_and(|server| !server.draining) {
                list.insert_in_grace(name);
            }
        }
        Some(list)
    }
}
