//! Messages between boxes about membership and releases.

use crate::{Peer, State};
use catalog::{BoxId, Digest, Manifest, ReleaseId, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that is distributed with probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A membership state of a box.
    Box {
        /// The box.
        id: BoxId,
        /// Its state.
        state: State,
        /// Incarnation of the box to which the state applies.
        incarnation: u32,
        /// Identity and address of the box, for boxes that don't know it yet.
        peer: Option<Peer>,
    },
    /// State of a server according to the platform's list.
    Upstream {
        /// The server.
        id: ServerId,
        /// The server is leaving.
        leaving: bool,
        /// Revision of the list; the higher one takes precedence.
        revision: u64,
    },
    /// A release that a box was offered by the platform and refused. It is only displayed and never keeps
    /// other boxes from accepting the release.
    Refused {
        /// ID of the release.
        order: ReleaseId,
        /// The first of its faults, truncated to [`MAX_REASON_CHARS`] characters.
        reason: String,
    },
}

/// Maximum length of the reason for a refused release in messages, in characters.
pub const MAX_REASON_CHARS: usize = 160;

/// The difference between a manifest and an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The earlier release, or `None` for a complete manifest.
    pub base: Option<ReleaseId>,
    /// Format of the release.
    pub format: u64,
    /// Number of the release.
    pub number: u64,
    /// New and changed parts.
    pub changed: BTreeMap<String, Digest>,
    /// Removed parts.
    pub removed: Vec<String>,
}

impl Delta {
    /// Returns the changes that turn `base` into `to`, or all of `to` without a base.
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

    /// Returns the manifest that results from applying this delta to `base`.
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

/// A message about membership or releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the receiver, with the sender's release and some changes.
    Ping {
        /// Identifies the ping in the response.
        number: u32,
        /// The release in force at the sender.
        order: Option<ReleaseId>,
        /// Changes that are still being distributed.
        changes: Vec<Change>,
    },
    /// Response to a ping.
    Ack {
        /// Number of the ping.
        number: u32,
        /// The release in force at the sender.
        order: Option<ReleaseId>,
        /// Changes that are still being distributed.
        changes: Vec<Change>,
    },
    /// Requests an indirect probe of a box that does not answer the sender.
    PingFor(u32, BoxId),
    /// Reports that the box of an indirect probe answered.
    AckFor(u32, BoxId),
    /// Requests the manifest of the release in force, given the sender's release.
    Pull(Option<ReleaseId>),
    /// A manifest.
    Manifest(ReleaseId, Delta),
    /// Requests parts of a release.
    PullParts(Vec<Digest>),
    /// Parts of a release, which are identified by their digests.
    Parts(Vec<Vec<u8>>),
}
