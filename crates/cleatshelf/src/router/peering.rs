//! The links to other boxes: carries out the actions of `peers` and handles received messages.

use super::cluster_state::{ClusterState, Origin, Update};
use super::codec::encode;
use super::follower::PublisherHealth;
use super::owner_service::{self, Destination, OwnerService};
use dispatch::ServerSlots;
use peers::{Action, Message, Millis, Peers, WatchRole};
use placement::{LimitUpdate, LivenessEvidence, PlainServer};
use relay::Shared;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::{mpsc, watch};
use wire::{Key, Link, Listener};

/// Interval of the timer that drives `peers`.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the state of unlisted servers and gone boxes is removed; each pass visits all of them.
const CLEANUP_INTERVAL_MS: Millis = 5_000;

/// A message between router boxes.
#[derive(Serialize, Deserialize)]
enum Envelope {
    Peers(Message),
    #[serde(rename = "Advice")]
    Owners(owner_service::Message),
}

impl Envelope {
    /// Returns the kind of the message, for metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Peers(message) => match message {
                Message::Hello { .. } => "hello",
                Message::Welcome { .. } => "welcome",
                Message::Heartbeat(_) => "heartbeat",
                Message::Want(_) => "want",
                Message::Members(_) => "members",
                Message::Table(_) => "table",
                Message::Lacking(_) => "lacking",
                Message::Excerpt(_) => "excerpt",
                Message::Changes { .. } => "changes",
                Message::Leave { .. } => "leave",
            },
            Self::Owners(message) => message.kind(),
        }
    }
}

/// Counts a message between boxes; `way` is "sent" or "received".
fn count_frame(envelope: &Envelope, way: &'static str) {
    metrics::counter!("cleatshelf_frames_total", "kind" => envelope.kind(), "way" => way).increment(1);
}

/// The connections to other boxes. Runs on the control thread.
pub(super) struct Peering {
    shared: Arc<Shared>,
    cluster_state: Rc<ClusterState>,
    health: Rc<PublisherHealth>,
    me: SocketAddr,
    key: Key,
    peers: RefCell<Peers>,
    links: RefCell<HashMap<SocketAddr, Link<Envelope>>>,
    watch_role: watch::Sender<WatchRole>,
    owner_service: Arc<OwnerService>,
    /// Generation and convergence of the boxes last passed to placement and the owner service.
    published_members: Cell<Option<(u64, bool)>>,
    /// Time at which the state of unlisted servers was last removed.
    last_cleanup: Cell<Millis>,
}

/// The parts from which a [`Peering`] is constructed.
pub(super) struct Dependencies {
    pub(super) shared: Arc<Shared>,
    pub(super) cluster_state: Rc<ClusterState>,
    pub(super) health: Rc<PublisherHealth>,
    pub(super) peers: Peers,
    /// Listening address of this box for others, which also identifies it.
    pub(super) me: SocketAddr,
    pub(super) key: Key,
    /// Sends the watch role of this box to the followers.
    pub(super) watch_role: watch::Sender<WatchRole>,
    pub(super) owner_service: Arc<OwnerService>,
}

impl Peering {
    pub(super) fn new(dependencies: Dependencies) -> Rc<Self> {
        Rc::new(Self {
            shared: dependencies.shared,
            cluster_state: dependencies.cluster_state,
            health: dependencies.health,
            me: dependencies.me,
            key: dependencies.key,
            peers: RefCell::new(dependencies.peers),
            links: RefCell::default(),
            watch_role: dependencies.watch_role,
            owner_service: dependencies.owner_service,
            published_members: Cell::default(),
            last_cleanup: Cell::default(),
        })
    }

    /// Accepts messages from other boxes for as long as the process runs.
    pub(super) async fn listen(self: Rc<Self>, listener: tokio::net::TcpListener) {
        let this = Rc::clone(&self);
        let handler = move |from: &str, envelope: Envelope| {
            let Ok(from) = from.parse() else {
                telemetry::emit(Event::FrameRefused, format_args!("from={from} why=name"));
                return;
            };
            count_frame(&envelope, "received");
            this.owner_service.on_contact(from);
            match envelope {
                Envelope::Peers(message) => {
                    if let Message::Heartbeat(heartbeat) = &message {
                        this.cluster_state.record_contact();
                        if heartbeat.watches {
                            this.cluster_state.on_watcher_contact(heartbeat.directory);
                        }
                    }
                    let actions = this.peers.borrow_mut().handle(from, message, this.shared.now());
                    this.run_actions(actions);
                }
                Envelope::Owners(owner_service::Message::Suspects { records, evidence, wants_reply }) => {
                    let evidence = this.shared.on_peer_suspects(&records, evidence);
                    if wants_reply || !evidence.is_empty() {
                        this.send_suspects(from, evidence, false);
                    }
                }
                Envelope::Owners(owner_service::Message::Notices { leaving, limits, brittle, wants_reply }) => {
                    this.on_notices(from, &leaving, limits, &brittle);
                    if wants_reply {
                        this.send_notices(from, false);
                    }
                }
                Envelope::Owners(owner_service::Message::Doubts(doubts)) => this.shared.on_peer_doubts(&doubts),
                Envelope::Owners(owner_service::Message::StreamOrigins(records)) => {
                    let now = this.shared.now();
                    let mut origins = this.shared.origins();
                    records.iter().for_each(|record| origins.on_record(record, now));
                }
                Envelope::Owners(owner_service::Message::OriginQuery { number, stream, route }) => {
                    let answer = this.shared.origins().answer(stream, &route, this.shared.now());
                    this.send(from, &Envelope::Owners(owner_service::Message::OriginReply { number, answer }));
                }
                Envelope::Owners(message) => {
                    if let Some(reply) = this.owner_service.on_message(from, message) {
                        this.send(from, &Envelope::Owners(reply));
                    }
                }
            }
        };
        Listener::new(&self.key, &self.me.to_string(), Rc::new(handler)).run(listener).await;
    }

    /// Sends the messages of the owner service.
    pub(super) async fn forward_owner_messages(
        self: Rc<Self>,
        mut messages: mpsc::Receiver<(Destination, owner_service::Message)>,
    ) {
        while let Some((to, message)) = messages.recv().await {
            let boxes = match to {
                Destination::One(to) => vec![to],
                Destination::AllDirect => self.peers.borrow().other_boxes(self.shared.now()).collect(),
                Destination::AllViaWatchers => self.peers.borrow().forward_targets(None, self.shared.now()),
            };
            self.send_all(&boxes, &Envelope::Owners(message));
        }
    }

    /// Handles server hints from another box and forwards those that are new to this one.
    fn on_notices(&self, from: SocketAddr, leaving: &[String], limits: Vec<LimitUpdate>, brittle: &[String]) {
        let leaving = self.shared.on_peer_leaving(leaving);
        let limits = self.shared.on_peer_limits(limits);
        let brittle = self.shared.on_peer_brittle(brittle);
        if leaving.is_empty() && limits.is_empty() && brittle.is_empty() {
            return;
        }
        let boxes = self.peers.borrow().forward_targets(Some(from), self.shared.now());
        self.send_all(
            &boxes,
            &Envelope::Owners(owner_service::Message::Notices { leaving, limits, brittle, wants_reply: false }),
        );
    }

    fn send_all(&self, boxes: &[SocketAddr], envelope: &Envelope) {
        boxes.iter().for_each(|to| self.send(*to, envelope));
    }

    /// Runs the timer for as long as the process runs.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            self.tick();
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        self.cluster_state.expire();
        let updates = self.cluster_state.take_updates();
        self.clean_up();
        let actions = {
            let mut peers = self.peers.borrow_mut();
            peers.set_known_versions(self.cluster_state.known_versions());
            peers.set_publisher_reachable(self.health.is_healthy());
            let mut actions: Vec<Action> =
                updates.iter().flat_map(|update| broadcast_actions(&peers, update, self.shared.now())).collect();
            actions.extend(peers.tick(self.shared.now()));
            actions
        };
        self.run_actions(actions);
        let role = self.peers.borrow().watch_role(self.shared.now());
        self.watch_role.send_if_modified(|current| std::mem::replace(current, role) != role);
        self.publish_members();
        self.publish_plain_servers();
        self.tell_origins();
    }

    /// Tells the boxes that keep the records of streams what began those that other boxes can't know otherwise.
    fn tell_origins(&self) {
        if self.peers.borrow().box_count() == 1 {
            // Kept until there is a box to tell.
            return;
        }
        let records = self.shared.origins().take_untold(self.shared.now());
        if !records.is_empty() {
            self.owner_service.tell_origins(records);
        }
    }

    /// Passes the servers whose slots are assigned to the owner service. Their admission states may change without an
    /// update.
    fn publish_plain_servers(&self) {
        let now = self.shared.now();
        let services = {
            let placement = self.shared.placement();
            let region = placement.region().map(String::as_str);
            let servers =
                |service: &str| placement.plain_servers(service, region, now).into_iter().map(to_slots).collect();
            let names = placement.assigned_services(now);
            names
                .into_iter()
                .map(|name| {
                    let servers = servers(&name);
                    (name, servers)
                })
                .collect()
        };
        self.owner_service.set_plain_servers(services);
    }

    /// Removes the state of servers that are no longer listed and the links to boxes that are gone, at most once per
    /// interval.
    fn clean_up(&self) {
        let now = self.shared.now();
        if now < self.last_cleanup.get() + CLEANUP_INTERVAL_MS {
            return;
        }
        self.last_cleanup.set(now);
        // A link connects again and again.
        self.links.borrow_mut().retain(|address, _| !self.peers.borrow().is_gone(address, now));
        if !self.cluster_state.known_versions().directory.is_known() {
            return;
        }
        let directory = self.cluster_state.directory();
        let instances = directory.instances();
        self.owner_service.retain_servers(&instances);
        self.shared.quarantine().retain_servers(|id| instances.contains(id));
    }

    /// Broadcasts queued updates immediately.
    pub(super) fn on_update(&self) {
        self.tick();
    }

    /// Announces to other boxes that this one is leaving, and hands on the records of streams that it keeps.
    pub(super) fn announce_leaving(&self) {
        let actions = self.peers.borrow_mut().leave(self.shared.now());
        self.run_actions(actions);
        let records = self.shared.origins().told(self.shared.now());
        self.owner_service.tell_origins(records);
    }

    pub(super) fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.peers.borrow_mut().set_seeds(seeds);
    }

    fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, &Envelope::Peers(message)),
                Action::SendTable(to) => {
                    if let Some(bytes) = self.cluster_state.compressed_table() {
                        self.send(to, &Envelope::Peers(Message::Table(bytes.to_vec())));
                    }
                }
                Action::RequestDirectory(to) => {
                    let digests = self.cluster_state.digests();
                    self.send(to, &Envelope::Peers(Message::Lacking(digests)));
                }
                Action::SendDirectory(to, digests) => {
                    if let Some(compressed) = self.cluster_state.excerpt(&digests) {
                        self.send(to, &Envelope::Peers(Message::Excerpt(compressed.to_vec())));
                        self.send_doubts(to);
                    }
                }
                Action::SyncSuspects(to) => self.send_suspects(to, Vec::new(), true),
                Action::SyncNotices(to) => self.send_notices(to, true),
                Action::SetWatching(watching) => {
                    telemetry::emit(Event::WatchRole, format_args!("watching={watching}"));
                }
                Action::Table(compressed) => self.cluster_state.offer_compressed_table(&compressed),
                Action::TableUntil(position) => self.cluster_state.confirm_table(position),
                Action::Evacuations(evacuations) => self.cluster_state.offer_evacuations(evacuations, Origin::Peer),
                Action::Excerpt(compressed) => self.cluster_state.offer_excerpt(&compressed),
                Action::Changes(compressed, until) => self.cluster_state.offer_compressed_changes(&compressed, until),
            }
        }
        self.peers.borrow_mut().set_known_versions(self.cluster_state.known_versions());
    }

    /// Passes the known boxes to placement and the owner service if they have changed.
    fn publish_members(&self) {
        let peers = self.peers.borrow();
        let members = (peers.generation(), peers.has_converged());
        if self.published_members.replace(Some(members)) == Some(members) {
            return;
        }
        let boxes = peers.members();
        let in_region: Vec<(SocketAddr, u32)> = {
            let mut placement = self.shared.placement();
            let in_region = boxes.iter().filter(|(_, profile)| placement.shares_region(&profile.hall));
            let in_region: Vec<_> = in_region.map(|(address, profile)| (*address, profile.capacity)).collect();
            placement.set_box_count(peers.box_count());
            placement.set_region_boxes(in_region.len());
            in_region
        };
        let tunnel_boxes = {
            let placement = self.shared.placement();
            let in_region = boxes.iter().filter(|(_, profile)| placement.shares_region(&profile.hall));
            owner_service::tunnel_boxes(self.me, peers.hall(), in_region)
        };
        self.owner_service.set_tunnel_boxes(tunnel_boxes);
        let uninformed = self.owner_service.set_boxes(boxes, peers.has_converged());
        if !uninformed.is_empty() {
            let records = self.shared.origins().told_by_me(self.shared.now());
            self.owner_service.tell_uninformed(records, &uninformed);
        }
        self.owner_service.set_region_boxes(in_region, peers.has_converged());
    }

    /// Sends a box the suspect requests and evidence of live servers; `wants_reply` requests its records.
    fn send_suspects(&self, to: SocketAddr, evidence: Vec<LivenessEvidence>, wants_reply: bool) {
        let records = self.shared.quarantine().records(self.shared.now());
        self.send(to, &Envelope::Owners(owner_service::Message::Suspects { records, evidence, wants_reply }));
    }

    /// Tells a box that gets the list which of its servers may have ended: another life may answer in their names.
    fn send_doubts(&self, to: SocketAddr) {
        let doubts = self.shared.placement().doubts(self.shared.now());
        if !doubts.is_empty() {
            self.send(to, &Envelope::Owners(owner_service::Message::Doubts(doubts)));
        }
    }

    /// Sends a box the hints that servers addressed to all boxes; `wants_reply` requests its hints.
    fn send_notices(&self, to: SocketAddr, wants_reply: bool) {
        let (leaving, limits) = {
            let placement = self.shared.placement();
            (placement.leaving(), placement.limit_updates())
        };
        // Brittle services are announced again every two seconds.
        let brittle = Vec::new();
        self.send(to, &Envelope::Owners(owner_service::Message::Notices { leaving, limits, brittle, wants_reply }));
    }

    fn send(&self, to: SocketAddr, envelope: &Envelope) {
        count_frame(envelope, "sent");
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| {
            let owner_service = Arc::clone(&self.owner_service);
            let on_disconnect = Box::new(move || owner_service.on_link_lost(to));
            Link::open(&self.key, &self.me.to_string(), &to.to_string(), to, on_disconnect)
        });
        // A full queue drops and counts the frame; the next heartbeat compensates for it.
        let _ = link.send(envelope);
    }
}

/// Returns a plain server as the dispatcher takes it.
fn to_slots(server: PlainServer) -> ServerSlots {
    let PlainServer { id, slots, usable } = server;
    ServerSlots { id, slots, usable }
}

/// Returns the actions by which a watcher broadcasts an update to its hall. Other boxes don't broadcast, and so need
/// not compress anything.
fn broadcast_actions(peers: &Peers, update: &Update, now: Millis) -> Vec<Action> {
    if !peers.is_watching() {
        return Vec::new();
    }
    match update {
        Update::Table => peers.broadcast_table(now),
        // The next heartbeat announces that the list is available.
        Update::Directory => Vec::new(),
        Update::Changes { since, until, changes } => peers.broadcast_changes(*since, *until, &encode(changes), now),
    }
}
