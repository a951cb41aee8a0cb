//! The control thread: drives the decision logic with time and messages, and carries out its actions.

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

/// Interval of the timer that drives the decision logic.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which servers are polled for their load.
const LOAD_POLL_INTERVAL_MS: u64 = 500;

/// Interval at which a watcher reads the membership list.
const MEMBER_READ_INTERVAL_MS: u64 = 1_000;

/// Interval at which a box that does not watch reads the platform itself, with 50 % jitter.
const UNWATCHED_READ_INTERVAL_MS: u64 = 30_000;

/// Back-off after a failed platform call, doubling from the minimum to the maximum, with 50 % jitter.
const MIN_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 4_000;

/// Limit on calls of one box to the platform: long-term rate and burst.
const PLATFORM_CALLS_PER_S: f64 = 4.0;
const PLATFORM_CALL_BURST: f64 = 400.0;

/// Time that a box waits for its peers' releases after a start or a pause.
const PEER_RELEASE_WAIT_MS: u64 = 600;

/// Allowance for the age of a request's key when it reaches its key owner.
const KEY_AGE_MARGIN_MS: u64 = 200;

/// Maximum time that a box waits, after a start or a pause, for boxes of its hall that neither respond nor are found
/// dead.
const MAX_PEER_CONTACT_WAIT_MS: u64 = 5_000;

/// Maximum number of customers with a metric label of their own.
const MAX_CUSTOMER_LABELS: usize = 100;

/// Number of live boxes to which a new release is announced immediately.
const RELEASE_FANOUT: usize = 3;

// ----------------------------------------------------------------------------
// Messages to the control thread

/// A request from a traffic thread.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Traffic(pub ControlRequest);

/// A message from another box.
#[derive(Message)]
#[rtype(result = "()")]
struct Inbound(BoxId, Envelope);

/// The connection to another box was lost.
#[derive(Message)]
#[rtype(result = "()")]
struct ConnectionLost(BoxId);

/// A planned stop begins.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Requests the status of the box.
#[derive(Message)]
#[rtype(result = "Box<Status>")]
pub struct GetStatus;

/// Requests an explanation of how a request would be handled.
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

/// The state of the calls to the platform.
#[derive(Debug, Default)]
struct PlatformState {
    /// True while a manifest is being read or watched.
    reading_manifest: bool,
    /// True if this box is a watcher.
    watcher: bool,
    /// True while the membership list is being read.
    reading_members: bool,
    /// True while parts are being fetched.
    fetching_parts: bool,
    /// The manifest's revision at the configuration service.
    revision: u64,
    /// Earliest time of the next call.
    not_before: Time,
    /// Earliest time of the next read of the membership list.
    next_member_read: Time,
    /// Back-off after the next failure.
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
    /// Links to other boxes, each with the address to which it was opened.
    links: HashMap<BoxId, (SocketAddr, Link<Envelope>)>,
    listener: Option<Listener<Envelope>>,
    /// Pending lease requests by the broker's number: the traffic thread's number and where to send the result.
    pending: HashMap<u64, (u64, oneshot::Sender<Result<LeaseGrant, Refusal>>)>,
    /// The broker's number by the traffic thread's, for pending requests and for leases.
    lease_ids: HashMap<u64, u64>,
    /// Senders that signal a recalled lease to its traffic thread, by the broker's number.
    recalls: HashMap<u64, oneshot::Sender<()>>,
    admitted: HashMap<u64, CustomerId>,
    claims: HashMap<u64, (u64, oneshot::Sender<Verdict>)>,
    /// The broker's number by the traffic thread's, for claims.
    claim_ids: HashMap<u64, u64>,
    platform: PlatformState,
    call_budget: CallBudget,
    last_load_poll: Time,
    last_tick: Time,
    started_at: Time,
    /// When this box started or last resumed from a pause.
    resumed_at: Time,
    is_current: bool,
    received_from_peer: bool,
    /// The newest release that a peer announced since `resumed_at`.
    newest_seen: Option<ReleaseId>,
    was_ready: bool,
    sent_messages: u64,
    violations: u64,
}

/// The parts from which [`Control`] is constructed; can be sent to another thread.
pub struct Parts {
    /// The box's settings.
    pub settings: Arc<Settings>,
    /// A clock that also advances while the process is suspended.
    pub clock: Arc<dyn Clock>,
    /// The state in force, read by the traffic threads.
    pub snapshot: SharedSnapshot,
    /// Number of requests now in this box.
    pub running: Arc<AtomicUsize>,
    /// The bound socket for other boxes.
    pub boxes: std::net::TcpListener,
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Control {
    /// Creates the control state and starts listening for other boxes. Must be called on the control thread.
    #[must_use]
    pub fn start_in_context(parts: Parts, context: &mut Context<Self>) -> Self {
        let Parts { settings, clock, snapshot, running, boxes } = parts;
        let now = Time(clock.now());
        let me = settings.me.clone();
        let seconds = unix_time().as_secs();
        // Numbers of an earlier process of this box are lower as long as it used at most 4,096 per second.
        let first_number = (seconds % (1 << 20)) << 12;
        let detector = FailureDetector::new(me.clone(), &settings.peers, seconds as u32, ProbeTiming::default(), now);
        let key = Key::new(&settings.link.key);
        let address = context.address();
        let handler = Rc::new(move |from: &str, envelope| address.do_send(Inbound(BoxId::of(from), envelope)));
        let listener = Listener::new(&key, &me.name, handler);
        if let Ok(socket) = tokio::net::TcpListener::from_std(boxes) {
            actix_rt::spawn(listener.clone().run(socket));
        }
        Self {
            broker: Broker::new(me.id(), &me.hall, settings.scheduling_mode, first_number, now),
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
            // The peers' state may have changed during the pause: wait for them before accepting requests again.
            self.resumed_at = now;
            self.is_current = false;
            self.received_from_peer = false;
            self.newest_seen = None;
        }
        self.last_tick = now;
        let actions = self.broker.tick(now);
        self.run_policy_actions(actions, context);
        let actions = self.detector.tick(self.releases.release_id(), now);
        self.run_fleet_actions(actions, context);
        self.releases.tick(now);
        self.update_readiness(now);
        self.poll_platform(context);
        if now.since(self.last_load_poll) >= LOAD_POLL_INTERVAL_MS {
            self.last_load_poll = now;
            self.poll_server_load(context);
        }
    }

    /// Makes the box ready once its release is not older than that of any peer that it has received from.
    fn update_readiness(&mut self, now: Time) {
        let waited = now.since(self.resumed_at);
        let contacted = !self.detector.has_uncontacted_peers() || waited >= MAX_PEER_CONTACT_WAIT_MS;
        let newest = self.releases.release_id() >= self.newest_seen;
        let refused = self.newest_seen.is_some_and(|newest| self.releases.has_refused(newest));
        // Until then this box can't tell whether a request key is new.
        let can_check_keys = now.since(self.started_at) >= policy::MAX_CLOCK_SKEW_MS + KEY_AGE_MARGIN_MS;
        let has_release = self.releases.release_id().is_some() && (newest || refused);
        if !self.is_current
            && can_check_keys
            && has_release
            && contacted
            && (self.received_from_peer || waited >= PEER_RELEASE_WAIT_MS)
        {
            self.is_current = true;
        }
        let ready = self.is_current;
        if ready != self.was_ready {
            self.was_ready = ready;
            self.update_snapshot(|snapshot| snapshot.ready = ready);
            if ready {
                let number = self.releases.release_id().map_or(0, |id| id.number);
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
            let (probe, address) = (Rc::clone(&self.load_probe), upstream.address);
            let call = async move { probe.load(address).await };
            context.spawn(call.into_actor(self).map(move |load, this, context| {
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

    fn on_peer_release(&mut self, from: BoxId, release: Option<ReleaseId>, context: &mut Context<Self>) {
        self.received_from_peer = true;
        self.newest_seen = self.newest_seen.max(release);
        let actions = self.releases.on_release(from, release, self.now());
        self.run_fleet_actions(actions, context);
    }

    fn on_fleet_message(&mut self, from: BoxId, message: &fleet::Message, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.detector.on_message(from, message, self.releases.release_id(), now);
        self.run_fleet_actions(actions, context);
        match message {
            fleet::Message::Ping { order: release, .. } | fleet::Message::Ack { order: release, .. } => {
                self.on_peer_release(from, *release, context);
            }
            _ => {
                let actions = self.releases.on_message(from, message, now);
                self.run_fleet_actions(actions, context);
            }
        }
    }
}
