//! Which box owns a server, and the questions that are on their way there.

use clock::Clock;
use peers::{Millis, MissedReplies, Profile};
use placement::{
    Fingerprint, LimitUpdate, LivenessEvidence, Owner, PermitReply, PermitRequest, SendReport, SendUpdate,
    ServerStatus, StatusQuery, SuspectRecord,
};
use relay::PeerClient;
use routing::{rank, rank_address, Server};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot};

/// Most messages on their way to the control thread; more are dropped, and their questions go unanswered.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Questions from which on those are dropped that nobody waits for any more.
const PENDING_CLEANUP_THRESHOLD: usize = 256;

/// How long after its start a box gives no leave: a former life at its address may have given some within the last second.
const FIRST_PERMIT_DELAY: Millis = 1_500;

/// Questions that wait for their answers, by number.
struct PendingReplies<T>(HashMap<u64, oneshot::Sender<T>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T> PendingReplies<T> {
    /// Notes whom to tell an answer. Those whose requests wait no longer are dropped now and then.
    fn insert(&mut self, number: u64, sender: oneshot::Sender<T>) {
        if self.0.len() >= PENDING_CLEANUP_THRESHOLD {
            self.0.retain(|_, sender| !sender.is_closed());
        }
        self.0.insert(number, sender);
    }

    /// Tells an answer to who waits for it.
    fn resolve(&mut self, number: u64, value: T) {
        if let Some(sender) = self.0.remove(&number) {
            // An error means that the request no longer waits.
            let _ = sender.send(value);
        }
    }
}

/// Between boxes, about servers that one of them owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    Question(StatusQuery),
    Opinion(ServerStatus),
    Report(SendReport),
    Permit {
        permit: PermitRequest,
        hall: String,
    },
    Permitted {
        number: u64,
        #[serde(rename = "leave")]
        reply: PermitReply,
    },
    /// Requests under which servers ended, or that were found innocent, and servers that answer; `asks` for the same.
    Suspects {
        records: Vec<SuspectRecord>,
        #[serde(rename = "signs")]
        evidence: Vec<LivenessEvidence>,
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
    /// What servers said of themselves to all boxes: lives that leave, and what lives take; `asks` for the same.
    Notices {
        leaving: Vec<String>,
        limits: Vec<LimitUpdate>,
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
}

impl Message {
    /// What kind of message it is, for metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Question(_) => "question",
            Self::Opinion(_) => "opinion",
            Self::Report(_) => "report",
            Self::Permit { .. } => "permit",
            Self::Permitted { .. } => "permitted",
            Self::Suspects { .. } => "suspects",
            Self::Notices { .. } => "notices",
        }
    }
}

/// Questions to owners, answers, and what this box itself owns. Shared by all threads.
pub(super) struct OwnerService {
    me: SocketAddr,
    clock: Arc<dyn Clock>,
    /// When this was made, by that clock.
    began: Millis,
    state: Mutex<State>,
    out: mpsc::Sender<(Destination, Message)>,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Destination {
    /// To one box.
    One(SocketAddr),
    /// To all boxes, each of them by itself.
    AllDirect,
    /// To all boxes, by way of those that watch.
    AllViaWatchers,
}

#[derive(Default)]
struct State {
    owner: Owner,
    /// Boxes by hall, this one included. No hall is without a box.
    halls: HashMap<String, Vec<SocketAddr>>,
    /// True once another box knew the same ones: before, this box may take itself for the owner of what others own.
    converged: bool,
    /// Which boxes aren't asked.
    missed_replies: MissedReplies,
    /// Who waits for opinions.
    status_queries: PendingReplies<ServerStatus>,
    /// Who waits for leaves.
    permit_requests: PendingReplies<PermitReply>,
    /// Who hears of a lease, until it has ended.
    lease_owners: HashMap<u64, SocketAddr>,
}

impl OwnerService {
    /// Advice for the box `me`, and what it wants to send.
    pub(super) fn new(me: SocketAddr, clock: Arc<dyn Clock>) -> (Arc<Self>, mpsc::Receiver<(Destination, Message)>) {
        let (out, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let began = clock.now();
        let service = Self { me, clock, began, state: Mutex::default(), out };
        (Arc::new(service), messages)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.clock.now().saturating_sub(self.began)
    }

    /// Takes the boxes that are known.
    pub(super) fn set_boxes(&self, boxes: Vec<(SocketAddr, Profile)>, converged: bool) {
        let mut state = self.state();
        state.converged = converged;
        state.halls.clear();
        for (address, profile) in boxes {
            state.halls.entry(profile.hall).or_default().push(address);
        }
    }

    /// Forgets servers that are no longer listed.
    pub(super) fn retain_servers(&self, instances: &HashSet<&str>) {
        self.state().owner.retain(|id| instances.contains(id));
    }

    /// Gives or denies leave for a send to a server of `hall`.
    fn grant(&self, state: &mut State, permit: &PermitRequest, hall: &str, now: Millis) -> PermitReply {
        let is_permitted = state.converged
            && now >= FIRST_PERMIT_DELAY
            && state.permit_owner_of(&permit.server, hall) == Some(self.me);
        if is_permitted {
            state.owner.on_permit_request(permit, now)
        } else {
            PermitReply::Denied { retry_ms: 0 }
        }
    }

    /// Takes a message of another box; the answer, if it is owed one.
    pub(super) fn on_message(&self, from: SocketAddr, message: Message) -> Option<Message> {
        let now = self.now();
        let mut state = self.state();
        state.missed_replies.record_reply(from);
        match message {
            Message::Question(query) => Some(Message::Opinion(state.owner.on_query(&query, now))),
            Message::Report(report) => {
                state.owner.on_report(from, report, now);
                None
            }
            Message::Permit { permit, hall } => {
                let number = permit.number;
                let reply = self.grant(&mut state, &permit, &hall, now);
                Some(Message::Permitted { number, reply })
            }
            Message::Permitted { number, reply } => {
                state.permit_requests.resolve(number, reply);
                None
            }
            Message::Opinion(status) => {
                state.status_queries.resolve(status.number, status);
                None
            }
            // For the quarantine and the placement, not for owners.
            Message::Suspects { .. } | Message::Notices { .. } => None,
        }
    }

    fn send(&self, to: Destination, message: Message) {
        if self.out.try_send((to, message)).is_err() {
            metrics::counter!("cleatshelf_frames_dropped_total").increment(1);
        }
    }
}

impl State {
    /// The box that owns a server: equal on every box that knows the same boxes. One of the server's hall, so that
    /// who reaches the one reaches the other.
    fn owner_of(&self, server: &Server, now: Millis) -> Option<SocketAddr> {
        self.first_ranked(&server.id, &server.hall, |address| !self.missed_replies.is_unresponsive(address, now))
    }

    /// The one box that may give leave for sends to a server, whether it is heard or not: two that each took the other
    /// for silent would give twice what the server bears.
    fn permit_owner_of(&self, server: &str, hall: &str) -> Option<SocketAddr> {
        self.first_ranked(server, hall, |_| true)
    }

    /// The box that ranks first for a server among those that may: one of its hall, else any.
    fn first_ranked(&self, server: &str, hall: &str, is_eligible: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        let key = rank(0, server);
        let same_hall =
            highest_ranked(self.halls.get(hall).into_iter().flatten().filter(|address| is_eligible(address)), key);
        same_hall.or_else(|| highest_ranked(self.boxes().filter(|address| is_eligible(address)), key))
    }

    /// All boxes, this one included.
    fn boxes(&self) -> impl Iterator<Item = &SocketAddr> {
        self.halls.values().flatten()
    }
}

/// The box that ranks first for `key`.
fn highest_ranked<'a>(boxes: impl Iterator<Item = &'a SocketAddr>, key: u64) -> Option<SocketAddr> {
    boxes.max_by_key(|address| rank_address(key, address)).copied()
}

/// The peer client of the traffic threads.
pub(super) struct OwnerClient(pub(super) Arc<OwnerService>);

impl PeerClient for OwnerClient {
    fn request_status(&self, server: &Server, query: StatusQuery) -> Option<oneshot::Receiver<ServerStatus>> {
        let service = &self.0;
        let now = service.now();
        let mut state = service.state();
        let owner = state.owner_of(server, now)?;
        let (sender, receiver) = oneshot::channel();
        if owner == service.me {
            let status = state.owner.on_query(&query, now);
            // Can't fail: the receiver is still alive.
            let _ = sender.send(status);
            return Some(receiver);
        }
        state.status_queries.insert(query.number, sender);
        drop(state);
        service.send(Destination::One(owner), Message::Question(query));
        Some(receiver)
    }

    fn request_permit(&self, server: &Server, permit: PermitRequest) -> Option<oneshot::Receiver<PermitReply>> {
        let service = &self.0;
        let now = service.now();
        let mut state = service.state();
        let owner = state.permit_owner_of(&server.id, &server.hall)?;
        let (sender, receiver) = oneshot::channel();
        if owner == service.me {
            // Can't fail: the receiver is still alive.
            let _ = sender.send(service.grant(&mut state, &permit, &server.hall, now));
            return Some(receiver);
        }
        if state.missed_replies.is_unresponsive(&owner, now) {
            return None;
        }
        state.permit_requests.insert(permit.number, sender);
        drop(state);
        service.send(Destination::One(owner), Message::Permit { permit, hall: server.hall.clone() });
        Some(receiver)
    }

    fn report(&self, server: &Server, report: SendReport) {
        let service = &self.0;
        let now = service.now();
        let mut state = service.state();
        let owner = match report.update {
            SendUpdate::Sent { .. } => {
                let owner = state.owner_of(server, now);
                if let Some(owner) = owner {
                    state.lease_owners.insert(report.number, owner);
                }
                owner
            }
            SendUpdate::Elsewhere { .. } => state.owner_of(server, now),
            SendUpdate::Read | SendUpdate::Late => state.lease_owners.get(&report.number).copied(),
            SendUpdate::Ended { .. } => state.lease_owners.remove(&report.number),
        };
        let Some(owner) = owner else { return };
        if owner == service.me {
            state.owner.on_report(owner, report, now);
            return;
        }
        drop(state);
        service.send(Destination::One(owner), Message::Report(report));
    }

    fn on_missed_reply(&self, server: &Server) {
        let now = self.0.now();
        let mut state = self.0.state();
        let Some(owner) = state.owner_of(server, now).filter(|owner| *owner != self.0.me) else { return };
        state.missed_replies.record_missed(owner, now);
    }

    fn broadcast_suspects(&self, records: Vec<SuspectRecord>, evidence: Vec<LivenessEvidence>) {
        self.0.send(Destination::AllDirect, Message::Suspects { records, evidence, wants_reply: false });
    }

    fn broadcast_leaving(&self, instance: &str) {
        self.0.send(
            Destination::AllViaWatchers,
            Message::Notices { leaving: vec![instance.to_owned()], limits: Vec::new(), wants_reply: false },
        );
    }

    fn broadcast_limit(&self, limit: &LimitUpdate) {
        self.0.send(
            Destination::AllViaWatchers,
            Message::Notices { leaving: Vec::new(), limits: vec![limit.clone()], wants_reply: false },
        );
    }

    fn ranks_first(&self, request: Fingerprint) -> bool {
        let state = self.0.state();
        state.converged && highest_ranked(state.boxes(), request.0) == Some(self.0.me)
    }
}
