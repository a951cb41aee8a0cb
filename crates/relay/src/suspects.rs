//! What this box and others make of requests under which servers ended.

use crate::crash::LostRequest;
use crate::Shared;
use placement::{Change, Fingerprint, LivenessEvidence, Quarantine, SuspectRecord, Termination, Verdict};
use std::fmt::Write;
use std::sync::{MutexGuard, PoisonError};
use telemetry::Event;

impl Shared {
    /// The requests under which servers ended, for a short while: nobody awaits while holding it.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server ended while these requests were there: tells the other boxes what is new to this one.
    pub(crate) fn on_server_terminated(&self, server: &str, requests: &[LostRequest]) {
        let now = self.now();
        let changes: Vec<Change> = {
            let mut quarantine = self.quarantine();
            let end = |lost: &LostRequest| Termination {
                server: server.to_owned(),
                sent: now.saturating_sub(lost.sent),
                ago: now.saturating_sub(lost.at),
            };
            requests.iter().map(|lost| quarantine.record_termination(lost.request, end(lost), now)).collect()
        };
        self.broadcast(changes);
    }

    /// A server ran this request and lives, or an operator lets it through: if it was suspected, all boxes hear that it is
    /// innocent. False where it wasn't.
    pub fn record_survival(&self, request: Fingerprint) -> bool {
        let now = self.now();
        let change = self.quarantine().record_survival(request, now);
        let suspected = change != Change::Unchanged;
        self.broadcast(vec![change]);
        suspected
    }

    /// A server answers: if some box took it for ended, all hear that it lives.
    pub(crate) fn on_server_answered(&self, server: &str) {
        let now = self.now();
        let changes = self.quarantine().record_answer(server, now);
        if !changes.is_empty() {
            changes.iter().for_each(log_change);
            self.peer_client
                .broadcast_suspects(Vec::new(), vec![LivenessEvidence { server: server.to_owned(), ago: 0 }]);
        }
    }

    /// Takes what another box knows of requests and servers. What disproves it, for that box.
    #[must_use]
    pub fn on_peer_suspects(
        &self,
        records: &[SuspectRecord],
        evidence: Vec<LivenessEvidence>,
    ) -> Vec<LivenessEvidence> {
        let now = self.now();
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
            // Those who believed this box's word must hear it too; those who know say nothing more.
            self.peer_client.broadcast_suspects(Vec::new(), confirmed);
        }
        contradictions
    }

    /// Whether a request may be sent, as far as servers ended under it.
    pub(crate) fn verdict(&self, request: Fingerprint) -> Verdict {
        let now = self.now();
        let verdict = self.quarantine().verdict(request, false, now);
        if verdict == Verdict::Free {
            // Which box may try a held request takes a look at all boxes: not for each request while any is suspected.
            return verdict;
        }
        let first = self.peer_client.ranks_first(request);
        self.quarantine().verdict(request, first, now)
    }

    /// A request that is held is being sent once after all.
    pub(crate) fn begin_probe(&self, request: Fingerprint) {
        let change = self.quarantine().begin_trial(request, self.now());
        telemetry::emit(Event::RequestTried, format_args!("request={request}"));
        self.broadcast(vec![change]);
    }

    /// Logs what has changed, and tells the other boxes.
    fn broadcast(&self, changes: Vec<Change>) {
        changes.iter().for_each(log_change);
        let records: Vec<SuspectRecord> = changes.into_iter().filter_map(Change::into_record).collect();
        if !records.is_empty() {
            self.peer_client.broadcast_suspects(records, Vec::new());
        }
    }
}

/// Logs that a request is held, or no longer is.
fn log_change(change: &Change) {
    let (event, record) = match change {
        Change::Held(record) => (Event::RequestHeld, record),
        Change::Lifted(record) => (Event::RequestLifted, record),
        Change::Updated(_) | Change::Unchanged => return,
    };
    let mut ends = String::new();
    for end in &record.ends {
        // Writing to memory can't fail.
        let _ = write!(ends, "{}{}@-{}ms", if ends.is_empty() { "" } else { "," }, end.server, end.ago);
    }
    telemetry::emit(
        event,
        format_args!("request={} ends={ends} survivals={} trials={}", record.request, record.survivals, record.trials),
    );
}
