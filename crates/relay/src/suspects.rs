//! Quarantine of requests under which servers terminated, shared with the other boxes.

use crate::crash::LostRequest;
use crate::Shared;
use placement::{
    Change, Doubt, Fingerprint, LivenessEvidence, Millis, Quarantine, Scope, SuspectRecord, Termination, Trait, Verdict,
};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::sync::{MutexGuard, PoisonError};
use telemetry::Event;

impl Shared {
    /// Locks the quarantine. The guard must not be held across an await point.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server terminated while it had these requests, and broadcasts what is new.
    pub(crate) fn on_server_terminated(&self, server: &str, requests: &[LostRequest]) {
        let now = self.now();
        self.doubt(server, now);
        let changes: Vec<Change> = {
            let mut quarantine = self.quarantine();
            let end = |lost: &LostRequest| Termination {
                server: server.to_owned(),
                sent: now.saturating_sub(lost.sent),
                ago: now.saturating_sub(lost.at),
            };
            let suspects = requests.iter().flat_map(|lost| lost.suspects.iter().map(move |suspect| (lost, suspect)));
            suspects.map(|(lost, suspect)| quarantine.record_termination_of(*suspect, end(lost), now)).collect()
        };
        self.broadcast(changes);
    }

    /// Records that a server ran this request and survived, or that an operator released it. If the request was
    /// suspected, all boxes are informed that it is innocent. Returns false if it was not suspected.
    pub fn record_survival(&self, request: Fingerprint) -> bool {
        let now = self.now();
        let change = self.quarantine().record_survival(request, now);
        let suspected = change != Change::Unchanged;
        self.broadcast(vec![change]);
        suspected
    }

    /// Records that a server ran a request with these traits and survived.
    pub(crate) fn record_survivals(&self, traits: &[Trait]) {
        let now = self.now();
        let changes = {
            let mut quarantine = self.quarantine();
            traits.iter().map(|one| quarantine.record_survival(one.fingerprint, now)).collect()
        };
        self.broadcast(changes);
    }

    /// Records that a server answers. If a box reported it as terminated, all boxes are informed that it is alive.
    pub(crate) fn on_server_answered(&self, server: &str) {
        let now = self.now();
        let changes = self.quarantine().record_answer(server, now);
        if !changes.is_empty() {
            changes.iter().for_each(log_change);
            self.peer_client
                .broadcast_suspects(Vec::new(), vec![LivenessEvidence { server: server.to_owned(), ago: 0 }]);
        }
    }

    /// Records that an instance was seen to end at `at`.
    fn doubt(&self, instance: &str, at: Millis) {
        if self.placement().record_ended(instance, at) {
            let ago = self.now().saturating_sub(at);
            telemetry::emit(Event::LifeDoubted, format_args!("server={instance} ago={ago}"));
        }
    }

    /// Records that another box, which has sent the list of servers, saw instances end.
    pub fn on_peer_doubts(&self, doubts: &[Doubt]) {
        let now = self.now();
        doubts.iter().for_each(|doubt| self.doubt(&doubt.server, now.saturating_sub(doubt.ago)));
    }

    /// Records that an instance answers on a connection that was opened at `opened`.
    pub(crate) fn on_instance_answered(&self, instance: &str, opened: Millis) {
        let now = self.now();
        // Bound first: the guard must not be held while the quarantine is locked.
        let is_alive = self.placement().record_answer(instance, opened, now);
        if is_alive {
            self.on_instance_alive(instance, now);
        }
    }

    /// Records that the list of servers is complete, except for `lapsed`, the names of servers that are kept although their
    /// entries are gone.
    pub fn on_list_complete(&self, lapsed: &BTreeSet<String>) {
        let alive = self.placement().record_listed(lapsed, self.now());
        for (instance, at) in alive {
            self.on_instance_alive(&instance, at);
        }
    }

    /// True on the one box that looks for an instance which may have ended, and tells the others what it finds. All boxes
    /// that watch one list have their proofs at the same moment.
    pub(crate) fn looks_for(&self, instance: &str) -> bool {
        self.peer_client.ranks_first(Fingerprint(routing::rank(self.secret, instance)))
    }

    /// Corrects what was believed because an instance was taken to have ended.
    fn on_instance_alive(&self, instance: &str, at: Millis) {
        let now = self.now();
        let evidence = LivenessEvidence { server: instance.to_owned(), ago: now.saturating_sub(at) };
        telemetry::emit(Event::LifeConfirmed, format_args!("server={instance} from=Own"));
        let changes = self.quarantine().on_liveness_evidence(&evidence, now);
        changes.iter().for_each(log_change);
        if self.looks_for(instance) {
            self.peer_client.broadcast_suspects(Vec::new(), vec![evidence]);
        }
    }

    /// Returns the servers that are taken to have ended.
    pub(crate) fn ended_servers(&self) -> HashSet<String> {
        let mut ended = self.quarantine().terminated_servers().clone();
        ended.extend(self.placement().doubted().into_iter().map(|server| server.id.clone()));
        ended
    }

    /// Records what another box reported about requests and servers. Returns the evidence that contradicts it, for that
    /// box.
    #[must_use]
    pub fn on_peer_suspects(
        &self,
        records: &[SuspectRecord],
        evidence: Vec<LivenessEvidence>,
    ) -> Vec<LivenessEvidence> {
        let now = self.now();
        {
            // Most records of a message name the same few servers.
            let mut ended: HashMap<&str, Millis> = HashMap::new();
            for end in records.iter().flat_map(|record| &record.ends) {
                let at = ended.entry(&end.server).or_default();
                *at = now.saturating_sub(end.ago).max(*at);
            }
            ended.into_iter().for_each(|(server, at)| self.doubt(server, at));
        }
        for item in &evidence {
            let at = now.saturating_sub(item.ago);
            if self.placement().record_alive(&item.server, at) {
                telemetry::emit(Event::LifeConfirmed, format_args!("server={} from=Peer", item.server));
            }
        }
        let mut quarantine = self.quarantine();
        let mut changes = Vec::new();
        let mut confirmed = Vec::new();
        for item in evidence {
            let disproved = quarantine.on_liveness_evidence(&item, now);
            if !disproved.is_empty() {
                confirmed.push(item);
            }
            changes.extend(disproved);
        }
        changes.extend(records.iter().map(|record| quarantine.on_record(record, now)));
        let contradictions = records.iter().flat_map(|record| quarantine.evidence_against(record, now)).collect();
        drop(quarantine);
        changes.iter().for_each(log_change);
        if !confirmed.is_empty() {
            // Boxes that received the wrong report from this box need the correction too. Boxes that already know it
            // send nothing more, so this ends.
            self.peer_client.broadcast_suspects(Vec::new(), confirmed);
        }
        contradictions
    }

    /// Returns the quarantine's verdict on a request with these traits: the strictest one.
    pub(crate) fn verdict(&self, traits: &[Trait]) -> Verdict {
        let verdicts = traits.iter().map(|one| self.verdict_on(one.fingerprint));
        verdicts.fold(Verdict::Free, |strictest, verdict| match (strictest, verdict) {
            (Verdict::Held { retry_ms: one }, Verdict::Held { retry_ms: other }) => {
                Verdict::Held { retry_ms: one.max(other) }
            }
            (held @ Verdict::Held { .. }, _) | (_, held @ Verdict::Held { .. }) => held,
            (Verdict::Trial, _) | (_, Verdict::Trial) => Verdict::Trial,
            (Verdict::Free, Verdict::Free) => Verdict::Free,
        })
    }

    fn verdict_on(&self, request: Fingerprint) -> Verdict {
        let now = self.now();
        let verdict = self.quarantine().verdict(request, false, now);
        if verdict == Verdict::Free {
            // Determining the box that may probe a held request looks at all boxes, so it is skipped for requests that
            // aren't held.
            return verdict;
        }
        let first = self.peer_client.ranks_first(request);
        self.quarantine().verdict(request, first, now)
    }

    /// Records that a request is sent once as a half-open probe of those of its traits that are held.
    pub(crate) fn begin_probes(&self, traits: &[Trait]) {
        let tried = traits.iter().map(|one| one.fingerprint);
        for request in tried.filter(|request| self.verdict_on(*request) == Verdict::Trial).collect::<Vec<_>>() {
            let change = self.quarantine().begin_trial(request, self.now());
            telemetry::emit(Event::RequestTried, format_args!("request={request}"));
            self.broadcast(vec![change]);
        }
    }

    /// Logs changes and broadcasts them to the other boxes.
    fn broadcast(&self, changes: Vec<Change>) {
        changes.iter().for_each(log_change);
        let records: Vec<SuspectRecord> = changes.into_iter().filter_map(Change::into_record).collect();
        if !records.is_empty() {
            self.peer_client.broadcast_suspects(records, Vec::new());
        }
    }
}

/// Logs that a request was quarantined or released.
fn log_change(change: &Change) {
    let (event, record) = match change {
        Change::Held(record) => (Event::RequestHeld, record),
        Change::Lifted(record) => (Event::RequestLifted, record),
        Change::Updated(_) | Change::Unchanged => return,
    };
    let mut ends = String::new();
    for end in &record.ends {
        // Writing to a `String` can't fail.
        let _ = write!(ends, "{}{}@-{}ms", if ends.is_empty() { "" } else { "," }, end.server, end.ago);
    }
    telemetry::emit(
        event,
        format_args!(
            "request={} scope={} ends={ends} survivals={} trials={}",
            record.request,
            scope_name(record.scope),
            record.survivals,
            record.trials
        ),
    );
}

/// Returns the word for logs.
fn scope_name(scope: Scope) -> String {
    match scope {
        Scope::Part { position } => format!("part{position}"),
        Scope::Whole => "whole".to_owned(),
    }
}
