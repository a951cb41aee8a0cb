//! What one list of servers has that another lacks, told in as many bytes as differ.
//!
//! A whole list is some hundred bytes a server: with thousands of servers it fills a small box's link for seconds if a
//! hall asks for it. Both lists are cut into parts by a hash of the servers' names; the one that asks tells a digest of
//! each part, and gets just the parts that differ.

use crate::{rank, Directory, Position, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

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

/// A number for a server as it is; another for each kind of entry.
fn digest(kind: &str, name: &str, server: Option<&Server>) -> u32 {
    let text = server.map_or_else(String::new, |s| {
        format!("{}|{}|{}|{}|{}|{}|{}", s.id, s.service, s.address, s.hall, s.slots, s.draining, s.cold_ms > 0)
    });
    rank(1, &format!("{kind}|{name}|{text}")) as u32
}

impl Directory {
    /// What it says, in brief.
    #[must_use]
    pub fn digests(&self) -> Digests {
        let mut parts = vec![0_u32; PARTS];
        let mut note = |name: &str, digest: u32| {
            let sum = &mut parts[usize::from(part(name))];
            *sum = sum.wrapping_add(digest);
        };
        self.servers.iter().for_each(|(name, server)| note(name, digest("server", name, Some(server))));
        self.foreign.iter().for_each(|name| note(name, digest("foreign", name, None)));
        self.lapsed.iter().for_each(|name| note(name, digest("lapsed", name, None)));
        Digests { position: self.position, parts }
    }

    /// What the list with these digests lacks of this one; none where that isn't older.
    #[must_use]
    pub fn excerpt(&self, theirs: &Digests) -> Option<Excerpt> {
        if theirs.position >= self.position {
            return None;
        }
        let mine = self.digests().parts;
        let differs = |index: &u8| theirs.parts.get(usize::from(*index)) != mine.get(usize::from(*index));
        let parts: BTreeSet<u8> = (0..PARTS as u8).filter(differs).collect();
        let within = |name: &&String| parts.contains(&part(name));
        Some(Excerpt {
            base: theirs.position,
            position: self.position,
            servers: self.servers.iter().filter(|(name, _)| within(name)).map(|(_, s)| Server::clone(s)).collect(),
            foreign: self.foreign.iter().filter(within).cloned().collect(),
            lapsed: self.lapsed.iter().filter(within).cloned().collect(),
            parts,
        })
    }

    /// This list with an excerpt put in; none where it was made for another position of it.
    #[must_use]
    pub fn with(&self, excerpt: Excerpt) -> Option<Self> {
        if excerpt.base != self.position {
            return None;
        }
        let mut list = self.clone();
        let stays = |name: &String| !excerpt.parts.contains(&part(name));
        let servers = Arc::make_mut(&mut list.servers);
        servers.retain(|name, _| stays(name));
        servers.extend(excerpt.servers.into_iter().map(|server| (server.name.clone(), Arc::new(server))));
        list.foreign.retain(&stays);
        list.lapsed.retain(&stays);
        list.foreign.extend(excerpt.foreign);
        list.lapsed.extend(excerpt.lapsed);
        list.position = excerpt.position;
        Some(list)
    }
}
