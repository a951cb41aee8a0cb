//! Communication about servers with the boxes that own them, and the servers that this box owns itself.

use super::slot_assignment::{SlotAction, SlotAssignment};
use clock::Clock;
use dispatch::{Promises, ServerSlots, SlotRelease, SlotReply, SlotRequest, Summary};
use origins::{Answer, Keepers, Record, Stream};
use peers::{Millis, MissedReplies, Profile};
use placement::{
    Doubt, Fingerprint, LimitUpdate, LivenessEvidence, Owner, PermitReply, PermitRequest, SendReport, SendUpdate,
    ServerStatus, StatusQuery, SuspectRecord,
};
use relay::{DispatcherState, PeerClient, TunnelBoxes};
use routing::{rank, rank_address, Server};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Maximum number of messages queued for the control thread. Messages beyond it are dropped; queries among them get no
/// reply.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Number of pending queries at which those without a waiting request are removed.
const PENDING_CLEANUP_THRESHOLD: usize = 256;

/// Time after its start during which a box grants no permits: a previous process at its address may have granted some
/// within the last second.
const FIRST_PERMIT_DELAY: Millis = 1_500;

/// Interval of the timer that drives the assignment of slots.
const SLOT_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Senders for the replies to pending queries, by number.
struct PendingReplies<T>(HashMap<u64, oneshot::Sender<T>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T> PendingReplies<T> {
    /// Adds a pending query. Removes those whose requests no longer wait once there are many.
    fn insert(&mut self, number: u64, sender: oneshot::Sender<T>) {
        if self.0.len() >= PENDING_CLEANUP_THRESHOLD {
            self.0.retain(|_, sender| !sender.is_closed());
        }
        self.0.insert(number, sender);
    }

    /// Ends the wait of a request without a reply.
    fn abandon(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// Sends a reply to the request that waits for it.
    fn resolve(&mut self, number: u64, value: T) {
        if let Some(sender) = self.0.remove(&number) {
            // An error means that the request is no longer waiting.
            let _ = sender.send(value);
        }
    }
}

/// A message between boxes about servers.
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
    /// Requests under which servers terminated, or that have been cleared, and evidence of servers that are alive.
    /// `wants_reply` requests the receiver's records.
    Suspects {
        records: Vec<SuspectRecord>,
        #[serde(rename = "signs")]
        evidence: Vec<LivenessEvidence>,
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
    /// Requests a slot at a plain server from the dispatcher of its service.
    Slot(SlotRequest),
    SlotReply(SlotReply),
    /// Reports that the request with this number is queued at the dispatcher.
    SlotQueued(u64),
    SlotRelease(SlotRelease),
    /// Asks in how many milliseconds the caller of this request was told to return.
    PromiseQuery {
        number: u64,
        request: u64,
    },
    /// 0 if nothing was promised or the time has come.
    PromiseReply {
        number: u64,
        left_ms: u32,
    },
    /// Tells that the caller of this request was told to return in so many milliseconds.
    Promise {
        request: u64,
        left_ms: u32,
    },
    /// Origins of streams that the receiver keeps the records of.
    StreamOrigins(Vec<Record>),
    /// Asks what the receiver knows about the origin of a stream of this route.
    OriginQuery {
        number: u64,
        stream: Option<Stream>,
        route: String,
    },
    OriginReply {
        number: u64,
        answer: Answer,
    },
    /// Announces that the sender assigns no slots for this many milliseconds; 0 if it does from now on.
    SlotPause(u32),
    /// Hints that servers addressed to all boxes: instances that are leaving, limits of instances, and brittle services. `wants_reply`
    /// requests the receiver's hints.
    Notices {
        leaving: Vec<String>,
        limits: Vec<LimitUpdate>,
        /// Services whose servers are brittle.
        brittle: Vec<String>,
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
    /// Instances of the list that was sent before which may have ended.
    Doubts(Vec<Doubt>),
}

impl Message {
    /// Returns the kind of the message, for metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Question(_) => "question",
            Self::Opinion(_) => "opinion",
            Self::Report(_) => "report",
            Self::Permit { .. } => "permit",
            Self::Permitted { .. } => "permitted",
            Self::Suspects { .. } => "suspects",
            Self::Slot(_) => "slot",
            Self::SlotReply(_) => "slot_reply",
            Self::SlotQueued(_) => "slot_queued",
            Self::SlotRelease(_) => "slot_release",
            Self::SlotPause(_) => "slot_pause",
            Self::PromiseQuery { .. } => "promise_query",
            Self::PromiseReply { .. } => "promise_reply",
            Self::Promise { .. } => "promise",
            Self::StreamOrigins(_) => "stream_origins",
            Self::OriginQuery { .. } => "origin_query",
            Self::OriginReply { .. } => "origin_reply",
            Self::Notices { .. } => "notices",
            Self::Doubts(_) => "doubts",
        }
    }
}

/// Sends queries to the owners of servers, handles their replies, and keeps the state of servers owned by this box.
/// Shared by all threads.
pub(super) struct OwnerService {
    me: SocketAddr,
    clock: Arc<dyn Clock>,
    /// Creation time by that clock.
    began: Millis,
    state: Mutex<State>,
    /// Notified when the assignment of slots may no longer be idle.
    slots_active: Notify,
    out: mpsc::Sender<(Destination, Message)>,
}

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Destination {
    /// One box.
    One(SocketAddr),
    /// All boxes, each directly.
    AllDirect,
    /// All boxes, forwarded by the watchers.
    AllViaWatchers,
}

struct State {
    owner: Owner,
    slots: SlotAssignment,
    /// Requests that wait for a slot.
    slot_requests: PendingReplies<SlotReply>,
    /// The boxes through which this one may reach servers.
    tunnel_boxes: Arc<TunnelBoxes>,
    /// Boxes by hall, including this one. No hall is empty.
    halls: HashMap<String, Vec<SocketAddr>>,
    /// Incarnations of these boxes.
    lives: HashMap<SocketAddr, u64>,
    /// This box, once it is leaving.
    leaving: Option<SocketAddr>,
    /// True once another box has reported the same set of boxes. Until then this box may wrongly consider itself the
    /// owner of servers that others own.
    converged: bool,
    /// Missed replies per box; unresponsive boxes are not queried.
    missed_replies: MissedReplies,
    /// Pending status queries.
    status_queries: PendingReplies<ServerStatus>,
    /// Pending permit requests.
    permit_requests: PendingReplies<PermitReply>,
    /// Returns of callers that boxes of this hall refused, as far as this box keeps them.
    promises: Promises,
    /// Pending queries for promises and for the origins of streams, and the number of the next one.
    promise_queries: PendingReplies<u32>,
    origin_queries: PendingReplies<Answer>,
    next_query: u64,
    /// The owner that receives the reports on a lease, until the lease ends.
    lease_owners: HashMap<u64, SocketAddr>,
}

impl State {
    fn new(me: SocketAddr) -> Self {
        Self {
            owner: Owner::default(),
            slots: SlotAssignment::new(me),
            slot_requests: PendingReplies::default(),
            tunnel_boxes: Arc::default(),
            halls: HashMap::new(),
            lives: HashMap::new(),
            leaving: None,
            converged: false,
            missed_replies: MissedReplies::default(),
            status_queries: PendingReplies::default(),
            permit_requests: PendingReplies::default(),
            promises: Promises::default(),
            promise_queries: PendingReplies::default(),
            origin_queries: PendingReplies::default(),
            next_query: 0,
            lease_owners: HashMap::new(),
        }
    }
}

impl OwnerService {
    /// Creates the service for the box `me`, and the queue of messages that it sends.
    pub(super) fn new(me: SocketAddr, clock: Arc<dyn Clock>) -> (Arc<Self>, mpsc::Receiver<(Destination, Message)>) {
        let (out, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let began = clock.now();
        let service = Self { me, clock, began, state: Mutex::new(State::new(me)), slots_active: Notify::new(), out };
        (Arc::new(service), messages)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.clock.now().saturating_sub(self.began)
    }

    /// Sets the known boxes. Returns those that may lack records of streams that they keep: they have started, or another
    /// keeper has gone.
    pub(super) fn set_boxes(&self, boxes: Vec<(SocketAddr, Profile)>, converged: bool) -> HashSet<SocketAddr> {
        let mut guard = self.state();
        let state = &mut *guard;
        state.converged = converged;
        state.halls.clear();
        let former = std::mem::take(&mut state.lives);
        for (address, profile) in boxes {
            state.lives.insert(address, profile.incarnation);
            state.halls.entry(profile.hall).or_default().push(address);
        }
        if former.keys().any(|address| !state.lives.contains_key(address)) {
            // Any of the others may be the next keeper of what one that has gone kept.
            return state.lives.keys().copied().collect();
        }
        let started = state.lives.iter().filter(|(address, life)| former.get(address) != Some(life));
        started.map(|(address, _)| *address).collect()
    }

    /// Sets the boxes through which this one may reach servers.
    pub(super) fn set_tunnel_boxes(&self, boxes: TunnelBoxes) {
        self.state().tunnel_boxes = Arc::new(boxes);
    }

    /// Sets the boxes of this box's region, including this one, with their capacities.
    pub(super) fn set_region_boxes(&self, boxes: Vec<(SocketAddr, u32)>, converged: bool) {
        self.state().slots.set_boxes(boxes, converged);
    }

    /// Sets the servers of the services whose slots are assigned in this box's region.
    pub(super) fn set_plain_servers(&self, services: Vec<(String, Vec<ServerSlots>)>) {
        let now = self.now();
        self.update_slots(|slots| slots.set_servers(services, now));
    }

    /// Records a message of any kind from another box.
    pub(super) fn on_contact(&self, from: SocketAddr) {
        let now = self.now();
        self.state().slots.on_contact(from, now);
    }

    /// Handles a lost connection to another box.
    pub(super) fn on_link_lost(&self, to: SocketAddr) {
        let now = self.now();
        self.update_slots(|slots| slots.on_link_lost(to, now));
    }

    /// Begins a planned stop: this box assigns no slots and grants no permits any more.
    pub(super) fn begin_stop(&self) {
        self.state().leaving = Some(self.me);
        self.update_slots(SlotAssignment::stop);
    }

    /// Returns the state of the services that this box assigns slots for.
    pub(super) fn slot_summaries(&self) -> Vec<Summary> {
        self.state().slots.summaries()
    }

    /// Drives the assignment of slots while it isn't idle, for as long as the process runs.
    pub(super) async fn run_slots(self: Arc<Self>) {
        loop {
            self.slots_active.notified().await;
            while !self.state().slots.is_idle() {
                actix_rt::time::sleep(SLOT_TICK_INTERVAL).await;
                let now = self.now();
                self.update_slots(|slots| slots.tick(now));
            }
        }
    }

    /// Updates the assignment of slots and carries out the actions.
    fn update_slots(&self, update: impl FnOnce(&mut SlotAssignment) -> Vec<SlotAction>) {
        let mut state = self.state();
        let actions = update(&mut state.slots);
        self.run_slot_actions(&mut state, actions);
    }

    fn run_slot_actions(&self, state: &mut State, actions: Vec<SlotAction>) {
        for action in actions {
            match action {
                SlotAction::Request(to, request) => self.send(Destination::One(to), Message::Slot(request)),
                SlotAction::Reply(to, reply) => self.send(Destination::One(to), Message::SlotReply(reply)),
                SlotAction::Queued(to, number) => self.send(Destination::One(to), Message::SlotQueued(number)),
                SlotAction::Release(to, release) => self.send(Destination::One(to), Message::SlotRelease(release)),
                SlotAction::AnnouncePause(ms) => self.send(Destination::AllDirect, Message::SlotPause(ms)),
                SlotAction::Resolve(reply) => state.slot_requests.resolve(reply.number(), reply),
                SlotAction::Abandon(number) => state.slot_requests.abandon(number),
            }
        }
        if !state.slots.is_idle() {
            self.slots_active.notify_one();
        }
    }

    /// Removes the state of servers that are no longer listed.
    pub(super) fn retain_servers(&self, instances: &HashSet<&str>) {
        self.state().owner.retain(|id| instances.contains(id));
    }

    /// Grants or denies a permit for a send to a server of `hall`.
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

    /// Handles a message from another box and returns the reply, if any.
    pub(super) fn on_message(&self, from: SocketAddr, message: Message) -> Option<Message> {
        let now = self.now();
        let mut state = self.state();
        state.missed_replies.record_reply(from);
        match message {
            Message::Question(query) => Some(Message::Opinion(state.answer(from, &query, now))),
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
            Message::Slot(request) => {
                let actions = state.slots.on_request(from, request, now);
                self.run_slot_actions(&mut state, actions);
                None
            }
            Message::SlotReply(reply) => {
                let actions = state.slots.on_reply(from, reply);
                self.run_slot_actions(&mut state, actions);
                None
            }
            Message::SlotRelease(release) => {
                let actions = state.slots.on_release(from, &release, now);
                self.run_slot_actions(&mut state, actions);
                None
            }
            Message::SlotPause(pause_ms) => {
                state.slots.on_pause(from, pause_ms, now);
                None
            }
            Message::PromiseQuery { number, request } => {
                let left_ms = state.promises.left_ms(request, now).unwrap_or(0);
                Some(Message::PromiseReply { number, left_ms })
            }
            Message::PromiseReply { number, left_ms } => {
                state.promise_queries.resolve(number, left_ms);
                None
            }
            Message::Promise { request, left_ms } => {
                state.promises.record(request, now + Millis::from(left_ms), now);
                None
            }
            // Only the contact with the dispatcher matters, which `Peering` has recorded.
            Message::SlotQueued(_) => None,
            Message::OriginReply { number, answer } => {
                state.origin_queries.resolve(number, answer);
                None
            }
            // Handled by `Peering`, for the quarantine, the placement and the origins of streams.
            Message::Suspects { .. }
            | Message::Notices { .. }
            | Message::Doubts(_)
            | Message::StreamOrigins(_)
            | Message::OriginQuery { .. } => None,
        }
    }

    /// Tells the boxes that keep the records of these streams, other than this one, what began them.
    pub(super) fn tell_origins(&self, records: Vec<Record>) {
        self.send_origins(records, |_| true);
    }

    /// Tells the origins of streams to those of the boxes that keep them that are among `uninformed`.
    pub(super) fn tell_uninformed(&self, records: Vec<Record>, uninformed: &HashSet<SocketAddr>) {
        self.send_origins(records, |keeper| uninformed.contains(keeper));
    }

    fn send_origins(&self, records: Vec<Record>, is_told: impl Fn(&SocketAddr) -> bool) {
        let mut messages: HashMap<SocketAddr, Vec<Record>> = HashMap::new();
        {
            let state = self.state();
            for record in records {
                for keeper in state.record_keepers(record.stream.0).told_by(self.me).filter(|keeper| is_told(keeper)) {
                    messages.entry(keeper).or_default().push(record.clone());
                }
            }
        }
        for (keeper, records) in messages {
            self.send(Destination::One(keeper), Message::StreamOrigins(records));
        }
    }

    fn send(&self, to: Destination, message: Message) {
        if self.out.try_send((to, message)).is_err() {
            metrics::counter!("cleatshelf_frames_dropped_total").increment(1);
        }
    }
}

impl State {
    /// Returns the box that owns a server. Boxes with the same set of known boxes get the same result. A box of the
    /// server's hall is preferred, so that a box that can reach the server can reach its owner.
    fn owner_of(&self, server: &Server, now: Millis) -> Option<SocketAddr> {
        self.first_ranked(&server.id, &server.hall, |address| !self.missed_replies.is_unresponsive(address, now))
    }

    /// Answers a query of the box `from` for the status of a server.
    fn answer(&mut self, from: SocketAddr, query: &StatusQuery, now: Millis) -> ServerStatus {
        let demand = query.demand.as_ref().map(|demand| self.owner.exchange_demand(from, demand, now));
        ServerStatus { demand, ..self.owner.on_query(query, now) }
    }

    /// Returns the only box that may grant permits for sends to a server, even if it is unresponsive. Two boxes that
    /// each considered the other unresponsive would together grant twice what the server can take.
    ///
    /// A box that is leaving grants none: the others ask its successor already.
    fn permit_owner_of(&self, server: &str, hall: &str) -> Option<SocketAddr> {
        let stays = |address: &SocketAddr| self.leaving != Some(*address);
        self.first_ranked(server, hall, stays).or(self.leaving)
    }

    /// Returns the highest-ranked eligible box for a server: one of its hall, otherwise any.
    fn first_ranked(&self, server: &str, hall: &str, is_eligible: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        let key = rank(0, server);
        let same_hall =
            highest_ranked(self.halls.get(hall).into_iter().flatten().filter(|address| is_eligible(address)), key);
        same_hall.or_else(|| highest_ranked(self.boxes().filter(|address| is_eligible(address)), key))
    }

    /// Returns the box that keeps the promise to the caller of a request: one of the hall of `me`, since callers come back to
    /// boxes of their hall.
    fn promise_keeper(&self, me: SocketAddr, request: u64, now: Millis) -> Option<SocketAddr> {
        let hall = self.halls.values().find(|boxes| boxes.contains(&me))?;
        let responsive = |address: &&SocketAddr| !self.missed_replies.is_unresponsive(address, now);
        highest_ranked(hall.iter().filter(responsive), request)
    }

    /// Returns the boxes that keep the record of a stream.
    fn record_keepers(&self, stream: u64) -> Keepers {
        let boxes =
            self.halls.iter().flat_map(|(hall, boxes)| boxes.iter().map(move |address| (hall.as_str(), *address)));
        Keepers::of(stream, &boxes.filter(|(_, address)| self.leaving != Some(*address)))
    }

    /// Returns a number for a query.
    fn next_number(&mut self) -> u64 {
        self.next_query += 1;
        self.next_query
    }

    /// Returns all boxes, including this one.
    fn boxes(&self) -> impl Iterator<Item = &SocketAddr> {
        self.halls.values().flatten()
    }
}

/// Returns those of these boxes that open tunnels, except `me` in `hall`.
pub(super) fn tunnel_boxes<'a>(
    me: SocketAddr,
    hall: &str,
    boxes: impl Iterator<Item = &'a (SocketAddr, Profile)>,
) -> TunnelBoxes {
    let mut tunnel_boxes = TunnelBoxes::default();
    for (address, profile) in boxes.filter(|(address, profile)| *address != me && profile.tunnel_port != 0) {
        let group = if profile.hall == hall { &mut tunnel_boxes.same_hall } else { &mut tunnel_boxes.other_halls };
        group.push(SocketAddr::new(address.ip(), profile.tunnel_port));
    }
    tunnel_boxes
}

/// Returns the highest-ranked box for `key`.
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
            let status = state.answer(service.me, &query, now);
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

    fn request_slot(&self, request: SlotRequest) -> Option<oneshot::Receiver<SlotReply>> {
        let service = &self.0;
        let (number, now) = (request.number, service.now());
        let mut state = service.state();
        let actions = state.slots.request(request, now)?;
        let (sender, receiver) = oneshot::channel();
        state.slot_requests.insert(number, sender);
        service.run_slot_actions(&mut state, actions);
        Some(receiver)
    }

    fn check_dispatcher(&self, number: u64) -> DispatcherState {
        let now = self.0.now();
        self.0.state().slots.check_dispatcher(number, now)
    }

    fn release_slot(&self, release: SlotRelease) {
        let now = self.0.now();
        self.0.update_slots(|slots| slots.release(release, now));
    }

    fn request_promise(&self, request: u64) -> Option<oneshot::Receiver<u32>> {
        let service = &self.0;
        let now = service.now();
        let mut state = service.state();
        let keeper = state.promise_keeper(service.me, request, now)?;
        let (sender, receiver) = oneshot::channel();
        if keeper == service.me {
            // Can't fail: the receiver is still alive.
            let _ = sender.send(state.promises.left_ms(request, now).unwrap_or(0));
            return Some(receiver);
        }
        let number = state.next_number();
        state.promise_queries.insert(number, sender);
        drop(state);
        service.send(Destination::One(keeper), Message::PromiseQuery { number, request });
        Some(receiver)
    }

    fn report_promise(&self, request: u64, left_ms: u32) {
        let service = &self.0;
        let now = service.now();
        let mut state = service.state();
        match state.promise_keeper(service.me, request, now) {
            Some(keeper) if keeper != service.me => {
                drop(state);
                service.send(Destination::One(keeper), Message::Promise { request, left_ms });
            }
            Some(_) => state.promises.record(request, now + Millis::from(left_ms), now),
            None => {}
        }
    }

    fn request_origin(&self, stream: Option<Stream>, route: &str) -> Vec<oneshot::Receiver<Answer>> {
        let service = &self.0;
        let mut state = service.state();
        let number = state.next_number();
        // Any boxes may know whether a stream that isn't named can have another origin.
        let keepers = state.record_keepers(stream.map_or(number, |stream| stream.0));
        let mut receivers = Vec::new();
        let mut messages = Vec::new();
        for keeper in keepers.asked_by(service.me) {
            let (sender, receiver) = oneshot::channel();
            let number = state.next_number();
            state.origin_queries.insert(number, sender);
            messages.push((keeper, Message::OriginQuery { number, stream, route: route.to_owned() }));
            receivers.push(receiver);
        }
        drop(state);
        for (keeper, message) in messages {
            service.send(Destination::One(keeper), message);
        }
        receivers
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

    fn tunnel_boxes(&self) -> Arc<TunnelBoxes> {
        Arc::clone(&self.0.state().tunnel_boxes)
    }

    fn broadcast_suspects(&self, records: Vec<SuspectRecord>, evidence: Vec<LivenessEvidence>) {
        self.0.send(Destination::AllDirect, Message::Suspects { records, evidence, wants_reply: false });
    }

    fn broadcast_leaving(&self, instance: &str) {
        self.0.send(
            Destination::AllViaWatchers,
            Message::Notices {
                leaving: vec![instance.to_owned()],
                limits: Vec::new(),
                brittle: Vec::new(),
                wants_reply: false,
            },
        );
    }

    fn broadcast_limit(&self, limit: &LimitUpdate) {
        self.0.send(
            Destination::AllViaWatchers,
            Message::Notices {
                leaving: Vec::new(),
                limits: vec![limit.clone()],
                brittle: Vec::new(),
                wants_reply: false,
            },
        );
    }

    fn broadcast_brittle(&self, service: &str) {
        self.0.send(
            Destination::AllViaWatchers,
            Message::Notices {
                leaving: Vec::new(),
                limits: Vec::new(),
                brittle: vec![service.to_owned()],
                wants_reply: false,
            },
        );
    }

    fn ranks_first(&self, request: Fingerprint) -> bool {
        let state = self.0.state();
        state.converged && highest_ranked(state.boxes(), request.0) == Some(self.0.me)
    }
}
