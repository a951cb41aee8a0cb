//! What one list of servers has that another lacks, told in as many bytes as differ.
//!
//! A whole list is some hundred bytes a server: with thousands of servers it fills a small box's link for seconds if a
//! hall asks for it. Both lists are cut into parts by a hash of the servers' names; the one that asks tells a digest of
//! each part, and gets just the parts that differ.

use crate::{rank, Change, Directory, Position, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Parts of a list. With some thousand servers a part holds some tens: 256 bytes of digests save what is alike.
const PARTS: usize = 64;

/// What a list says, in brief: equal for equal lists, and unequal in the parts that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Position of the list.
    pub position: Position,
    /// One for each part.
    parts: Vec<u32>,
}

/// Parts of a list as they are at one position of the publisher, for a list that is otherwise the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// Position of the list that asked: only while it is that, the excerpt makes it whole.
    pub base: Position,
    /// Position of the list that this is taken from; above `base`.
    pub position: Position,
    /// Which parts these are.
    parts: BTreeSet<u8>,
    servers: Vec<Server>,
    foreign: Vec<String>,
    lapsed: Vec<String>,
}

fn part(name: &str) -> u8 {
    (rank(0, name) % PARTS as u64) as u8
}

/// One entry of a list.
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

    /// A number for the entry as it is; another for each kind of entry.
    fn digest(&self) -> u32 {
        let text = match self {
            Self::Server(s) => {
                let cold = s.cold_ms > 0;
                let Server { id, service, address, hall, slots, draining, .. } = s;
                format!("server|{}|{id}|{service}|{address}|{hall}|{slots}|{draining}|{cold}", s.name)
            }
            Self::Foreign(name) => format!("foreign|{name}|"),
            Self::Lapsed(name) => format!("lapsed|{name}|"),
        };
        rank(1, &text) as u32
    }
}

/// For each part of a list the sum of its entries' digests.
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
    /// What it says, in brief.
    #[must_use]
    pub fn digests(&self) -> Digests {
        Digests { position: self.position, parts: self.part_digests.0.to_vec() }
    }

    /// What the list with these digests lacks of this one; none where that isn't older.
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

    /// This list with an excerpt put in; none where it was made for another position of it.
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
