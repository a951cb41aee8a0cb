//! Releases: from the platform to few boxes, from them to all, and never back.

use crate::{Action, Change, Delta, Message, MAX_REASON_CHARS};
use catalog::{BoxId, Digest, Manifest, ParseCache, Release, ReleaseId};
use policy::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use telemetry::Event;

/// Boxes of a hall that hold the platform's watch.
pub const WATCHERS_PER_HALL: usize = 2;

/// Earlier manifests kept, so that a peer can be told only what changed.
const HISTORY: usize = 16;

/// A peer that doesn't deliver within this time is given up, in milliseconds.
const PULL_MS: u64 = 1_000;

/// Refused releases remembered, so that they aren't pulled again and again.
const REFUSED_MOST: usize = 64;

/// Most parts asked for in one message.
const PARTS_MOST: usize = 16;

/// The boxes of a hall that hold the platform's watch, given those alive.
#[must_use]
pub fn watchers(alive: &[BoxId]) -> Vec<BoxId> {
    const WATCH: u64 = 0x0077_6174_6368;
    policy::ranked(WATCH, alive, WATCHERS_PER_HALL)
}

/// A release that this box won't take, and why.
#[derive(Clone, Debug)]
pub struct RefusedRelease {
    /// Where it stands among others.
    pub id: ReleaseId,
    /// Every fault, for the operator.
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
    order: ReleaseId,
    /// None until the manifest is here.
    manifest: Option<(Manifest, String)>,
    parts: BTreeMap<Digest, Vec<u8>>,
    /// Parts that aren't here. Contains all of `awaited`.
    missing: BTreeSet<Digest>,
    /// Parts that were asked for and have not come.
    awaited: BTreeSet<Digest>,
    since: Time,
}

impl Pull {
    fn new(source: Source, order: ReleaseId, now: Time) -> Self {
        let (parts, missing, awaited) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Self { source, order, manifest: None, parts, missing, awaited, since: now }
    }
}

/// The release in force here, and one that is on its way.
#[derive(Debug, Default)]
pub struct ReleaseSync {
    /// Its order only ever rises.
    current: Option<Release>,
    history: VecDeque<(ReleaseId, Manifest)>,
    pull: Option<Pull>,
    parsed: ParseCache,
    /// What this box found wrong itself. Keeps a release out.
    refused: VecDeque<RefusedRelease>,
    /// What others refused and this box wasn't offered. Only shown: acceptance is each box's own finding.
    refused_elsewhere: VecDeque<RefusedRelease>,
    out: Vec<Action>,
}

impl ReleaseSync {
    /// The release in force.
    #[must_use]
    pub fn current(&self) -> Option<&Release> {
        self.current.as_ref()
    }

    /// Where the release in force stands.
    #[must_use]
    pub fn release_id(&self) -> Option<ReleaseId> {
        self.history.back().map(|(order, _)| *order)
    }

    /// Releases that this box refused, and those that others were heard to refuse.
    ///
    /// What is in force here isn't among them, even if older boxes can't read it.
    pub fn refused(&self) -> impl Iterator<Item = &RefusedRelease> {
        let current = self.release_id();
        self.refused.iter().chain(&self.refused_elsewhere).filter(move |r| Some(r.id) != current)
    }

    /// True when this box itself found a release wrong.
    #[must_use]
    pub fn has_refused(&self, order: ReleaseId) -> bool {
        self.refused.iter().any(|r| r.id == order)
    }

    fn wants(&self, order: ReleaseId) -> bool {
        let newer = self.release_id().is_none_or(|current| order > current);
        newer && !self.has_refused(order)
    }

    // ------------------------------------------------------------------------
    // From peers

    /// A peer's release was heard of.
    pub fn on_release(&mut self, from: BoxId, order: Option<ReleaseId>, now: Time) -> Vec<Action> {
        if let Some(order) = order.filter(|o| self.wants(*o)) {
            let busy = self.pull.as_ref().is_some_and(|p| now.since(p.since) < PULL_MS && p.order >= order);
            if !busy {
                self.pull = Some(Pull::new(Source::Peer(from), order, now));
                self.out.push(Action::Send(from, Message::Pull(self.release_id())));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// A message about releases came in. Others are left alone.
    pub fn on_message(&mut self, from: BoxId, message: &Message, now: Time) -> Vec<Action> {
        match message {
            Message::Pull(have) => self.send_manifest(from, *have),
            Message::Manifest(order, delta) => self.take_manifest(from, *order, delta, now),
            Message::PullParts(digests) => self.send_parts(from, digests),
            Message::Parts(parts) => self.take_parts(parts, now),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    fn send_manifest(&mut self, to: BoxId, have: Option<ReleaseId>) {
        let Some((order, manifest)) = self.history.back() else { return };
        let base = self.history.iter().find(|(o, _)| Some(*o) == have).map(|(o, m)| (*o, m));
        let delta = Delta::between(base, manifest);
        self.out.push(Action::Send(to, Message::Manifest(*order, delta)));
    }

    fn take_manifest(&mut self, from: BoxId, order: ReleaseId, delta: &Delta, now: Time) {
        if !self.wants(order) {
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
        if Digest::of(text.as_bytes()) != order.digest {
            self.out.push(Action::Log(Event::FrameRefused, format!("from={from} manifest doesn't match its digest")));
            return;
        }
        self.begin(Source::Peer(from), &text, now);
    }

    fn send_parts(&mut self, to: BoxId, digests: &[Digest]) {
        let Some(current) = &self.current else { return };
        let found: Vec<Vec<u8>> =
            digests.iter().take(PARTS_MOST).filter_map(|d| current.parts.get(d).cloned()).collect();
        // One message for each, so that no frame grows beyond a part.
        for part in found {
            self.out.push(Action::Send(to, Message::Parts(vec![part])));
        }
    }

    // ------------------------------------------------------------------------
    // From the platform

    /// The platform offered a manifest.
    pub fn on_manifest_offered(&mut self, text: &str, now: Time) -> Vec<Action> {
        let digest = Digest::of(text.as_bytes());
        if self.refused.iter().any(|r| r.id.digest == digest) || self.release_id().is_some_and(|o| o.digest == digest) {
            return Vec::new();
        }
        match Manifest::parse(text) {
            Err(faults) => {
                let order = ReleaseId { number: 0, digest };
                self.refuse(order, faults.iter().map(ToString::to_string).collect());
            }
            Ok(manifest) if manifest.render() != text => {
                let reason = "manifest: not in the form that `cleatshelf pack` writes".to_owned();
                self.refuse(ReleaseId { number: manifest.number, digest }, vec![reason]);
            }
            Ok(manifest) => {
                let order = ReleaseId { number: manifest.number, digest };
                if self.wants(order) {
                    self.begin(Source::Platform, text, now);
                } else if let Some(current) = self.release_id() {
                    let detail = format!("offered={} current={}", order.number, current.number);
                    self.out.push(Action::Log(Event::ReleaseStale, detail));
                }
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Parts came from the platform, as asked for by [`Action::Fetch`].
    ///
    /// When some are not there yet, the pull stands still, is given up, and begins anew with the next offer.
    pub fn on_parts_fetched(&mut self, parts: &[Vec<u8>], now: Time) -> Vec<Action> {
        self.take_parts(parts, now);
        std::mem::take(&mut self.out)
    }

    // ------------------------------------------------------------------------
    // Putting a release together

    fn begin(&mut self, source: Source, text: &str, now: Time) {
        let manifest = match Manifest::parse(text) {
            Ok(manifest) => manifest,
            Err(faults) => {
                let order = ReleaseId { number: 0, digest: Digest::of(text.as_bytes()) };
                self.refuse(order, faults.iter().map(ToString::to_string).collect());
                return;
            }
        };
        let order = ReleaseId { number: manifest.number, digest: Digest::of(text.as_bytes()) };
        let mut pull = Pull::new(source, order, now);
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
        self.ask_parts();
    }

    fn ask_parts(&mut self) {
        let Some(pull) = &mut self.pull else { return };
        if pull.missing.is_empty() {
            self.complete();
            return;
        }
        pull.awaited = pull.missing.iter().take(PARTS_MOST).copied().collect();
        let next: Vec<Digest> = pull.awaited.iter().copied().collect();
        match pull.source {
            Source::Platform => self.out.push(Action::Fetch(next)),
            Source::Peer(from) => self.out.push(Action::Send(from, Message::PullParts(next))),
        }
    }

    fn take_parts(&mut self, parts: &[Vec<u8>], now: Time) {
        let Some(pull) = &mut self.pull else { return };
        for bytes in parts {
            let digest = Digest::of(bytes);
            if pull.missing.remove(&digest) {
                pull.awaited.remove(&digest);
                pull.parts.insert(digest, bytes.clone());
                pull.since = now;
            }
        }
        if pull.manifest.is_some() && pull.awaited.is_empty() {
            self.ask_parts();
        }
    }

    fn complete(&mut self) {
        let Some(pull) = self.pull.take() else { return };
        let Some((manifest, text)) = pull.manifest else { return };
        let release = Release { manifest, text, parts: pull.parts };
        match release.check_cached(&mut self.parsed) {
            Ok(catalog) => self.adopt(release, catalog),
            Err(faults) => self.refuse(pull.order, faults.iter().map(ToString::to_string).collect()),
        }
    }

    fn adopt(&mut self, release: Release, catalog: catalog::Catalog) {
        let order = release.id();
        if self.release_id().is_some_and(|current| order <= current) {
            // `wants` was asked before the parts came; a newer release may have come in between.
            return;
        }
        let detail = format!("number={} digest={}", order.number, order.digest);
        self.out.push(Action::Log(Event::ReleaseInForce, detail));
        self.history.push_back((order, release.manifest.clone()));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        self.current = Some(release.clone());
        self.out.push(Action::Adopt(Box::new(release), Box::new(catalog)));
    }

    fn refuse(&mut self, order: ReleaseId, reasons: Vec<String>) {
        let reason = reasons.first().map(|first| first.chars().take(MAX_REASON_CHARS).collect()).unwrap_or_default();
        self.out.push(Action::Gossip(Change::Refused { order, reason }));
        let shown: Vec<&str> = reasons.iter().take(5).map(String::as_str).collect();
        let detail = format!("number={} digest={} reasons=[{}]", order.number, order.digest, shown.join("; "));
        self.out.push(Action::Log(Event::ReleaseRefused, detail));
        self.refused_elsewhere.retain(|r| r.id != order);
        remember(&mut self.refused, RefusedRelease { id: order, reasons });
        self.pull = None;
    }

    /// Another box refused a release. Shown and passed on once; this box still judges for itself.
    pub fn on_refused_elsewhere(&mut self, order: ReleaseId, reason: &str) -> Vec<Action> {
        if self.refused.iter().chain(&self.refused_elsewhere).any(|r| r.id == order) {
            return Vec::new();
        }
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let detail = format!("number={} digest={} told=true reasons=[{reason}]", order.number, order.digest);
        self.out.push(Action::Log(Event::ReleaseRefused, detail));
        self.out.push(Action::Gossip(Change::Refused { order, reason: reason.clone() }));
        remember(&mut self.refused_elsewhere, RefusedRelease { id: order, reasons: vec![reason] });
        std::mem::take(&mut self.out)
    }

    /// Time has passed: a pull that stands still is given up, and the next probe begins anew.
    pub fn tick(&mut self, now: Time) {
        if self.pull.as_ref().is_some_and(|p| now.since(p.since) >= PULL_MS) {
            self.pull = None;
        }
    }
}

/// Keeps the newest [`REFUSED_MOST`].
fn remember(list: &mut VecDeque<RefusedRelease>, refused: RefusedRelease) {
    list.push_back(refused);
    if list.len() > REFUSED_MOST {
        list.pop_front();
    }
}
