//! The control thread: runs the decisions, and carries out what they want.

mod actions;
mod actor;
mod platform_sync;
mod reports;

use crate::control_handle::SharedSnapshot;
use crate::status::{Explanation, PeerRow, RefusedRow, RouteRow, ShardRow, Status, UpstreamRow};
use crate::{Envelope, Settings};
use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use catalog::{BoxId, ClassId, CustomerId, Digest, ReleaseId, ServerId};
use clock::Clock;
use feed::{CallBudget, MemberList, Source, SourceError, Value, MANIFEST_KEY};
use fleet::{watchers, FailureDetector, ProbeTiming, ReleaseSync, State};
use gateway::{ControlRequest, LeaseGrant, Snapshot};
use policy::{Action, Broker, Layout, Load, Permit, Refusal, Time, Verdict};
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use telemetry::{Event, LabelLimiter};
use tokio::sync::oneshot;
use upstream::LoadProbe;
use wire::{Key, Link, Listener};

/// How often the decisions are told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// How often servers are asked for their load.
const LOAD_POLL_INTERVAL_MS: u64 = 500;

/// How often a watcher reads the membership list.
const MEMBER_READ_INTERVAL_MS: u64 = 1_000;

/// A box without the watch reads the platform itself this often, give or take a half.
const UNWATCHED_READ_INTERVAL_MS: u64 = 30_000;

/// After trouble the platform is left alone for this long, doubling to the longest, give or take a half.
const MIN_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 4_000;

/// Calls to the platform that a box may make: in the long run a second, and at once.
const PLATFORM_CALLS_PER_S: f64 = 4.0;
const PLATFORM_CALL_BURST: f64 = 400.0;

/// A box that starts or wakes waits this long for its peers' releases, in milliseconds.
const PEER_RELEASE_WAIT_MS: u64 = 600;

/// Age of a key, made for a request, when it reaches its keeper, in milliseconds.
const KEY_AGE_MARGIN_MS: u64 = 200;

/// A box that starts or wakes waits this long for boxes of its hall that neither answer nor are found dead.
const MAX_PEER_CONTACT_WAIT_MS: u64 = 5_000;

/// Customers with a metric label of their own.
const MAX_CUSTOMER_LABELS: usize = 100;

/// Living boxes that are told of a new release at once.
const RELEASE_FANOUT: usize = 3;

// ----------------------------------------------------------------------------
// Messages to the control thread

/// From a traffic thread.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Traffic(pub ControlRequest);

/// From another box.
#[derive(Message)]
#[rtype(result = "()")]
struct Inbound(BoxId, Envelope);

/// A link to another box broke.
#[derive(Message)]
#[rtype(result = "()")]
struct ConnectionLost(BoxId);

/// A planned stop begins.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Operators ask for the box's state.
#[derive(Message)]
#[rtype(result = "Box<Status>")]
pub struct GetStatus;

/// Operators ask what would happen to a request.
#[derive(Message)]
#[rtype(result = "Result<Explanation, String>")]
pub struct GetExplanation {
    /// The customer's name.
    pub customer: String,
    /// The class, or the customer's default.
    pub class: Option<String>,
    /// The model or plain service.
    pub serves: String,
}

// ----------------------------------------------------------------------------

/// What the platform is being asked.
#[derive(Debug, Default)]
struct PlatformState {
    /// A manifest is being read or watched for.
    reading_manifest: bool,
    /// This box is one that holds the watch.
    watcher: bool,
    /// The list is being read.
    reading_members: bool,
    /// Parts are being fetched.
    fetching_parts: bool,
    /// The manifest's revision at the service.
    revision: u64,
    /// Not before this time.
    not_before: Time,
    next_member_read: Time,
    backoff_ms: u64,
}

/// The control thread's state.
pub struct Control {
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    snapshot: SharedSnapshot,
    running: Arc<AtomicUsize>,
    source: Rc<dyn Source>,
    load_probe: Rc<dyn LoadProbe>,
    broker: Broker,
    detector: FailureDetector,
    releases: ReleaseSync,
    key: Key,
    /// Links to other boxes, each with the address that it was made for.
    links: HashMap<BoxId, (SocketAddr, Link<Envelope>)>,
    listener: Option<Listener<Envelope>>,
    /// Traffic's wishes that wait for an answer, by the broker's number.
    pending: HashMap<u64, (u64, oneshot::Sender<Result<LeaseGrant, Refusal>>)>,
    /// The broker's number by traffic's, for wishes and for leases.
    lease_ids: HashMap<u64, u64>,
    /// How to tell traffic that a lease is recalled, by the broker's number.
    recalls: HashMap<u64, oneshot::Sender<()>>,
    admitted: HashMap<u64, CustomerId>,
    claims: HashMap<u64, (u64, oneshot::Sender<Verdict>)>,
    /// The broker's number by traffic's, for claims.
    claim_ids: HashMap<u64, u64>,
    platform: PlatformState,
    call_budget: CallBudget,
    last_load_poll: Time,
    last_tick: Time,
    started_at: Time,
    /// When this box started or last woke from a pause.
    resumed_at: Time,
    is_current: bool,
    received_from_peer: bool,
    /// The newest release that a peer named since `began`.
    newest_seen: Option<ReleaseId>,
    was_ready: bool,
    sent_messages: u64,
    violations: u64,
}

/// What [`Control`] is made from; may cross threads.
pub struct Parts {
    /// The box's settings.
    pub settings: Arc<Settings>,
    /// The clock that counts through a freeze.
    pub clock: Arc<dyn Clock>,
    /// What traffic threads see.
    pub snapshot: SharedSnapshot,
    /// Requests now in this box.
    pub running: Arc<AtomicUsize>,
    /// The bound socket for other boxes.
    pub boxes: std::net::TcpListener,
}

fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Control {
    /// Makes the control state and begins to listen for other boxes. To be called on its own thread.
    #[must_use]
    pub fn start_in_context(parts: Parts, context: &mut Context<Self>) -> Self {
        let Parts { settings, clock, snapshot, running, boxes } = parts;
        let now = Time(clock.now());
        let me = settings.me.clone();
        let seconds = unix().as_secs();
        // Numbers of an earlier life of this box are lower, at up to 4,096 a second.
        let first = (seconds % (1 << 20)) << 12;
        let detector = FailureDetector::new(me.clone(), &settings.peers, seconds as u32, ProbeTiming::default(), now);
        let key = Key::new(&settings.link.key);
        let address = context.address();
        let handler = Rc::new(move |from: &str, envelope| address.do_send(Inbound(BoxId::of(from), envelope)));
        let listener = Listener::new(&key, &me.name, handler);
        if let Ok(socket) = tokio::net::TcpListener::from_std(boxes) {
            actix_rt::spawn(listener.clone().run(socket));
        }
        Self {
            broker: Broker::new(me.id(), &me.hall, settings.way, first, now),
            source: Rc::new(feed::HttpSource::new(settings.config, settings.members)),
            load_probe: Rc::new(upstream::HttpClient::default()),
            call_budget: CallBudget::new(PLATFORM_CALLS_PER_S, PLATFORM_CALL_BURST, now),
            settings,
            clock,
            snapshot,
            running,
            detector,
            releases: ReleaseSync::default(),
            key,
            links: HashMap::new(),
            listener: Some(listener),
            pending: HashMap::new(),
            lease_ids: HashMap::new(),
            recalls: HashMap::new(),
            admitted: HashMap::new(),
            claims: HashMap::new(),
            claim_ids: HashMap::new(),
            platform: PlatformState { backoff_ms: MIN_BACKOFF_MS, ..PlatformState::default() },
            last_load_poll: now,
            last_tick: now,
            started_at: now,
            resumed_at: now,
            is_current: false,
            received_from_peer: false,
            newest_seen: None,
            was_ready: false,
            sent_messages: 0,
            violations: 0,
        }
    }

    fn now(&self) -> Time {
        Time(self.clock.now())
    }

    fn update_snapshot(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut guard = self.snapshot.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        change(Arc::make_mut(&mut guard));
    }

    fn log_event(&mut self, event: Event, detail: &str) {
        if event.number() >= Event::LeaseCountBroken.number() {
            self.violations += 1;
        }
        telemetry::emit(event, format_args!("{detail}"));
    }

    // ------------------------------------------------------------------------
    // Time

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if now.since(self.last_tick) >= policy::PAUSE_THRESHOLD_MS {
            // What others did meanwhile is unknown: listen before taking calls again.
            self.resumed_at = now;
            self.is_current = false;
            self.received_from_peer = false;
            self.newest_seen = None;
        }
        self.last_tick = now;
        let actions = self.broker.tick(now);
        self.run_policy_actions(actions, context);
        let actions = self.detector.tick(self.releases.order(), now);
        self.run_fleet_actions(actions, context);
        self.releases.tick(now);
        self.update_readiness(now);
        self.poll_platform(context);
        if now.since(self.last_load_poll) >= LOAD_POLL_INTERVAL_MS {
            self.last_load_poll = now;
            self.poll_server_load(context);
        }
    }

    /// Takes calls once a release is here that isn't older than that of any peer that was heard.
    fn update_readiness(&mut self, now: Time) {
        let waited = now.since(self.resumed_at);
        let asked = !self.detector.has_uncontacted_peers() || waited >= MAX_PEER_CONTACT_WAIT_MS;
        let newest = self.releases.order() >= self.newest_seen;
        let refused = self.newest_seen.is_some_and(|best| self.releases.has_refused(best));
        // Until then this box can't prove of any request key that it is new.
        let remembers = now.since(self.started_at) >= policy::MAX_CLOCK_SKEW_MS + KEY_AGE_MARGIN_MS;
        let current = self.releases.order().is_some() && (newest || refused);
        if !self.is_current
            && remembers
            && current
            && asked
            && (self.received_from_peer || waited >= PEER_RELEASE_WAIT_MS)
        {
            self.is_current = true;
        }
        let ready = self.is_current;
        if ready != self.was_ready {
            self.was_ready = ready;
            self.update_snapshot(|snapshot| snapshot.ready = ready);
            if ready {
                let number = self.releases.order().map_or(0, |o| o.number);
                telemetry::emit(Event::BoxReady, format_args!("name={} release={number}", self.settings.me.name));
            }
        }
    }

    fn poll_server_load(&mut self, context: &mut Context<Self>) {
        let layout = Rc::clone(self.broker.layout());
        for id in self.broker.polled_servers() {
            let Some(upstream) = layout.server(id) else { continue };
            if upstream.kind != catalog::UpstreamKind::Engine {
                continue;
            }
            let (gauge, address) = (Rc::clone(&self.load_probe), upstream.address);
            let ask = async move { gauge.load(address).await };
            context.spawn(ask.into_actor(self).map(move |load, this, context| {
                if let Ok(load) = load {
                    this.on_load(id, load, context);
                }
            }));
        }
    }

    fn on_load(&mut self, id: ServerId, load: Load, context: &mut Context<Self>) {
        let actions = self.broker.on_load_report(id, load, self.now());
        self.run_policy_actions(actions, context);
    }

    // ------------------------------------------------------------------------
    // Other boxes

    fn on_peer_release(&mut self, from: BoxId, order: Option<ReleaseId>, context: &mut Context<Self>) {
        self.received_from_peer = true;
        self.newest_seen = self.newest_seen.max(order);
        let actions = self.releases.on_release(from, order, self.now());
        self.run_fleet_actions(actions, context);
    }

    fn on_fleet_message(&mut self, from: BoxId, message: &fleet::Message, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.detector.on_message(from, message, self.releases.order(), now);
        self.run_fleet_actions(actions, context);
        match message {
            fleet::Message::Ping { order, .. } | fleet::Message::Ack { order, .. } => {
                self.on_peer_release(from, *order, context);
            }
            _ => {
                let actions = self.releases.on_message(from, message, now);
                self.run_fleet_actions(actions, context);
            }
        }
    }
}
