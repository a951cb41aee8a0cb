//! Carries out what `peers` asks for: links to other boxes, and what they send.

use super::advice::{self, Advice, To};
use super::codec::encode;
use super::follow::Troubles;
use super::knowledge::{Knowledge, News, Origin};
use peers::{Action, Message, Millis, Peers, WatchRole};
use placement::{LimitUpdate, LivenessEvidence};
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

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Pause between two looks at which servers are no longer listed: each looks at all of them.
const FORGET_EVERY: Millis = 5_000;

/// What boxes send each other.
#[derive(Serialize, Deserialize)]
enum Envelope {
    Peers(Message),
    Advice(advice::Message),
}

impl Envelope {
    /// What kind of message it is, for metrics.
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
                Message::Leave => "leave",
            },
            Self::Advice(message) => message.kind(),
        }
    }
}

/// Counts a message between boxes, `way` being "sent" or "received".
fn count(envelope: &Envelope, way: &'static str) {
    metrics::counter!("cleatshelf_frames_total", "kind" => envelope.kind(), "way" => way).increment(1);
}

/// The other boxes, as this one deals with them. Lives on the control thread.
pub(super) struct Peering {
    shared: Arc<Shared>,
    knowledge: Rc<Knowledge>,
    troubles: Rc<Troubles>,
    me: SocketAddr,
    key: Key,
    peers: RefCell<Peers>,
    links: RefCell<HashMap<SocketAddr, Link<Envelope>>>,
    watching: watch::Sender<WatchRole>,
    advice: Arc<Advice>,
    /// Which boxes, and whether they were settled, placement and advice were told of last.
    taken: Cell<Option<(u64, bool)>>,
    /// When it was last looked at which servers are no longer listed.
    forgot: Cell<Millis>,
}

/// What a peering is made of.
pub(super) struct Parts {
    pub(super) shared: Arc<Shared>,
    pub(super) knowledge: Rc<Knowledge>,
    pub(super) troubles: Rc<Troubles>,
    pub(super) peers: Peers,
    /// Where this box listens for others; its name among them.
    pub(super) me: SocketAddr,
    pub(super) key: Key,
    /// Tells the followers what this box is to watch as.
    pub(super) watching: watch::Sender<WatchRole>,
    pub(super) advice: Arc<Advice>,
}

impl Peering {
    pub(super) fn new(parts: Parts) -> Rc<Self> {
        Rc::new(Self {
            shared: parts.shared,
            knowledge: parts.knowledge,
            troubles: parts.troubles,
            me: parts.me,
            key: parts.key,
            peers: RefCell::new(parts.peers),
            links: RefCell::default(),
            watching: parts.watching,
            advice: parts.advice,
            taken: Cell::default(),
            forgot: Cell::default(),
        })
    }

    /// Listens to other boxes for as long as the process runs.
    pub(super) async fn listen(self: Rc<Self>, listener: tokio::net::TcpListener) {
        let this = Rc::clone(&self);
        let handler = move |from: &str, envelope: Envelope| {
            let Ok(from) = from.parse() else {
                telemetry::emit(Event::FrameRefused, format_args!("from={from} why=name"));
                return;
            };
            count(&envelope, "received");
            match envelope {
                Envelope::Peers(message) => {
                    if matches!(message, Message::Heartbeat(_)) {
                        this.knowledge.heard();
                    }
                    let actions = this.peers.borrow_mut().handle(from, message, this.shared.now());
                    this.carry_out(actions);
                }
                Envelope::Advice(advice::Message::Suspects { records, signs, asks }) => {
                    let signs = this.shared.on_peer_suspects(&records, signs);
                    if asks || !signs.is_empty() {
                        this.send_suspects(from, signs, false);
                    }
                }
                Envelope::Advice(advice::Message::Notices { leaving, limits, asks }) => {
                    this.hear_notices(from, &leaving, limits);
                    if asks {
                        this.send_notices(from, false);
                    }
                }
                Envelope::Advice(message) => {
                    if let Some(answer) = this.advice.handle(from, message) {
                        this.send(from, &Envelope::Advice(answer));
                    }
                }
            }
        };
        Listener::new(&self.key, &self.me.to_string(), Rc::new(handler)).run(listener).await;
    }

    /// Sends what the traffic threads want owners to know.
    pub(super) async fn carry_advice(self: Rc<Self>, mut sent: mpsc::Receiver<(To, advice::Message)>) {
        while let Some((to, message)) = sent.recv().await {
            let boxes = match to {
                To::One(to) => vec![to],
                To::Each => self.peers.borrow().other_boxes().collect(),
                To::All => self.peers.borrow().forward_targets(None, self.shared.now()),
            };
            self.send_to(&boxes, &Envelope::Advice(message));
        }
    }

    /// Takes what another box heard of servers, and passes on what is new here.
    fn hear_notices(&self, from: SocketAddr, leaving: &[String], limits: Vec<LimitUpdate>) {
        let leaving = self.shared.on_peer_leaving(leaving);
        let limits = self.shared.on_peer_limits(limits);
        if leaving.is_empty() && limits.is_empty() {
            return;
        }
        let boxes = self.peers.borrow().forward_targets(Some(from), self.shared.now());
        self.send_to(&boxes, &Envelope::Advice(advice::Message::Notices { leaving, limits, asks: false }));
    }

    fn send_to(&self, boxes: &[SocketAddr], envelope: &Envelope) {
        boxes.iter().for_each(|to| self.send(*to, envelope));
    }

    /// Does what is due, again and again.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            self.tick();
            actix_rt::time::sleep(TICK).await;
        }
    }

    fn tick(&self) {
        self.knowledge.expire();
        let news = self.knowledge.take_news();
        self.forget_unlisted();
        let actions = {
            let mut peers = self.peers.borrow_mut();
            peers.set_known_versions(self.knowledge.holding());
            peers.set_publisher_reachable(self.troubles.none());
            let mut actions: Vec<Action> = news.iter().flat_map(|news| spread(&peers, news)).collect();
            actions.extend(peers.tick(self.shared.now()));
            actions
        };
        self.carry_out(actions);
        let watch = self.peers.borrow().watch_role(self.shared.now());
        self.watching.send_if_modified(|known| std::mem::replace(known, watch) != watch);
        self.take_boxes();
    }

    /// Forgets what is known of servers that are no longer listed, now and then.
    fn forget_unlisted(&self) {
        let now = self.shared.now();
        if now < self.forgot.get() + FORGET_EVERY || !self.knowledge.holding().directory.is_known() {
            return;
        }
        self.forgot.set(now);
        let directory = self.knowledge.directory();
        let lives = directory.instances();
        self.advice.retain(&lives);
        self.shared.quarantine().retain_servers(|id| lives.contains(id));
    }

    /// Tells the hall of news at once.
    pub(super) fn news(&self) {
        self.tick();
    }

    /// Tells the others that this box stops.
    pub(super) fn leave(&self) {
        let actions = self.peers.borrow().leave();
        self.carry_out(actions);
    }

    pub(super) fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.peers.borrow_mut().set_seeds(seeds);
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, &Envelope::Peers(message)),
                Action::SendTable(to) => {
                    if let Some(bytes) = self.knowledge.packed() {
                        self.send(to, &Envelope::Peers(Message::Table(bytes.to_vec())));
                    }
                }
                Action::RequestDirectory(to) => {
                    let digests = self.knowledge.digests();
                    self.send(to, &Envelope::Peers(Message::Lacking(digests)));
                }
                Action::SendDirectory(to, digests) => {
                    if let Some(packed) = self.knowledge.excerpt(&digests) {
                        self.send(to, &Envelope::Peers(Message::Excerpt(packed.to_vec())));
                    }
                }
                Action::SyncSuspects(to) => self.send_suspects(to, Vec::new(), true),
                Action::SyncNotices(to) => self.send_notices(to, true),
                Action::SetWatching(watching) => {
                    telemetry::emit(Event::WatchRole, format_args!("watching={watching}"));
                }
                Action::Table(packed) => self.knowledge.offer_packed(&packed),
                Action::TableUntil(position) => self.knowledge.table_stands(position),
                Action::Evacuations(evacuations) => self.knowledge.offer_evacuations(evacuations, Origin::Peer),
                Action::Excerpt(packed) => self.knowledge.offer_excerpt(&packed),
                Action::Changes(packed, until) => self.knowledge.offer_packed_changes(&packed, until),
            }
        }
        self.peers.borrow_mut().set_known_versions(self.knowledge.holding());
    }

    /// Tells placement and advice of the boxes known, where others are known than before.
    fn take_boxes(&self) {
        let peers = self.peers.borrow();
        let now = (peers.generation(), peers.has_converged());
        if self.taken.replace(Some(now)) == Some(now) {
            return;
        }
        self.shared.placement().set_box_count(peers.box_count());
        self.advice.set_boxes(peers.members(), peers.has_converged());
    }

    /// Tells a box which requests are held, or were found innocent, and which servers live; `asks` for what that one knows.
    fn send_suspects(&self, to: SocketAddr, signs: Vec<LivenessEvidence>, asks: bool) {
        let records = self.shared.quarantine().records(self.shared.now());
        self.send(to, &Envelope::Advice(advice::Message::Suspects { records, signs, asks }));
    }

    /// Tells a box what servers said of themselves to all boxes; `asks` for what that one knows.
    fn send_notices(&self, to: SocketAddr, asks: bool) {
        let (leaving, limits) = {
            let placement = self.shared.placement();
            (placement.leaving(), placement.limit_updates())
        };
        self.send(to, &Envelope::Advice(advice::Message::Notices { leaving, limits, asks }));
    }

    fn send(&self, to: SocketAddr, envelope: &Envelope) {
        count(envelope, "sent");
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(to)
            .or_insert_with(|| Link::open(&self.key, &self.me.to_string(), &to.to_string(), to, Box::new(|| {})));
        // A full queue drops the frame and counts it; the next heartbeat makes up for it.
        let _ = link.send(envelope);
    }
}

/// What a watcher tells its hall; others have nobody to tell, and compress nothing.
fn spread(peers: &Peers, news: &News) -> Vec<Action> {
    if !peers.is_watching() {
        return Vec::new();
    }
    match news {
        News::Table => peers.broadcast_table(),
        // The next heartbeat says that it is there.
        News::Directory => Vec::new(),
        News::Changes { since, until, changes } => peers.broadcast_changes(*since, *until, &encode(changes)),
    }
}
