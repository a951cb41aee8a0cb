//! Quarantine of requests, and of parts of prompts, that crash the servers that run them.
//!
//! When a server terminates, each request that it was running becomes a suspect, and so does each part of its prompt that
//! others may share. A suspect under which three servers terminated is held: no box sends a request on that is or has it. A
//! server that survives it clears it. Boxes exchange [`SuspectRecord`]s; whatever the order in which they arrive, boxes that
//! received the same records hold the same suspects.
//!
//! The parts that a crashing request has, and the requests beside it, are under the same terminations. Of suspects with the
//! same terminations the most specific one is held, and a suspect whose terminations are all among those of another one is
//! explained by it. If the wrong one is held, the next termination tells: it is under the crashing one and not under that.
//!
//! A termination is the observation of one box: the server's address refused connections, as it also does for a box
//! that is cut off. Any box that the server answers later disproves it, and notifies the others.
//!
//! A request that crashes its servers meets them one after the other. One that runs everywhere loses many at once
//! with a hall, and is soon cleared by the servers that survive; if none does, it is tried early.

use crate::{Fingerprint, Millis, Scope, Trait};
use routing::rank_bytes;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Number of servers that must have terminated under a request before it is held. With two, 42 of 50,600 requests
/// that came once were held in simulations of lost halls and crashes, with three only 1; a request that crashes
/// servers terminates exactly as many (`placement/tests/quarantine.rs`).
const TERMINATIONS_TO_HOLD: usize = 3;

/// Minimum time between an observed termination and an answer of the server that disproves it. Data sent before the
/// termination may be read late, by a box that had no processor time for some tenths of a second.
const DISPROOF_DELAY_MS: i64 = 1_000;

/// Delay after which a held request is let through once, counted from when it was held. Short if servers terminated
/// while it ran at several of them: a lost hall may have terminated them together with all servers that could have
/// cleared the request. In simulations in which all servers terminate together once, 1,233 of 21,500 arrivals of a
/// request that runs everywhere were refused, 3,713 with a delay of five seconds, and 5,377 without early trials.
const EARLY_TRIAL_DELAY_MS: i64 = 1_000;

/// Delay of the second trial of a part, and of the first trial of a request if servers terminated one after the other,
/// each after the request was sent there.
const TRIAL_DELAY_MS: i64 = 120_000;

/// Delay of the last trial; each trial may terminate one more server.
const LAST_TRIAL_DELAY_MS: i64 = 1_800_000;

/// Time for which terminations count. After a day, servers have been repaired or replaced.
const SUSPECT_TTL_MS: i64 = 86_400_000;

/// Interval between removals of expired suspects.
const EXPIRE_INTERVAL_MS: i64 = 10_000;

/// Terminations kept per request: more than are needed to hold it, to help find the cause.
const MAX_TERMINATIONS: usize = 6;

/// Maximum number of suspects, at about 300 bytes each. The loss of a hall makes some thousand suspects; held
/// requests are evicted last.
const MAX_SUSPECTS: usize = 4_096;

/// Number of suspects evicted when there are too many.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 4;

/// Shortest and longest retry delay for the caller of a held request. It is long, since the request won't run, but
/// one that was held by mistake may be let through within seconds.
const MIN_RETRY_MS: i64 = 5_000;
const MAX_RETRY_MS: i64 = 3_600_000;

/// Shortest retry delay for a request with a held part. The part is shared with others, and its first trial comes after a
/// second.
const MIN_PART_RETRY_MS: i64 = 1_500;

/// Termination of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Termination {
    /// Id of the server instance.
    pub server: String,
    /// Milliseconds since the request was sent there.
    pub sent: Millis,
    /// Milliseconds since the termination was observed.
    pub ago: Millis,
}

/// Record of a suspect, as exchanged between boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request, or the part.
    pub request: Fingerprint,
    /// Which of them it is.
    pub scope: Scope,
    /// Number of times it was cleared. Terminations from before the last time don't count.
    pub survivals: u32,
    /// Servers that terminated under it since.
    pub ends: Vec<Termination>,
    /// Number of times it was let through although it was held.
    pub trials: u8,
    /// Milliseconds since the last of these changes.
    pub ago: Millis,
}

/// Evidence that a server answers, which disproves an earlier observation of its termination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessEvidence {
    /// Id of the server instance.
    pub server: String,
    /// Milliseconds since it answered.
    pub ago: Millis,
}

/// Decision on whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent once, and by this box only: [`Quarantine::begin_trial`].
    Trial,
    /// It must not be sent: it would crash its server.
    Held {
        /// Milliseconds after which its caller should retry.
        retry_ms: Millis,
    },
}

/// Effect of an update on the quarantine of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held from now on.
    Held(SuspectRecord),
    /// It was held, and no longer is.
    Lifted(SuspectRecord),
    /// Any smaller change, which other boxes may not know.
    Updated(SuspectRecord),
    /// No change.
    Unchanged,
}

impl Change {
    fn of(held: bool, holds: bool, record: SuspectRecord) -> Self {
        match (held, holds) {
            (false, true) => Self::Held(record),
            (true, false) => Self::Lifted(record),
            _ => Self::Updated(record),
        }
    }

    /// Returns the record that other boxes may not know.
    #[must_use]
    pub fn into_record(self) -> Option<SuspectRecord> {
        match self {
            Self::Held(record) | Self::Lifted(record) | Self::Updated(record) => Some(record),
            Self::Unchanged => None,
        }
    }
}

/// Termination of a server, by this box's clock.
#[derive(Clone, Debug)]
struct SeenTermination {
    server: String,
    sent: i64,
    at: i64,
}

#[derive(Clone, Debug)]
struct Suspect {
    scope: Scope,
    survivals: u32,
    /// In the order of termination.
    ends: Vec<SeenTermination>,
    trials: u8,
    /// Time of the last change.
    changed: i64,
}

impl Default for Suspect {
    fn default() -> Self {
        Self { scope: Scope::Whole, survivals: 0, ends: Vec::new(), trials: 0, changed: i64::MIN }
    }
}

/// The requests under which servers terminated, as far as this box knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Time of the last answer, by instance id.
    last_answers: HashMap<String, i64>,
    /// Ids of servers whose termination some suspect names; may contain others.
    terminated_servers: HashSet<String>,
    /// Sum of the digests of all suspects that other boxes must know too.
    digest: u64,
    expire_at: i64,
}

impl Quarantine {
    /// True if there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the ids of servers that terminated under a suspect, as far as this box knows; may contain others.
    #[must_use]
    pub fn terminated_servers(&self) -> &HashSet<String> {
        &self.terminated_servers
    }

    /// Records that a server terminated while it ran this request.
    pub fn record_termination(&mut self, request: Fingerprint, end: Termination, now: Millis) -> Change {
        self.record_termination_of(Trait { fingerprint: request, scope: Scope::Whole }, end, now)
    }

    /// Records that a server terminated while it ran a request with this trait.
    pub fn record_termination_of(&mut self, suspect: Trait, end: Termination, now: Millis) -> Change {
        let Trait { fingerprint: request, scope } = suspect;
        let survivals = self.suspects.get(&request).map_or(0, |suspect| suspect.survivals);
        self.on_record(&SuspectRecord { request, scope, survivals, ends: vec![end], trials: 0, ago: 0 }, now)
    }

    /// Records that a server survived this request, or that an operator cleared it.
    pub fn record_survival(&mut self, request: Fingerprint, now: Millis) -> Change {
        let Some(suspect) = self.suspects.get(&request).filter(|suspect| !suspect.ends.is_empty()) else {
            return Change::Unchanged;
        };
        let (scope, survivals) = (suspect.scope, suspect.survivals + 1);
        self.on_record(&SuspectRecord { request, scope, survivals, ends: Vec::new(), trials: 0, ago: 0 }, now)
    }

    /// Applies another box's record.
    pub fn on_record(&mut self, record: &SuspectRecord, now: Millis) -> Change {
        let now = now as i64;
        self.make_room(record.request);
        let answered = &self.last_answers;
        let disproved =
            |end: &SeenTermination| answered.get(&end.server).is_some_and(|at| *at >= end.at + DISPROOF_DELAY_MS);
        let held = self.is_held(record.request);
        let suspect = self.suspects.entry(record.request).or_default();
        let old_digest = suspect.digest(record.request);
        if !suspect.apply(record, now, disproved) {
            if suspect.is_empty() {
                self.suspects.remove(&record.request);
            }
            return Change::Unchanged;
        }
        suspect.changed = suspect.changed.max(now - record.ago as i64);
        self.terminated_servers.extend(record.ends.iter().map(|end| end.server.clone()));
        let record = suspect.record(record.request, now);
        self.digest = self.digest.wrapping_sub(old_digest).wrapping_add(suspect.digest(record.request));
        Change::of(held, self.is_held(record.request), record)
    }

    /// Records that a server answered this box. Returns the changes where this disproves a termination.
    pub fn record_answer(&mut self, server: &str, now: Millis) -> Vec<Change> {
        match self.last_answers.get_mut(server) {
            Some(at) => *at = now as i64,
            None => drop(self.last_answers.insert(server.to_owned(), now as i64)),
        }
        self.disprove(server, now as i64)
    }

    /// Applies another box's evidence that a server answers.
    pub fn on_liveness_evidence(&mut self, evidence: &LivenessEvidence, now: Millis) -> Vec<Change> {
        let at = now as i64 - evidence.ago as i64;
        let answered = self.last_answers.entry(evidence.server.clone()).or_insert(at);
        *answered = at.max(*answered);
        self.disprove(&evidence.server, now as i64)
    }

    /// Returns the evidence that disproves a record, for the box that sent it.
    #[must_use]
    pub fn evidence_against(&self, record: &SuspectRecord, now: Millis) -> Vec<LivenessEvidence> {
        let now = now as i64;
        let evidence = |end: &Termination| {
            let at = self.last_answers.get(&end.server)?;
            let disproves = *at >= now - end.ago as i64 + DISPROOF_DELAY_MS;
            disproves.then(|| LivenessEvidence { server: end.server.clone(), ago: (now - at).max(0) as Millis })
        };
        record.ends.iter().filter_map(evidence).collect()
    }

    /// Forgets the last answers of servers that are no longer listed.
    pub fn retain_servers(&mut self, listed: impl Fn(&str) -> bool) {
        self.last_answers.retain(|server, _| listed(server));
    }

    /// Removes terminations of a server from before its last answer.
    fn disprove(&mut self, server: &str, now: i64) -> Vec<Change> {
        if !self.terminated_servers.contains(server) {
            return Vec::new();
        }
        let Some(answered) = self.last_answers.get(server) else { return Vec::new() };
        let false_end = |end: &SeenTermination| end.server == server && *answered >= end.at + DISPROOF_DELAY_MS;
        let mut changes = Vec::new();
        for (request, suspect) in &mut self.suspects {
            if !suspect.ends.iter().any(false_end) {
                continue;
            }
            let (held, old_digest) = (suspect.has_enough_ends(), suspect.digest(*request));
            suspect.ends.retain(|end| !false_end(end));
            self.digest = self.digest.wrapping_sub(old_digest).wrapping_add(suspect.digest(*request));
            changes.push(Change::of(held, suspect.has_enough_ends(), suspect.record(*request, now)));
        }
        self.suspects.retain(|_, suspect| !suspect.is_empty());
        if !self.suspects.values().any(|suspect| suspect.ends.iter().any(|end| end.server == server)) {
            self.terminated_servers.remove(server);
        }
        changes
    }

    /// Returns whether this request may be sent. `first` is true on the one box that may try a held request.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, first: bool, now: Millis) -> Verdict {
        let now = now as i64;
        let Some(suspect) = self.suspects.get(&request) else { return Verdict::Free };
        let Some(since) = suspect.held_since().filter(|since| now < since + SUSPECT_TTL_MS) else {
            return Verdict::Free;
        };
        if self.is_explained(request, suspect) {
            return Verdict::Free;
        }
        if first && suspect.trial_after().is_some_and(|after| now >= since + after) {
            return Verdict::Trial;
        }
        // As long again as it has been held.
        let min_retry_ms = if suspect.scope == Scope::Whole { MIN_RETRY_MS } else { MIN_PART_RETRY_MS };
        let retry_ms = (now - since).clamp(min_retry_ms, MAX_RETRY_MS) as Millis;
        Verdict::Held { retry_ms }
    }

    fn is_held(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request).filter(|suspect| suspect.has_enough_ends());
        suspect.is_some_and(|suspect| !self.is_explained(request, suspect))
    }

    /// True if another suspect was on all servers that terminated under this one, and is the better explanation. Whole
    /// requests don't explain each other.
    fn is_explained(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        self.suspects.iter().any(|(other_request, other)| {
            *other_request != request
                && other.has_enough_ends()
                && (suspect.scope, other.scope) != (Scope::Whole, Scope::Whole)
                && other.explains(suspect)
        })
    }

    /// Records that a held request is sent as a trial. Returns the change that other boxes must know.
    pub fn begin_trial(&mut self, request: Fingerprint, now: Millis) -> Change {
        let Some(suspect) = self.suspects.get(&request) else { return Change::Unchanged };
        let trials = suspect.trials + 1;
        let record = suspect.record(request, now as i64);
        self.on_record(&SuspectRecord { trials, ago: 0, ..record }, now)
    }

    /// Returns the record of a request, if it is a suspect.
    #[must_use]
    pub fn record(&self, request: Fingerprint, now: Millis) -> Option<SuspectRecord> {
        self.suspects.get(&request).map(|suspect| suspect.record(request, now as i64))
    }

    /// Returns the records that a new box needs: held and cleared requests.
    #[must_use]
    pub fn records(&self, now: Millis) -> Vec<SuspectRecord> {
        let known = self.suspects.iter().filter(|(_, suspect)| suspect.has_enough_ends() || suspect.survivals > 0);
        known.map(|(request, suspect)| suspect.record(*request, now as i64)).collect()
    }

    /// Iterates over the held requests.
    pub fn held(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.suspects.keys().copied().filter(|request| self.is_held(*request))
    }

    /// Returns a digest that is equal on boxes that hold the same requests.
    pub fn digest(&mut self, now: Millis) -> u64 {
        let now = now as i64;
        if now >= self.expire_at && !self.suspects.is_empty() {
            self.expire_at = now + EXPIRE_INTERVAL_MS;
            self.retain(|suspect| now < suspect.changed + SUSPECT_TTL_MS);
        }
        self.digest
    }

    /// Evicts the least significant suspects if there are too many: those with few terminations, long ago.
    fn make_room(&mut self, request: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.has_enough_ends(), suspect.ends.len(), suspect.changed);
        let mut weights: Vec<_> = self.suspects.values().map(weight).collect();
        let (_, threshold, _) = weights.select_nth_unstable(EVICTION_BATCH);
        let threshold = *threshold;
        self.retain(|suspect| weight(suspect) > threshold);
    }

    fn retain(&mut self, keep: impl Fn(&Suspect) -> bool) {
        self.suspects.retain(|_, suspect| keep(suspect));
        let digests = self.suspects.iter().map(|(request, suspect)| suspect.digest(*request));
        self.digest = digests.fold(0, u64::wrapping_add);
        self.terminated_servers =
            self.suspects.values().flat_map(|suspect| &suspect.ends).map(|end| end.server.clone()).collect();
    }
}

impl Suspect {
    /// Applies a record. False if all of it was known or is disproved.
    fn apply(&mut self, record: &SuspectRecord, now: i64, disproved: impl Fn(&SeenTermination) -> bool) -> bool {
        if record.survivals < self.survivals {
            return false;
        }
        // A part may be at different positions of prompts.
        self.scope = if self.is_empty() { record.scope } else { self.scope.min(record.scope) };
        let mut is_new = record.survivals > self.survivals;
        if is_new {
            *self = Self { scope: self.scope, survivals: record.survivals, changed: self.changed, ..Self::default() };
        }
        for end in &record.ends {
            let [sent, at] = [end.sent, end.ago].map(|ago| now - ago as i64);
            let ended = SeenTermination { server: end.server.clone(), sent, at };
            if !disproved(&ended) && self.ends.iter().all(|known| known.server != end.server) {
                self.ends.push(ended);
                is_new = true;
            }
        }
        self.ends.sort_unstable_by_key(|end| end.at);
        while self.ends.len() > MAX_TERMINATIONS {
            self.ends.remove(self.least_significant());
        }
        is_new |= record.trials > self.trials;
        self.trials = self.trials.max(record.trials);
        is_new
    }

    /// Returns since when it is held; `None` if it isn't.
    fn held_since(&self) -> Option<i64> {
        self.ends.get(TERMINATIONS_TO_HOLD - 1).filter(|_| self.has_enough_ends()).map(|end| end.at)
    }

    /// True if it is held unless another suspect explains its terminations.
    ///
    /// A hall that is lost ends several servers under a part that runs everywhere. So one of the servers must have been sent
    /// the part after another one had terminated under it.
    fn has_enough_ends(&self) -> bool {
        self.ends.len() >= TERMINATIONS_TO_HOLD && (self.scope == Scope::Whole || self.sequential().len() > 1)
    }

    /// True if it was on all servers that terminated under `other`, and on more of them or is more specific.
    fn explains(&self, other: &Self) -> bool {
        let has = |end: &SeenTermination| self.ends.iter().any(|own| own.server == end.server);
        (self.ends.len() > other.ends.len() || self.scope > other.scope) && other.ends.iter().all(has)
    }

    /// True if there is nothing to remember.
    fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.survivals == 0
    }

    /// Returns the indices in `ends` of servers that terminated one after the other: each was sent the request after
    /// the one before had terminated.
    fn sequential(&self) -> Vec<usize> {
        let mut last = i64::MIN;
        let mut indices = Vec::new();
        for (index, end) in self.ends.iter().enumerate() {
            if end.sent >= last {
                last = end.at;
                indices.push(index);
            }
        }
        indices
    }

    /// Returns the index of the least significant termination: the last one that is not sequential, or else the last
    /// of all.
    fn least_significant(&self) -> usize {
        let sequential = self.sequential();
        (0..self.ends.len()).rev().find(|index| !sequential.contains(index)).unwrap_or(self.ends.len() - 1)
    }

    /// Returns when it may be tried, counted from when it was held; `None` if it was tried often enough.
    fn trial_after(&self) -> Option<i64> {
        match (self.scope, self.trials) {
            // Sound requests share it if it is held by mistake, so one trial decides soon.
            (Scope::Part { .. }, 0) => Some(EARLY_TRIAL_DELAY_MS),
            (Scope::Part { .. }, 1) => Some(TRIAL_DELAY_MS),
            (Scope::Part { .. }, 2) | (Scope::Whole, 1) => Some(LAST_TRIAL_DELAY_MS),
            (Scope::Whole, 0) if self.sequential().len() < TERMINATIONS_TO_HOLD => Some(EARLY_TRIAL_DELAY_MS),
            (Scope::Whole, 0) => Some(TRIAL_DELAY_MS),
            _ => None,
        }
    }

    fn record(&self, request: Fingerprint, now: i64) -> SuspectRecord {
        let ago = |at: i64| (now - at).max(0) as Millis;
        let end =
            |end: &SeenTermination| Termination { server: end.server.clone(), sent: ago(end.sent), ago: ago(end.at) };
        SuspectRecord {
            request,
            scope: self.scope,
            survivals: self.survivals,
            ends: self.ends.iter().map(end).collect(),
            trials: self.trials,
            ago: ago(self.changed),
        }
    }

    /// Returns its contribution to the digest: 0 for a mere suspect.
    fn digest(&self, request: Fingerprint) -> u64 {
        let held = self.has_enough_ends();
        if !held && self.survivals == 0 {
            return 0;
        }
        let [a, b, c, d] = self.survivals.to_le_bytes();
        rank_bytes(request.0, &[a, b, c, d, u8::from(held), self.trials])
    }
}
