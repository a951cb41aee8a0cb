//! The control thread: runs the decisions, and carries out what they want.

use crate::desk::Shared;
use crate::status::{Explanation, PeerRow, RefusedRow, RouteRow, ShardRow, Status, UpstreamRow};
use crate::{Envelope, Settings};
use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use catalog::{BoxId, ClassId, CustomerId, Digest, Order, ServerId};
use fleet::{watchers, Probe, Spread, State, Timing};
use gateway::{Offer, Request, Snapshot};
use platform::{Allowance, Clock, Listing, Source, Trouble, Value, MANIFEST};
use policy::{Action, Broker, Layout, Load, Permit, Refusal, Time, Verdict};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use telemetry::{Event, Series};
use tokio::sync::oneshot;
use upstream::Gauge;
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
pub struct Traffic(pub Request);

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
    shared: Shared,
    running: Arc<AtomicUsize>,
    source: Rc<dyn Source>,
    gauge: Rc<dyn Gauge>,
    broker: Broker,
    probe: Probe,
    spread: Spread,
    key: Key,
    links: HashMap<BoxId, Link<Envelope>>,
    listener: Option<Listener<Envelope>>,
    /// Traffic's wishes that wait for an answer, by the broker's number.
    wishes: HashMap<u64, (u64, oneshot::Sender<Result<Offer, Refusal>>)>,
    /// The broker's number by traffic's, for wishes and for leases.
    numbers: HashMap<u64, u64>,
    /// How to tell traffic that a lease is recalled, by the broker's number.
    recalls: HashMap<u64, oneshot::Sender<()>>,
    visits: HashMap<u64, CustomerId>,
    claims: HashMap<u64, (u64, oneshot::Sender<Verdict>)>,
    /// The broker's number by traffic's, for claims.
    claim_numbers: HashMap<u64, u64>,
    platform: Platform,
    allowance: Allowance,
    gauged: Time,
    ticked: Time,
    started: Time,
    /// When this box started or last woke from a pause.
    began: Time,
    settled: bool,
    heard_peer: bool,
    /// The newest release that a peer named since `began`.
    best_heard: Option<Order>,
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
    pub shared: Shared,
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
        let Parts { settings, clock, shared, running, boxes } = parts;
        let now = clock.now();
        let me = settings.me.clone();
        let seconds = unix().as_secs();
        // Numbers of an earlier life of this box are lower, at up to 4,096 a second.
        let first = (seconds % (1 << 20)) << 12;
        let probe = Probe::new(me.clone(), &settings.peers, seconds as u32, Timing::default(), now);
        let key = Key::new(&settings.link.key);
        let address = context.address();
        let handler = Rc::new(move |from: &str, envelope| address.do_send(Inbound(BoxId::of(from), envelope)));
        let listener = Listener::new(&key, &me.name, handler);
        if let Ok(socket) = tokio::net::TcpListener::from_std(boxes) {
            actix_rt::spawn(listener.clone().run(socket));
        }
        Self {
            broker: Broker::new(me.id(), &me.hall, settings.way, first, now),
            source: Rc::new(platform::Http::new(settings.config, settings.members)),
            gauge: Rc::new(upstream::Http::default()),
            allowance: Allowance::new(CALLS_PER_SECOND, CALLS_AT_ONCE, now),
            settings,
            clock,
            shared,
            running,
            probe,
            spread: Spread::default(),
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
        self.clock.now()
    }

    fn update_snapshot(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut guard = self.shared.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        change(Arc::make_mut(&mut guard));
    }

    fn note(&mut self, event: Event, detail: &str) {
        if event.number() >= Event::LeaseCountBroken.number() {
            self.broken += 1;
        }
        telemetry::emit(event, format_args!("{detail}"));
    }

    // ------------------------------------------------------------------------
    // Carrying out

    fn send(&mut self, to: BoxId, envelope: &Envelope, context: &mut Context<Self>) {
        let Some(peer) = self.probe.peer(to) else { return };
        let (key, me) = (&self.key, &self.settings.me.name);
        let link = self.links.entry(to).or_insert_with(|| {
            let address = context.address();
            let broke = Box::new(move || address.do_send(Broke(to)));
            Link::open(key, me, &peer.name, peer.address, broke)
        });
        link.send(envelope);
        self.sent_messages += 1;
    }

    fn do_policy(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, &Envelope::Policy(message), context),
                Action::Granted { id, server, expires, .. } => self.granted(id, server, expires, context),
                Action::Refused(id, refusal) => self.refused(id, refusal),
                Action::Recalled(id) => {
                    if let Some(recall) = self.recalls.remove(&id) {
                        // Traffic may have ended the request in this very moment; then nothing is left to recall.
                        let _ = recall.send(());
                    }
                }
                Action::Claimed(id, verdict) => self.claimed(id, verdict, context),
                Action::Note(event, detail) => self.note(event, &detail),
            }
        }
    }

    fn granted(&mut self, id: u64, server: ServerId, expires: Time, context: &mut Context<Self>) {
        let Some((number, reply)) = self.wishes.remove(&id) else { return };
        let Some(upstream) = self.broker.layout().server(server).cloned() else {
            // Another release knows this server, ours doesn't yet: come back in a moment.
            let refusal = Refusal { reason: policy::Reason::NoServer, retry_ms: 1_000 };
            let _ = reply.send(Err(refusal));
            self.end_lease(number, None, context);
            return;
        };
        let (recall, recalled) = oneshot::channel();
        self.recalls.insert(id, recall);
        let offer = Offer { server: upstream, permit: Permit::new(expires), recalled };
        if reply.send(Ok(offer)).is_err() {
            // The caller went away; traffic's word for that is on its way and finds nothing.
            self.end_lease(number, None, context);
        }
    }

    fn refused(&mut self, id: u64, refusal: Refusal) {
        if let Some((number, reply)) = self.wishes.remove(&id) {
            self.numbers.remove(&number);
            let why = format!("{:?}", refusal.reason);
            metrics::counter!("cleatshelf_refusals_total", "reason" => why).increment(1);
            let _ = reply.send(Err(refusal));
        }
    }

    /// Gives back or abandons what traffic knows by `number`.
    fn end_lease(&mut self, number: u64, report: Option<policy::Report>, context: &mut Context<Self>) {
        let Some(id) = self.numbers.remove(&number) else { return };
        self.wishes.remove(&id);
        self.recalls.remove(&id);
        let now = self.now();
        let actions = match report {
            Some(report) => self.broker.give_back(id, report, now),
            None => self.broker.abandon(id, now),
        };
        self.do_policy(actions, context);
    }

    fn claimed(&mut self, id: u64, verdict: Verdict, context: &mut Context<Self>) {
        let Some((number, reply)) = self.claims.remove(&id) else { return };
        if verdict == Verdict::Repeat {
            telemetry::emit(Event::RepeatRefused, format_args!("claim={id}"));
        }
        if verdict != Verdict::Fresh {
            self.claim_numbers.remove(&number);
        }
        if reply.send(verdict).is_err() && verdict == Verdict::Fresh {
            self.end_claim(number, false, context);
        }
    }

    fn end_claim(&mut self, number: u64, ran: bool, context: &mut Context<Self>) {
        if let Some(id) = self.claim_numbers.remove(&number) {
            let actions = self.broker.end_of_claimed(id, ran, self.now());
            self.do_policy(actions, context);
        }
    }

    fn do_fleet(&mut self, actions: Vec<fleet::Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                fleet::Action::Send(to, message) => self.send(to, &Envelope::Fleet(message), context),
                fleet::Action::View => {
                    let actions = self.broker.set_boxes(self.probe.boxes(), self.probe.leaving(), self.now());
                    self.do_policy(actions, context);
                }
                fleet::Action::Upstream(server, leaving) => {
                    let actions = self.broker.upstream_leaving(server, leaving, self.now());
                    self.do_policy(actions, context);
                }
                fleet::Action::Adopt(release, catalog) => self.adopt(&release, *catalog, context),
                fleet::Action::Fetch(digests) => self.fetch(digests, context),
                fleet::Action::Note(event, detail) => self.note(event, &detail),
            }
        }
    }

    fn adopt(&mut self, release: &catalog::Release, catalog: catalog::Catalog, context: &mut Context<Self>) {
        let number = release.manifest.number;
        let was = self.shared.read().map_or(0, |s| s.number);
        if number < was {
            self.note(Event::ReleaseOrderBroken, &format!("from={was} to={number}"));
            return;
        }
        metrics::gauge!("cleatshelf_release_number").set(number as f64);
        let layout = Rc::new(Layout::of(&catalog));
        let mut series = Series::new(SERIES_MOST);
        let labels = catalog.customers.iter().map(|c| series.label(&c.name)).collect();
        self.update_snapshot(|snapshot| {
            snapshot.catalog = catalog;
            snapshot.labels = labels;
            snapshot.number = number;
        });
        let actions = self.broker.set_layout(layout, self.now());
        self.do_policy(actions, context);
        let order = self.spread.order();
        for to in self.probe.some_alive(TOLD_AT_ONCE) {
            // An answer's form carries the release without asking for anything back.
            let message = fleet::Message::Ack { number: 0, order, changes: Vec::new() };
            self.send(to, &Envelope::Fleet(message), context);
        }
    }

    // ------------------------------------------------------------------------
    // The platform

    fn is_watcher(&self) -> bool {
        let boxes = self.probe.boxes();
        let alive = boxes.get(&self.settings.me.hall).map_or(&[][..], Vec::as_slice);
        watchers(alive).contains(&self.settings.me.id())
    }

    fn ask_platform(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let young = now.since(self.began) < SETTLE_MS / 2 && !self.settings.peers.is_empty();
        if young && self.spread.order().is_none() {
            // Peers may have the whole release at hand; the platform would have to be asked part by part.
            return;
        }
        if now < self.platform.not_before || !self.allowance_for_platform(now) {
            return;
        }
        let watcher = self.is_watcher();
        if watcher != self.platform.watcher {
            self.platform.watcher = watcher;
            telemetry::emit(Event::WatchRole, format_args!("watcher={watcher}"));
        }
        if !self.platform.busy {
            self.read_manifest(watcher && self.platform.revision > 0, context);
        }
        if !self.platform.listing && now >= self.platform.list_at && (watcher || self.platform.list_at == Time(0)) {
            self.read_listing(context);
        }
    }

    fn allowance_for_platform(&self, now: Time) -> bool {
        let idle = !self.platform.busy || (!self.platform.listing && now >= self.platform.list_at);
        idle && self.allowance.clone().take(now)
    }

    fn read_manifest(&mut self, watch: bool, context: &mut Context<Self>) {
        let now = self.now();
        if !self.allowance.take(now) {
            return;
        }
        self.platform.busy = true;
        let source = Rc::clone(&self.source);
        let since = self.platform.revision;
        let ask = async move {
            if watch {
                source.watch(MANIFEST, since).await
            } else {
                source.get(MANIFEST).await
            }
        };
        context.spawn(ask.into_actor(self).map(move |answer, this, context| this.take_manifest(answer, context)));
    }

    fn take_manifest(&mut self, answer: Result<Option<Value>, Trouble>, context: &mut Context<Self>) {
        let now = self.now();
        self.platform.busy = false;
        let value = match answer {
            Ok(value) => {
                self.platform_answered();
                value
            }
            Err(trouble) => {
                self.platform_trouble(&trouble);
                return;
            }
        };
        if !self.is_watcher() {
            self.platform.not_before = now.after(jitter(DIRECT_MS));
        } else if self.platform.revision == 0 && value.is_none() {
            self.platform.not_before = now.after(jitter(TROUBLE_MOST_MS / 8));
        }
        let Some(value) = value else { return };
        // A replica behind the others may show an older revision; watching from it would spin.
        self.platform.revision = self.platform.revision.max(value.revision);
        if let Ok(text) = std::str::from_utf8(&value.bytes) {
            let actions = self.spread.offered(text, now);
            self.do_fleet(actions, context);
        }
    }

    fn platform_answered(&mut self) {
        if self.platform.trouble_ms > TROUBLE_MS {
            telemetry::emit(Event::PlatformReachable, format_args!(""));
        }
        self.platform.trouble_ms = TROUBLE_MS;
    }

    fn platform_trouble(&mut self, trouble: &Trouble) {
        if self.platform.trouble_ms == TROUBLE_MS {
            telemetry::emit(Event::PlatformUnreachable, format_args!("why=\"{trouble}\""));
        }
        self.platform.not_before = self.now().after(jitter(self.platform.trouble_ms));
        self.platform.trouble_ms = (self.platform.trouble_ms * 2).min(TROUBLE_MOST_MS);
        // What was watched may be gone; read it anew.
        self.platform.revision = 0;
    }

    fn read_listing(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if !self.allowance.take(now) {
            return;
        }
        self.platform.listing = true;
        self.platform.list_at = now.after(LISTING_MS);
        let source = Rc::clone(&self.source);
        let ask = async move { source.listing().await };
        context.spawn(ask.into_actor(self).map(|answer, this, context| this.take_listing(answer, context)));
    }

    fn take_listing(&mut self, answer: Result<Listing, Trouble>, context: &mut Context<Self>) {
        self.platform.listing = false;
        match answer {
            Ok(list) => {
                let now = self.now();
                let actions = self.probe.listed(&list.boxes, &list.upstreams, list.revision, now);
                self.do_fleet(actions, context);
            }
            Err(trouble) => self.platform_trouble(&trouble),
        }
    }

    fn fetch(&mut self, digests: Vec<Digest>, context: &mut Context<Self>) {
        if self.platform.fetching {
            return;
        }
        let now = self.now();
        let affordable: Vec<Digest> = digests.into_iter().take_while(|_| self.allowance.take(now)).collect();
        self.platform.fetching = true;
        let source = Rc::clone(&self.source);
        let ask = async move {
            let mut parts = Vec::new();
            for digest in affordable {
                if let Ok(Some(value)) = source.get(&format!("part/{digest}")).await {
                    parts.push(value.bytes);
                }
            }
            parts
        };
        context.spawn(ask.into_actor(self).map(|parts, this, context| {
            this.platform.fetching = false;
            let some = !parts.is_empty();
            let actions = this.spread.fetched(&parts, this.now());
            this.do_fleet(actions, context);
            if !some {
                // Parts aren't there (yet): read the manifest again in a while.
                this.platform.revision = 0;
                this.platform.not_before = this.now().after(jitter(TROUBLE_MS * 2));
            }
        }));
    }

    // ------------------------------------------------------------------------
    // Time

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if now.since(self.ticked) >= policy::PAUSE_MS {
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
        let asked = !self.probe.is_waiting() || waited >= SETTLE_MOST_MS;
        let newest = self.spread.order() >= self.best_heard;
        let refused = self.spread.refused().any(|r| Some(r.order) == self.best_heard);
        // Until then this box can't prove of any request key that it is new.
        let remembers = now.since(self.started) >= policy::SKEW_MS + SKEW_MARGIN_MS;
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
        for id in self.broker.watched() {
            let Some(upstream) = layout.server(id) else { continue };
            if upstream.kind != catalog::Kind::Engine {
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
        let actions = self.broker.load(id, load, self.now());
        self.do_policy(actions, context);
    }

    // ------------------------------------------------------------------------
    // Other boxes

    fn hear_order(&mut self, from: BoxId, order: Option<Order>, context: &mut Context<Self>) {
        self.heard_peer = true;
        self.best_heard = self.best_heard.max(order);
        let actions = self.spread.hear(from, order, self.now());
        self.do_fleet(actions, context);
    }

    fn take_fleet(&mut self, from: BoxId, message: &fleet::Message, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.probe.receive(from, message, self.spread.order(), now);
        self.do_fleet(actions, context);
        match message {
            fleet::Message::Ping { order, .. } | fleet::Message::Ack { order, .. } => {
                self.hear_order(from, *order, context);
            }
            _ => {
                let actions = self.spread.receive(from, message, now);
                self.do_fleet(actions, context);
            }
        }
    }

    // ------------------------------------------------------------------------
    // Operators

    fn status(&self) -> Status {
        let order = self.spread.order();
        let snapshot = self.shared.read().map(|s| (s.ready, s.stopping)).unwrap_or_default();
        Status {
            name: self.settings.me.name.clone(),
            hall: self.settings.me.hall.clone(),
            ready: snapshot.0 && !snapshot.1,
            stopping: snapshot.1,
            release: order.map_or(0, |o| o.number),
            digest: order.map_or_else(String::new, |o| o.digest.to_string()),
            refused: self.spread.refused().map(refused_row).collect(),
            peers: self.probe.members().map(peer_row).collect(),
            shards: self.broker.owned().map(|shard| self.shard_row(shard)).collect(),
            held: self.broker.held(),
            pending: self.broker.pending(),
            running: self.running.load(Ordering::Relaxed),
            watcher: self.is_watcher(),
            platform_calls: self.allowance.made,
            sent_bytes: self.links.values().map(Link::bytes).sum(),
            received_bytes: self.listener.as_ref().map_or(0, Listener::bytes),
            sent_messages: self.sent_messages,
            broken: self.broken,
        }
    }

    fn shard_row(&self, shard: &policy::Shard) -> ShardRow {
        let layout = self.broker.layout();
        let spec = layout.shards.get(&shard.id);
        ShardRow {
            id: shard.id.to_string(),
            hall: spec.map_or_else(String::new, |s| s.pool.hall.clone()),
            serves: spec.map_or_else(String::new, |s| s.pool.serves.clone()),
            recovering: shard.recovering(),
            held: shard.held(),
            waiting: shard.depths().iter().map(|(class, n)| (layout.class(*class).name, *n)).collect(),
            upstreams: shard.servers.iter().map(upstream_row).collect(),
        }
    }

    fn explain(&self, ask: &AskExplanation) -> Result<Explanation, String> {
        let snapshot = self.shared.read().map(|s| Arc::clone(&s)).map_err(|e| e.to_string())?;
        let customers = &snapshot.catalog.customers;
        let customer = customers.iter().find(|c| c.name == ask.customer);
        let customer = customer.ok_or_else(|| format!("there is no customer '{}'", ask.customer))?;
        let name = ask.class.clone().unwrap_or_else(|| customer.default_class.clone());
        let index = snapshot.catalog.class_index(&name).ok_or_else(|| format!("there is no class '{name}'"))?;
        let class = &snapshot.catalog.classes[index];
        if !customer.classes.contains(&name) {
            return Err(format!(
                "class '{name}' isn't allowed to customer '{}': refused as class_not_allowed",
                ask.customer
            ));
        }
        let route = self.route_rows(&ask.serves, ClassId::of(&name));
        let verdict = match route.first() {
            None => format!("refused as not_found: no upstream serves '{}'", ask.serves),
            Some(row) => match row.wait_ms {
                Some(wait) if wait > class.first_token_ms => {
                    format!("refused as overloaded: {wait} ms of its own class and those above wait before it")
                }
                Some(wait) => format!("queued at {}, about {wait} ms before its turn", row.owner),
                None => format!("asked of {}; run this command there to see its queue", row.owner),
            },
        };
        let (rank, first_token_ms) = (class.rank, class.first_token_ms);
        Ok(Explanation { class: name, rank, first_token_ms, route, verdict })
    }

    fn route_rows(&self, serves: &str, class: ClassId) -> Vec<RouteRow> {
        let layout = self.broker.layout();
        let mut halls = layout.halls_for(serves);
        halls.sort_by_key(|hall| *hall != self.settings.me.hall);
        let mut rows = Vec::new();
        for hall in halls {
            for shard in layout.shards_in(hall, serves) {
                let owner = self.broker.shard_owner(*shard);
                let name = |id| self.probe.peer(id).map_or(&self.settings.me.name, |p| &p.name).clone();
                let own = self.broker.owned().find(|s| s.id == *shard);
                rows.push(RouteRow {
                    shard: shard.to_string(),
                    hall: hall.to_owned(),
                    owner: owner.map_or_else(|| "nobody".to_owned(), name),
                    wait_ms: own.map(|s| s.expected_wait_ms(class, self.now())),
                });
            }
        }
        rows
    }
}

fn jitter(ms: u64) -> u64 {
    rand::rng().random_range(ms / 2..=ms + ms / 2)
}

fn refused_row(refused: &fleet::Refused) -> RefusedRow {
    RefusedRow {
        number: refused.order.number,
        digest: refused.order.digest.to_string(),
        reasons: refused.reasons.clone(),
    }
}

fn peer_row(member: &fleet::Member) -> PeerRow {
    let state = match member.state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Leaving => "leaving",
    };
    PeerRow { name: member.peer.name.clone(), hall: member.peer.hall.clone(), state: state.to_owned() }
}

fn upstream_row(server: &policy::Server) -> UpstreamRow {
    UpstreamRow {
        name: server.name.clone(),
        slots: server.slots,
        trusted: server.trusted as u32,
        used: server.used,
        leaving: server.leaving(),
        ejected: server.ejected(),
        first_ms: server.speed.first_ms,
        between_ms: server.speed.between_ms,
    }
}

// ----------------------------------------------------------------------------
// The actor

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, Self::tick);
        let actions = self.broker.set_boxes(self.probe.boxes(), self.probe.leaving(), self.now());
        self.do_policy(actions, context);
    }
}

impl Handler<Traffic> for Control {
    type Result = ();

    fn handle(&mut self, Traffic(request): Traffic, context: &mut Self::Context) {
        let now = self.now();
        match request {
            Request::Enter { number, customer, reply } => {
                let entered = self.broker.enter(customer, now);
                if entered {
                    self.visits.insert(number, customer);
                }
                // If the caller is gone, its `Leave` follows.
                let _ = reply.send(entered);
            }
            Request::Leave { number, tokens } => {
                if let Some(customer) = self.visits.remove(&number) {
                    self.broker.leave(customer, tokens, now);
                }
            }
            Request::Acquire { number, acquire, reply } => {
                let (id, actions) = self.broker.acquire(acquire, now);
                self.wishes.insert(id, (number, reply));
                self.numbers.insert(number, id);
                self.do_policy(actions, context);
            }
            Request::Abandon(number) => self.end_lease(number, None, context),
            Request::GiveBack(number, report) => self.end_lease(number, Some(report), context),
            Request::Claim { number, key, age_ms, reply } => {
                let (id, actions) = self.broker.claim(key, age_ms, now);
                self.claims.insert(id, (number, reply));
                self.claim_numbers.insert(number, id);
                self.do_policy(actions, context);
            }
            Request::EndClaim(number, ran) => self.end_claim(number, ran, context),
        }
    }
}

impl Handler<Inbound> for Control {
    type Result = ();

    fn handle(&mut self, Inbound(from, envelope): Inbound, context: &mut Self::Context) {
        match envelope {
            Envelope::Fleet(message) => self.take_fleet(from, &message, context),
            Envelope::Policy(message) => {
                let actions = self.broker.receive(from, message, self.now());
                self.do_policy(actions, context);
            }
        }
    }
}

impl Handler<Broke> for Control {
    type Result = ();

    fn handle(&mut self, Broke(id): Broke, context: &mut Self::Context) {
        let actions = self.probe.unreachable(id, self.now());
        self.do_fleet(actions, context);
    }
}

impl Handler<Stop> for Control {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Self::Context) {
        let running = self.running.load(Ordering::Relaxed);
        telemetry::emit(Event::StopBegun, format_args!("running={running}"));
        self.update_snapshot(|snapshot| snapshot.stopping = true);
        let actions = self.probe.leave();
        self.do_fleet(actions, context);
    }
}

impl Handler<AskStatus> for Control {
    type Result = actix::MessageResult<AskStatus>;

    fn handle(&mut self, _: AskStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(Box::new(self.status()))
    }
}

impl Handler<AskExplanation> for Control {
    type Result = Result<Explanation, String>;

    fn handle(&mut self, ask: AskExplanation, _: &mut Self::Context) -> Self::Result {
        self.explain(&ask)
    }
}
