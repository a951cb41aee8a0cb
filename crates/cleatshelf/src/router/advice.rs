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
const QUEUE_MOST: usize = 4_096;

/// Questions from which on those are dropped that nobody waits for any more.
const WAITING_MOST: usize = 256;

/// How long after its start a box gives no leave: a former life at its address may have given some within the last second.
const FIRST_LEAVE: Millis = 1_500;

/// Questions that wait for their answers, by number.
struct Waiting<T>(HashMap<u64, oneshot::Sender<T>>);

impl<T> Default for Waiting<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T> Waiting<T> {
    /// Notes whom to tell an answer. Those whose requests wait no longer are dropped now and then.
    fn add(&mut self, number: u64, answer: oneshot::Sender<T>) {
        if self.0.len() >= WAITING_MOST {
            self.0.retain(|_, waiting| !waiting.is_closed());
        }
        self.0.insert(number, answer);
    }

    /// Tells an answer to who waits for it.
    fn answer(&mut self, number: u64, value: T) {
        if let Some(waiting) = self.0.remove(&number) {
            // An error means that the request no longer waits.
            let _ = waiting.send(value);
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
        leave: PermitReply,
    },
    /// Requests under which servers ended, or that were found innocent, and servers that answer; `asks` for the same.
    Suspects {
        records: Vec<SuspectRecord>,
        signs: Vec<LivenessEvidence>,
        asks: bool,
    },
    /// What servers said of themselves to all boxes: lives that leave, and what lives take; `asks` for the same.
    Notices {
        leaving: Vec<String>,
        limits: Vec<LimitUpdate>,
        asks: bool,
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
pub(super) struct Advice {
    me: SocketAddr,
    clock: Arc<dyn Clock>,
    /// When this was made, by that clock.
    began: Millis,
    state: Mutex<State>,
    out: mpsc::Sender<(To, Message)>,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum To {
    /// To one box.
    One(SocketAddr),
    /// To all boxes, each of them by itself.
    Each,
    /// To all boxes, by way of those that watch.
    All,
}

#[derive(Default)]
struct State {
    owner: Owner,
    /// Boxes by hall, this one included. No hall is without a box.
    halls: HashMap<String, Vec<SocketAddr>>,
    /// True once another box knew the same ones: before, this box may take itself for the owner of what others own.
    settled: bool,
    /// Which boxes aren't asked.
    silence: MissedReplies,
    /// Who waits for opinions.
    opinions: Waiting<ServerStatus>,
    /// Who waits for leaves.
    leaves: Waiting<PermitReply>,
    /// Who hears of a lease, until it has ended.
    leases: HashMap<u64, SocketAddr>,
}

impl Advice {
    /// Advice for the box `me`, and what it wants to send.
    pub(super) fn new(me: SocketAddr, clock: Arc<dyn Clock>) -> (Arc<Self>, mpsc::Receiver<(To, Message)>) {
        let (out, sent) = mpsc::channel(QUEUE_MOST);
        let began = clock.now();
        let advice = Self { me, clock, began, state: Mutex::default(), out };
        (Arc::new(advice), sent)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.clock.now().saturating_sub(self.began)
    }

    /// Takes the boxes that are known.
    pub(super) fn set_boxes(&self, boxes: Vec<(SocketAddr, Profile)>, settled: bool) {
        let mut state = self.state();
        state.settled = settled;
        state.halls.clear();
        for (address, profile) in boxes {
            state.halls.entry(profile.hall).or_default().push(address);
        }
    }

    /// Forgets servers that are no longer listed.
    pub(super) fn retain(&self, lives: &HashSet<&str>) {
        self.state().owner.retain(|id| lives.contains(id));
    }

    /// Gives or denies leave for a send to a server of `hall`.
    fn grant(&self, state: &mut State, permit: &PermitRequest, hall: &str, now: Millis) -> PermitReply {
        let may = state.settled && now >= FIRST_LEAVE && state.granter_of(&permit.server, hall) == Some(self.me);
        if may {
            state.owner.on_permit_request(permit, now)
        } else {
            PermitReply::Denied { retry_ms: 0 }
        }
    }

    /// Takes a message of another box; the answer, if it is owed one.
    pub(super) fn handle(&self, from: SocketAddr, message: Message) -> Option<Message> {
        let now = self.now();
        let mut state = self.state();
        state.silence.record_reply(from);
        match message {
            Message::Question(question) => Some(Message::Opinion(state.owner.on_query(&question, now))),
            Message::Report(report) => {
                state.owner.on_report(from, report, now);
                None
            }
            Message::Permit { permit, hall } => {
                let number = permit.number;
                let leave = self.grant(&mut state, &permit, &hall, now);
                Some(Message::Permitted { number, leave })
            }
            Message::Permitted { number, leave } => {
                state.leaves.answer(number, leave);
                None
            }
            Message::Opinion(opinion) => {
                state.opinions.answer(opinion.number, opinion);
                None
            }
            // For the quarantine and the placement, not for owners.
            Message::Suspects { .. } | Message::Notices { .. } => None,
        }
    }

    fn send(&self, to: To, message: Message) {
        if self.out.try_send((to, message)).is_err() {
            metrics::counter!("cleatshelf_frames_dropped_total").increment(1);
        }
    }
}

impl State {
    /// The box that owns a server: equal on every box that knows the same boxes. One of the server's hall, so that
    /// who reaches the one reaches the other.
    fn owner_of(&self, server: &Server, now: Millis) -> Option<SocketAddr> {
        self.first(&server.id, &server.hall, |address| !self.silence.is_unresponsive(address, now))
    }

    /// The one box that may give leave for sends to a server, whether it is heard or not: two that each took the other
    /// for silent would give twice what the server bears.
    fn granter_of(&self, server: &str, hall: &str) -> Option<SocketAddr> {
        self.first(server, hall, |_| true)
    }

    /// The box that ranks first for a server among those that may: one of its hall, else any.
    fn first(&self, server: &str, hall: &str, may: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        let key = rank(0, server);
        let near = first_of(self.halls.get(hall).into_iter().flatten().filter(|address| may(address)), key);
        near.or_else(|| first_of(self.boxes().filter(|address| may(address)), key))
    }

    /// All boxes, this one included.
    fn boxes(&self) -> impl Iterator<Item = &SocketAddr> {
        self.halls.values().flatten()
    }
}

/// The box that ranks first for `key`.
fn first_of<'a>(boxes: impl Iterator<Item = &'a SocketAddr>, key: u64) -> Option<SocketAddr> {
    boxes.max_by_key(|address| rank_address(key, address)).copied()
}

/// The peer client of the traffic threads.
pub(super) struct Desk(pub(super) Arc<Advice>);

impl PeerClient for Desk {
    fn request_status(&self, server: &Server, question: StatusQuery) -> Option<oneshot::Receiver<ServerStatus>> {
        let advice = &self.0;
        let now = advice.now();
        let mut state = advice.state();
        let owner = state.owner_of(server, now)?;
        let (answer, waiting) = oneshot::channel();
        if owner == advice.me {
            let opinion = state.owner.on_query(&question, now);
            // The receiver is in this function.
            let _ = answer.send(opinion);
            return Some(waiting);
        }
        state.opinions.add(question.number, answer);
        drop(state);
        advice.send(To::One(owner), Message::Question(question));
        Some(waiting)
    }

    fn request_permit(&self, server: &Server, permit: PermitRequest) -> Option<oneshot::Receiver<PermitReply>> {
        let advice = &self.0;
        let now = advice.now();
        let mut state = advice.state();
        let owner = state.granter_of(&server.id, &server.hall)?;
        let (answer, waiting) = oneshot::channel();
        if owner == advice.me {
            // The receiver is in this function.
            let _ = answer.send(advice.grant(&mut state, &permit, &server.hall, now));
            return Some(waiting);
        }
        if state.silence.is_unresponsive(&owner, now) {
            return None;
        }
        state.leaves.add(permit.number, answer);
        drop(state);
        advice.send(To::One(owner), Message::Permit { permit, hall: server.hall.clone() });
        Some(waiting)
    }

    fn report(&self, server: &Server, report: SendReport) {
        let advice = &self.0;
        let now = advice.now();
        let mut state = advice.state();
        let owner = match report.update {
            SendUpdate::Sent { .. } => {
                let owner = state.owner_of(server, now);
                if let Some(owner) = owner {
                    state.leases.insert(report.number, owner);
                }
                owner
            }
            SendUpdate::Elsewhere { .. } => state.owner_of(server, now),
            SendUpdate::Read | SendUpdate::Late => state.leases.get(&report.number).copied(),
            SendUpdate::Ended { .. } => state.leases.remove(&report.number),
        };
        let Some(owner) = owner else { return };
        if owner == advice.me {
            state.owner.on_report(owner, report, now);
            return;
        }
        drop(state);
        advice.send(To::One(owner), Message::Report(report));
    }

    fn on_missed_reply(&self, server: &Server) {
        let now = self.0.now();
        let mut state = self.0.state();
        let Some(owner) = state.owner_of(server, now).filter(|owner| *owner != self.0.me) else { return };
        state.silence.record_missed(owner, now);
    }

    fn broadcast_suspects(&self, records: Vec<SuspectRecord>, signs: Vec<LivenessEvidence>) {
        self.0.send(To::Each, Message::Suspects { records, signs, asks: false });
    }

    fn broadcast_leaving(&self, life: &str) {
        self.0.send(To::All, Message::Notices { leaving: vec![life.to_owned()], limits: Vec::new(), asks: false });
    }

    fn broadcast_limit(&self, statement: &LimitUpdate) {
        self.0.send(To::All, Message::Notices { leaving: Vec::new(), limits: vec![statement.clone()], asks: false });
    }

    fn ranks_first(&self, request: Fingerprint) -> bool {
        let state = self.0.state();
        state.settled && first_of(state.boxes(), request.0) == Some(self.0.me)
    }
}
