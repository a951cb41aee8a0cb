//! The control thread: runs the decisions, and carries out what they want.

mod actor;
mod carry;
mod reading;
mod telling;

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
const TICK: Duration = Duration::from_millis(20);

/// How often servers are asked for their load.
const GAUGE_MS: u64 = 500;

/// How often a watcher reads the membership list.
const LISTING_MS: u64 = 1_000;

/// A box without the watch reads the platform itself this often, give or take a half.
const DIRECT_MS: u64 = 30_000;

/// After trouble the platform is left alone for this long, doubling to the longest, give or take a half.
const TROUBLE_MS: u64 = 250;
const TROUBLE_MOST_MS: u64 = 4_000;

/// Calls to the platform that a box may make: in the long run a second, and at once.
const CALLS_PER_SECOND: f64 = 4.0;
const CALLS_AT_ONCE: f64 = 400.0;

/// A box that starts or wakes waits this long for its peers' releases, in milliseconds.
const SETTLE_MS: u64 = 600;

/// Age of a key, made for a request, when it reaches its keeper, in milliseconds.
const SKEW_MARGIN_MS: u64 = 200;

/// A box that starts or wakes waits this long for boxes of its hall that neither answer nor are found dead.
const SETTLE_MOST_MS: u64 = 5_000;

/// Customers with a metric label of their own.
const SERIES_MOST: usize = 100;

/// Living boxes that are told of a new release at once.
const TOLD_AT_ONCE: usize = 3;

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
struct Broke(BoxId);

/// A planned stop begins.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Operators ask for the box's state.
#[derive(Message)]
#[rtype(result = "Box<Status>")]
pub struct AskStatus;

/// Operators ask what would happen to a request.
#[derive(Message)]
#[rtype(result = "Result<Explanation, String>")]
pub struct AskExplanation {
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
struct Platform {
    /// A manifest is being read or watched for.
    busy: bool,
    /// This box is one that holds the watch.
    watcher: bool,
    /// The list is being read.
    listing: bool,
    /// Parts are being fetched.
    fetching: bool,
    /// The manifest's revision at the service.
    revision: u64,
    /// Not before this time.
    not_before: Time,
    list_at: Time,
    trouble_ms: u64,
}

/// The control thread's state.
pub struct Control {
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    snapshot: SharedSnapshot,
    running: Arc<AtomicUsize>,
    source: Rc<dyn Source>,
    gauge: Rc<dyn LoadProbe>,
    broker: Broker,
    probe: FailureDetector,
    spread: ReleaseSync,
    key: Key,
    /// Links to other boxes, each with the address that it was made for.
    links: HashMap<BoxId, (SocketAddr, Link<Envelope>)>,
    listener: Option<Listener<Envelope>>,
    /// Traffic's wishes that wait for an answer, by the broker's number.
    wishes: HashMap<u64, (u64, oneshot::Sender<Result<LeaseGrant, Refusal>>)>,
    /// The broker's number by traffic's, for wishes and for leases.
    numbers: HashMap<u64, u64>,
    /// How to tell traffic that a lease is recalled, by the broker's number.
    recalls: HashMap<u64, oneshot::Sender<()>>,
    visits: HashMap<u64, CustomerId>,
    claims: HashMap<u64, (u64, oneshot::Sender<Verdict>)>,
    /// The broker's number by traffic's, for claims.
    claim_numbers: HashMap<u64, u64>,
    platform: Platform,
    allowance: CallBudget,
    gauged: Time,
    ticked: Time,
    started: Time,
    /// When this box started or last woke from a pause.
    began: Time,
    settled: bool,
    heard_peer: bool,
    /// The newest release that a peer named since `began`.
    best_heard: Option<ReleaseId>,
    was_ready: bool,
    sent_messages: u64,
    broken: u64,
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
    pub fn start_here(parts: Parts, context: &mut Context<Self>) -> Self {
        let Parts { settings, clock, snapshot, running, boxes } = parts;
        let now = Time(clock.now());
        let me = settings.me.clone();
        let seconds = unix().as_secs();
        // Numbers of an earlier life of this box are lower, at up to 4,096 a second.
        let first = (seconds % (1 << 20)) << 12;
        let probe = FailureDetector::new(me.clone(), &settings.peers, seconds as u32, ProbeTiming::default(), now);
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
            gauge: Rc::new(upstream::HttpClient::default()),
            allowance: CallBudget::new(CALLS_PER_SECOND, CALLS_AT_ONCE, now),
            settings,
            clock,
            snapshot,
            running,
            probe,
            spread: ReleaseSync::default(),
            key,
            links: HashMap::new(),
            listener: Some(listener),
            wishes: HashMap::new(),
            numbers: HashMap::new(),
            recalls: HashMap::new(),
            visits: HashMap::new(),
            claims: HashMap::new(),
            claim_numbers: HashMap::new(),
            platform: Platform { trouble_ms: TROUBLE_MS, ..Platform::default() },
            gauged: now,
            ticked: now,
            started: now,
            began: now,
            settled: false,
            heard_peer: false,
            best_heard: None,
            was_ready: false,
            sent_messages: 0,
            broken: 0,
        }
    }

    fn now(&self) -> Time {
        Time(self.clock.now())
    }

    fn update_snapshot(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut guard = self.snapshot.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        change(Arc::make_mut(&mut guard));
    }

    fn note(&mut self, event: Event, detail: &str) {
        if event.number() >= Event::LeaseCountBroken.number() {
            self.broken += 1;
        }
        telemetry::emit(event, format_args!("{detail}"));
    }

    // ------------------------------------------------------------------------
    // Time

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if now.since(self.ticked) >= policy::PAUSE_THRESHOLD_MS {
            // What others did meanwhile is unknown: listen before taking calls again.
            self.began = now;
            self.settled = false;
            self.heard_peer = false;
            self.best_heard = None;
        }
        self.ticked = now;
        let actions = self.broker.tick(now);
        self.do_policy(actions, context);
        let actions = self.probe.tick(self.spread.order(), now);
        self.do_fleet(actions, context);
        self.spread.tick(now);
        self.settle(now);
        self.ask_platform(context);
        if now.since(self.gauged) >= GAUGE_MS {
            self.gauged = now;
            self.gauge_servers(context);
        }
    }

    /// Takes calls once a release is here that isn't older than that of any peer that was heard.
    fn settle(&mut self, now: Time) {
        let waited = now.since(self.began);
        let asked = !self.probe.has_uncontacted_peers() || waited >= SETTLE_MOST_MS;
        let newest = self.spread.order() >= self.best_heard;
        let refused = self.best_heard.is_some_and(|best| self.spread.has_refused(best));
        // Until then this box can't prove of any request key that it is new.
        let remembers = now.since(self.started) >= policy::MAX_CLOCK_SKEW_MS + SKEW_MARGIN_MS;
        let current = self.spread.order().is_some() && (newest || refused);
        if !self.settled && remembers && current && asked && (self.heard_peer || waited >= SETTLE_MS) {
            self.settled = true;
        }
        let ready = self.settled;
        if ready != self.was_ready {
            self.was_ready = ready;
            self.update_snapshot(|snapshot| snapshot.ready = ready);
            if ready {
                let number = self.spread.order().map_or(0, |o| o.number);
                telemetry::emit(Event::BoxReady, format_args!("name={} release={number}", self.settings.me.name));
            }
        }
    }

    fn gauge_servers(&mut self, context: &mut Context<Self>) {
        let layout = Rc::clone(self.broker.layout());
        for id in self.broker.polled_servers() {
            let Some(upstream) = layout.server(id) else { continue };
            if upstream.kind != catalog::UpstreamKind::Engine {
                continue;
            }
            let (gauge, address) = (Rc::clone(&self.gauge), upstream.address);
            let ask = async move { gauge.load(address).await };
            context.spawn(ask.into_actor(self).map(move |load, this, context| {
                if let Ok(load) = load {
                    this.take_load(id, load, context);
                }
            }));
        }
    }

    fn take_load(&mut self, id: ServerId, load: Load, context: &mut Context<Self>) {
        let actions = self.broker.on_load_report(id, load, self.now());
        self.do_policy(actions, context);
    }

    // ------------------------------------------------------------------------
    // Other boxes

    fn hear_order(&mut self, from: BoxId, order: Option<ReleaseId>, context: &mut Context<Self>) {
        self.heard_peer = true;
        self.best_heard = self.best_heard.max(order);
        let actions = self.spread.on_release(from, order, self.now());
        self.do_fleet(actions, context);
    }

    fn take_fleet(&mut self, from: BoxId, message: &fleet::Message, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.probe.on_message(from, message, self.spread.order(), now);
        self.do_fleet(actions, context);
        match message {
            fleet::Message::Ping { order, .. } | fleet::Message::Ack { order, .. } => {
                self.hear_order(from, *order, context);
            }
            _ => {
                let actions = self.spread.on_message(from, message, now);
                self.do_fleet(actions, context);
            }
        }
    }
}
