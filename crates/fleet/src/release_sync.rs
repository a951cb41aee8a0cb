//! Distribution of releases, from the platform to few boxes and from those to all others. Older releases
//! never replace newer ones.

use crate::{Action, Change, Delta, Message, MAX_REASON_CHARS};
use catalog::{BoxId, Digest, Manifest, ParseCache, Release, ReleaseId};
use policy::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use telemetry::Event;

/// Number of boxes of a hall that watch the platform.
pub const WATCHERS_PER_HALL: usize = 2;

/// Number of manifests that are kept, so that peers can be sent deltas.
const MAX_HISTORY: usize = 16;

/// Time without progress after which a pull from a peer or the platform is abandoned, in milliseconds.
const PULL_TIMEOUT_MS: u64 = 1_000;

/// Number of refused releases that are remembered, so that they aren't pulled repeatedly.
const MAX_REFUSED: usize = 64;

/// Maximum number of parts that are requested in one message.
const MAX_PARTS_PER_REQUEST: usize = 16;

/// Returns the boxes of a hall that watch the platform, given the live boxes.
#[must_use]
pub fn watchers(alive: &[BoxId]) -> Vec<BoxId> {
    const WATCH: u64 = 0x0077_6174_6368;
    policy::ranked(WATCH, alive, WATCHERS_PER_HALL)
}

/// A refused release and the reasons.
#[derive(Clone, Debug)]
pub struct RefusedRelease {
    /// ID of the release.
    pub id: ReleaseId,
    /// All faults that were found, for the operator; only the first one if another box refused it.
    pub reasons: Vec<String>,
}

#[derive(Debug)]
enum Source {
    Platform,
    Peer(BoxId),
}

#[derive(Debug)]
struct Pull {
    source: Source,
    id: ReleaseId,
    /// The manifest and its text, once received.
    manifest: Option<(Manifest, String)>,
    parts: BTreeMap<Digest, Vec<u8>>,
    /// Parts that have not been received. Contains all of `requested`.
    missing: BTreeSet<Digest>,
    /// Parts that were requested and have not been received.
    requested: BTreeSet<Digest>,
    last_progress: Time,
}

impl Pull {
    fn new(source: Source, id: ReleaseId, now: Time) -> Self {
        let (parts, missing, requested) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Self { source, id, manifest: None, parts, missing, requested, last_progress: now }
    }
}

/// The release in force, and the one that is being pulled.
#[derive(Debug, Default)]
pub struct ReleaseSync {
    /// Its ID only ever increases.
    current: Option<Release>,
    history: VecDeque<(ReleaseId, Manifest)>,
    pull: Option<Pull>,
    parsed: ParseCache,
    /// Releases that this box itself found invalid. They are not accepted.
    refused: VecDeque<RefusedRelease>,
    /// Releases that other boxes refused and that were not offered to this one. Only displayed, because each
    /// box decides on acceptance by itself.
    refused_elsewhere: VecDeque<RefusedRelease>,
    out: Vec<Action>,
}

impl ReleaseSync {
    /// Returns the release in force.
    #[must_use]
    pub fn current(&self) -> Option<&Release> {
        self.current.as_ref()
    }

    /// Returns the ID of the release in force.
    #[must_use]
    pub fn release_id(&self) -> Option<ReleaseId> {
        self.history.back().map(|(id, _)| *id)
    }

    /// Returns the releases that were refused by this box or, as reported, by others.
    ///
    /// The release in force here is not among them, even if older boxes can't read it.
    pub fn refused(&self) -> impl Iterator<Item = &RefusedRelease> {
        let current = self.release_id();
        self.refused.iter().chain(&self.refused_elsewhere).filter(move |r| Some(r.id) != current)
    }

    /// Returns true if this box itself found a release invalid.
    #[must_use]
    pub fn has_refused(&self, id: ReleaseId) -> bool {
        self.refused.iter().any(|r| r.id == id)
    }

    fn is_wanted(&self, id: ReleaseId) -> bool {
        let newer = self.release_id().is_none_or(|current| id > current);
        newer && !self.has_refused(id)
    }

    // ------------------------------------------------------------------------
    // From peers

    /// Handles the announcement of a peer's release.
    pub fn on_release(&mut self, from: BoxId, id: Option<ReleaseId>, now: Time) -> Vec<Action> {
        if let Some(id) = id.filter(|o| self.is_wanted(*o)) {
            let busy = self.pull.as_ref().is_some_and(|p| now.since(p.last_progress) < PULL_TIMEOUT_MS && p.id >= id);
            if !busy {
                self.pull = Some(Pull::new(Source::Peer(from), id, now));
                self.out.push(Action::Send(from, Message::Pull(self.release_id())));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Handles a message about releases. Other messages are ignored.
    pub fn on_message(&mut self, from: BoxId, message: &Message, now: Time) -> Vec<Action> {
        match message {
            Message::Pull(have) => self.send_manifest(from, *have),
            Message::Manifest(id, delta) => self.on_manifest(from, *id, delta, now),
            Message::PullParts(digests) => self.send_parts(from, digests),
            Message::Parts(parts) => self.on_parts(parts, now),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    fn send_manifest(&mut self, to: BoxId, have: Option<ReleaseId>) {
        let Some((id, manifest)) = self.history.back() else { return };
        let base = self.history.iter().find(|(o, _)| Some(*o) == have).map(|(o, m)| (*o, m));
        let delta = Delta::between(base, manifest);
        self.out.push(Action::Send(to, Message::Manifest(*id, delta)));
    }

    fn on_manifest(&mut self, from: BoxId, id: ReleaseId, delta: &Delta, now: Time) {
        if !self.is_wanted(id) {
            return;
        }
        let base = match delta.base {
            None => None,
            Some(base) => match self.history.iter().find(|(o, _)| *o == base) {
                Some((_, manifest)) => Some(manifest),
                None => return,
            },
        };
        let text = delta.apply(base).render();
        if Digest::of(text.as_bytes()) != id.digest {
            self.out.push(Action::Log(Event::FrameRefused, format!("from={from} manifest doesn't match its digest")));
            return;
        }
        self.start_pull(Source::Peer(from), &text, now);
    }

    fn send_parts(&mut self, to: BoxId, digests: &[Digest]) {
        let Some(current) = &self.current else { return };
        let found: Vec<Vec<u8>> =
            digests.iter().take(MAX_PARTS_PER_REQUEST).filter_map(|d| current.parts.get(d).cloned()).collect();
        // Each part has its own message, so that no frame is larger than a part.
        for part in found {
            self.out.push(Action::Send(to, Message::Parts(vec![part])));
        }
    }

    // ------------------------------------------------------------------------
    // From the platform

    /// Handles a manifest offered by the platform.
    pub fn on_manifest_offered(&mut self, text: &str, now: Time) -> Vec<Action> {
        let digest = Digest::of(text.as_bytes());
        if self.refused.iter().any(|r| r.id.digest == digest) || self.release_id().is_some_and(|o| o.digest == digest) {
            return Vec::new();
        }
        match Manifest::parse(text) {
            Err(faults) => {
                let id = ReleaseId { number: 0, digest };
                self.refuse(id, faults.iter().map(ToString::to_string).collect());
            }
            Ok(manifest) if manifest.render() != text => {
                let reason = "manifest: not in the form that `cleatshelf pack` writes".to_owned();
                self.refuse(ReleaseId { number: manifest.number, digest }, vec![reason]);
            }
            Ok(manifest) => {
                let id = ReleaseId { number: manifest.number, digest };
                if self.is_wanted(id) {
                    self.start_pull(Source::Platform, text, now);
                } else if let Some(current) = self.release_id() {
                    let detail = format!("offered={} current={}", id.number, current.number);
                    self.out.push(Action::Log(Event::ReleaseStale, detail));
                }
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Handles parts fetched from the platform for [`Action::Fetch`].
    ///
    /// If some are not available yet, the pull times out and is restarted by the next offer.
    pub fn on_parts_fetched(&mut self, parts: &[Vec<u8>], now: Time) -> Vec<Action> {
        self.on_parts(parts, now);
        std::mem::take(&mut self.out)
    }

    // ------------------------------------------------------------------------
    // Assembly of a release

    fn start_pull(&mut self, source: Source, text: &str, now: Time) {
        let manifest = match Manifest::parse(text) {
            Ok(manifest) => manifest,
            Err(faults) => {
                let id = ReleaseId { number: 0, digest: Digest::of(text.as_bytes()) };
                self.refuse(id, faults.iter().map(ToString::to_string).collect());
                return;
            }
        };
        let id = ReleaseId { number: manifest.number, digest: Digest::of(text.as_bytes()) };
        let mut pull = Pull::new(source, id, now);
        for digest in manifest.parts.values() {
            match self.current.as_ref().and_then(|c| c.parts.get(digest)) {
                Some(bytes) => {
                    pull.parts.insert(*digest, bytes.clone());
                }
                None => {
                    pull.missing.insert(*digest);
                }
            }
        }
        pull.manifest = Some((manifest, text.to_owned()));
        self.pull = Some(pull);
        self.request_parts();
    }

    fn request_parts(&mut self) {
        let Some(pull) = &mut self.pull else { return };
        if pull.missing.is_empty() {
            self.complete();
            return;
        }
        pull.requested = pull.missing.iter().take(MAX_PARTS_PER_REQUEST).copied().collect();
        let next: Vec<Digest> = pull.requested.iter().copied().collect();
        match pull.source {
            Source::Platform => self.out.push(Action::Fetch(next)),
            Source::Peer(from) => self.out.push(Action::Send(from, Message::PullParts(next))),
        }
    }

    fn on_parts(&mut self, parts: &[Vec<u8>], now: Time) {
        let Some(pull) = &mut self.pull else { return };
        for bytes in parts {
            let digest = Digest::of(bytes);
            if pull.missing.remove(&digest) {
                pull.requested.remove(&digest);
                pull.parts.insert(digest, bytes.clone());
                pull.last_progress = now;
            }
        }
        if pull.manifest.is_some() && pull.requested.is_empty() {
            self.request_parts();
        }
    }

    fn complete(&mut self) {
        let Some(pull) = self.pull.take() else { return };
        let Some((manifest, text)) = pull.manifest else { return };
        let release = Release { manifest, text, parts: pull.parts };
        match release.check_cached(&mut self.parsed) {
            Ok(catalog) => self.adopt(release, catalog),
            Err(faults) => self.refuse(pull.id, faults.iter().map(ToString::to_string).collect()),
        }
    }

    fn adopt(&mut self, release: Release, catalog: catalog::Catalog) {
        let id = release.id();
        if self.release_id().is_some_and(|current| id <= current) {
            // `is_wanted` was checked before the parts arrived, and a newer release may have arrived in
            // between.
            return;
        }
        let detail = format!("number={} digest={}", id.number, id.digest);
        self.out.push(Action::Log(Event::ReleaseInForce, detail));
        self.history.push_back((id, release.manifest.clone()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.current = Some(release.clone());
        self.out.push(Action::Adopt(Box::new(release), Box::new(catalog)));
    }

    fn refuse(&mut self, id: ReleaseId, reasons: Vec<String>) {
        let reason = reasons.first().map(|first| first.chars().take(MAX_REASON_CHARS).collect()).unwrap_or_default();
        self.out.push(Action::Gossip(Change::Refused { order: id, reason }));
        let shown: Vec<&str> = reasons.iter().take(5).map(String::as_str).collect();
        let detail = format!("number={} digest={} reasons=[{}]", id.number, id.digest, shown.join("; "));
        self.out.push(Action::Log(Event::ReleaseRefused, detail));
        self.refused_elsewhere.retain(|r| r.id != id);
        push_bounded(&mut self.refused, RefusedRelease { id, reasons });
        self.pull = None;
    }

    /// Records that another box refused a release. It is displayed and forwarded once, and this box still
    /// decides by itself.
    pub fn on_refused_elsewhere(&mut self, id: ReleaseId, reason: &str) -> Vec<Action> {
        if self.refused.iter().chain(&self.refused_elsewhere).any(|r| r.id == id) {
            return Vec::new();
        }
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let detail = format!("number={} digest={} told=true reasons=[{reason}]", id.number, id.digest);
        self.out.push(Action::Log(Event::ReleaseRefused, detail));
        self.out.push(Action::Gossip(Change::Refused { order: id, reason: reason.clone() }));
        push_bounded(&mut self.refused_elsewhere, RefusedRelease { id, reasons: vec![reason] });
        std::mem::take(&mut self.out)
    }

    /// Abandons a pull without progress, which the next probe restarts.
    pub fn tick(&mut self, now: Time) {
        if self.pull.as_ref().is_some_and(|p| now.since(p.last_progress) >= PULL_TIMEOUT_MS) {
            self.pull = None;
        }
    }
}

/// Appends a release, and keeps the latest [`MAX_REFUSED`].
fn push_bounded(list: &mut VecDeque<RefusedRelease>, refused: RefusedRelease) {
    list.push_back(refused);
    if list.len() > MAX_REFUSED {
        list.pop_front();
    }
}
