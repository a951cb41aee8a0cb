//! What boxes say to each other about themselves and about releases.

use crate::{Peer, State};
use catalog::{BoxId, Digest, Manifest, ReleaseId, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that travels on probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// What is believed of a box. `peer` is there while the box is new to others.
    Box {
        /// The box.
        id: BoxId,
        /// What is believed.
        state: State,
        /// The box's incarnation that the belief is about.
        incarnation: u32,
        /// Who it is, for boxes that don't know it yet.
        peer: Option<Peer>,
    },
    /// What the platform's list says of a server.
    Upstream {
        /// The server.
        id: ServerId,
        /// It is leaving.
        leaving: bool,
        /// The list's revision; the higher one wins.
        revision: u64,
    },
    /// A release that a box was offered by the platform and refused. Only shown, never obeyed.
    Refused {
        /// Where it stands among others.
        order: ReleaseId,
        /// The first of its faults, cut to [`MAX_REASON_CHARS`] characters.
        reason: String,
    },
}

/// Longest reason for a refused release that is told to others, in characters.
pub const MAX_REASON_CHARS: usize = 160;

/// How one manifest differs from an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The earlier release, or none for a whole manifest.
    pub base: Option<ReleaseId>,
    /// The release format.
    pub format: u64,
    /// The release number.
    pub number: u64,
    /// Parts that are new or changed.
    pub changed: BTreeMap<String, Digest>,
    /// Parts that are gone.
    pub removed: Vec<String>,
}

impl Delta {
    /// What has to change in `base` to give `to`; the whole of `to` without a base.
    #[must_use]
    pub fn between(base: Option<(ReleaseId, &Manifest)>, to: &Manifest) -> Self {
        let empty = BTreeMap::new();
        let old = base.map_or(&empty, |(_, m)| &m.parts);
        let changed = to.parts.iter().filter(|(name, digest)| old.get(*name) != Some(digest));
        let removed = old.keys().filter(|name| !to.parts.contains_key(*name));
        Self {
            base: base.map(|(order, _)| order),
            format: to.format,
            number: to.number,
            changed: changed.map(|(name, digest)| (name.clone(), *digest)).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// The manifest that this delta makes of `base`'s parts.
    #[must_use]
    pub fn apply(&self, base: Option<&Manifest>) -> Manifest {
        let mut parts = base.map(|m| m.parts.clone()).unwrap_or_default();
        self.removed.iter().for_each(|name| {
            parts.remove(name);
        });
        parts.extend(self.changed.clone());
        Manifest { format: self.format, number: self.number, parts }
    }
}

/// A message between two boxes' fleet code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you alive? Carries the sender's release and some changes.
    Ping {
        /// Pairs the answer.
        number: u32,
        /// The release in force at the sender.
        order: Option<ReleaseId>,
        /// Changes that are still spreading.
        changes: Vec<Change>,
    },
    /// Yes.
    Ack {
        /// The ping's number.
        number: u32,
        /// The release in force at the sender.
        order: Option<ReleaseId>,
        /// Changes that are still spreading.
        changes: Vec<Change>,
    },
    /// Please ping that box for me: I can't reach it.
    PingFor(u32, BoxId),
    /// The box that you asked about answered me.
    AckFor(u32, BoxId),
    /// The manifest of the release in force, please; here is what I have.
    Pull(Option<ReleaseId>),
    /// A manifest.
    Manifest(ReleaseId, Delta),
    /// These parts, please.
    PullParts(Vec<Digest>),
    /// Parts; each names itself by its digest.
    Parts(Vec<Vec<u8>>),
}
