//! Callers' connections.

use crate::answer::{self, strip_hop_by_hop};
use crate::body_reader::{discard, read_body, ReadError};
use crate::caller::Caller;
use crate::caller_body::CallerBody;
use crate::caller_stream::CallerStream;
use crate::callers::Callers;
use crate::connections::Connections;
use crate::crash::CrashDetector;
use crate::exchange::{Exchange, Reply};
use crate::header_codec::Call;
use crate::intake::Intake;
use crate::liveness::enable_dead_peer_detection;
use crate::request_body::RequestBody;
use crate::stream_forwarder::StreamForwarder;
use crate::timing::Timing;
use crate::tunnel_connector::TunnelConnector;
use crate::uploads::Uploads;
use crate::{Body, Shared};
use http::{header, request, HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use routing::{Access, Customer, Route, Table};
use std::cell::{Cell, OnceCell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Idle time limit of callers' connections. Exceeds every idle time that a configuration may set, because callers may
/// have an older configuration than this box. An idle connection costs a file descriptor and some kilobytes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Least time limit for reading a request head, and its ratio to the one of the configuration: callers may have a
/// configuration with a longer one than this box.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD_TIMEOUT_FACTOR: u32 = 2;

/// Buffer size limit of a caller's connection; also limits the request head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Delay between the beginning of a stop and the closing of idle connections. By then the balancer has checked
/// readiness twice and sends no new connections.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Interval between clean-ups of the connection pool.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which servers that may have ended are looked for.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Retry delay for callers of a box without a configuration. A start takes about a second.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay for callers of a box that is stopping. Another box takes a new connection at once.
pub(crate) const STOP_RETRY_DELAY: Duration = Duration::ZERO;

/// Accepts callers' connections on one traffic thread.
pub struct Frontend {
    shared: Arc<Shared>,
    connections: Connections,
    crash_detector: CrashDetector,
    /// Maximum number of simultaneous callers' connections.
    max_connections: usize,
    callers: Rc<Callers>,
    /// The drain delay of a planned stop has passed.
    drained: Cell<bool>,
    /// The requests that are being read.
    intake: Rc<RefCell<Intake>>,
    /// The request bodies that are arriving.
    uploads: Rc<Uploads>,
    /// Sequence that distributes requests over the services of a route.
    draws: Rc<RefCell<DrawSequence>>,
}

/// Low-discrepancy sequence in 0..1 with the golden ratio as its step. Even few draws approximate the traffic split.
#[derive(Debug)]
struct DrawSequence(f64);

impl DrawSequence {
    fn next(&mut self) -> f64 {
        self.0 = (self.0 + 0.618_033_988_749_895) % 1.0;
        self.0
    }
}

impl Frontend {
    /// Creates a front end that accepts up to `max_connections` connections.
    #[must_use]
    pub fn new(shared: Arc<Shared>, max_connections: usize) -> Self {
        Self {
            connections: Connections::new(&shared, None),
            uploads: Uploads::new(&shared),
            callers: Rc::new(Callers::new(&shared.request_memory)),
            shared,
            crash_detector: CrashDetector::default(),
            max_connections,
            drained: Cell::new(false),
            intake: Rc::default(),
            draws: Rc::new(RefCell::new(DrawSequence(0.3))),
        }
    }

    /// Reaches servers through other boxes while this box has lost its own path to them.
    #[must_use]
    pub fn with_tunnels(self, tunnels: tunnel::Client) -> Self {
        Self { connections: Connections::new(&self.shared, Some(tunnels)), ..self }
    }

    /// Returns what opens connections to servers for other boxes, on the same thread.
    #[must_use]
    pub fn tunnel_connector(&self) -> Rc<dyn tunnel::Connector> {
        Rc::new(TunnelConnector { shared: Arc::clone(&self.shared), connections: self.connections.clone() })
    }

    /// Accepts connections until `stop` is set and the drain delay has passed, then waits for open connections.
    pub async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let this = Rc::new(self);
        tokio::task::spawn_local(Rc::clone(&this).prune());
        tokio::task::spawn_local(Rc::clone(&this).look_for_doubted());
        let (close, closing) = watch::channel(false);
        // Created once, so that the delay does not restart with each accepted connection.
        let mut stopped = std::pin::pin!(wait_for_drain(&mut stop));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopped.as_mut() => break,
            };
            match accepted {
                Ok((stream, _)) => this.accept(stream, &closing),
                Err(why) => {
                    log::warn!(target: "cleatshelf", "accepting a connection failed: {why}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        drop(listener);
        this.drained.set(true);
        // Fails if all connections are closed already.
        let _ = close.send(true);
        while this.callers.count() > 0 {
            if this.shared.last_answer().is_some_and(|last| Instant::now() >= last) {
                // Only an incomplete head keeps a connection without a request.
                this.callers.close_unused();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn prune(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            let view = self.shared.view();
            let live_instances = view.directory.instances();
            self.connections.prune(|instance| live_instances.contains(instance));
            let head_timeout = view.table.as_ref().map_or(Duration::ZERO, |table| table.limits.head_timeout);
            let head_timeout = MIN_HEAD_TIMEOUT.max(head_timeout * HEAD_TIMEOUT_FACTOR);
            self.callers.close_slow_heads(head_timeout, std::time::Instant::now());
        }
    }

    /// Looks for servers that may have ended. One box looks for each, since others are told what it finds; requests that are
    /// sent there tell as well.
    async fn look_for_doubted(self: Rc<Self>) {
        loop {
            tokio::time::sleep(DOUBT_CHECK_INTERVAL).await;
            let unreached = self.shared.placement().unreached();
            for server in unreached {
                let began = self.shared.now();
                if self.shared.looks_for(&server.id) && self.connections.reaches(&server).await {
                    self.shared.on_instance_answered(&server.id, began);
                }
            }
        }
    }

    fn accept(self: &Rc<Self>, stream: TcpStream, closing: &watch::Receiver<bool>) {
        if !self.intake.borrow_mut().admits(self.shared.now()) {
            metrics::counter!("cleatshelf_connections_shed_total").increment(1);
            return;
        }
        let is_full = self.callers.count() >= self.max_connections;
        if is_full && !self.callers.close_one() && !self.uploads.refuse_oldest() {
            metrics::counter!("cleatshelf_connections_refused_total").increment(1);
            return;
        }
        enable_dead_peer_detection(&stream);
        let guard = self.callers.add(std::time::Instant::now());
        let this = Rc::clone(self);
        let closing = closing.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = this.serve(stream, &guard.caller, closing) => {}
                () = guard.caller.closing() => {}
            }
        });
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, caller: &Rc<Caller>, mut closing: watch::Receiver<bool>) {
        let first = RefCell::new(Some(self.begin_read(caller)));
        let ends_answer = Rc::new(Cell::new(false));
        let service = service_fn(|request: Request<Incoming>| {
            let this = Rc::clone(self);
            let reading = first.borrow_mut().take().unwrap_or_else(|| self.begin_read(caller));
            let ends_answer = Rc::clone(&ends_answer);
            let in_progress = caller.begin_request(std::time::Instant::now());
            async move {
                let has_chunks = request.version() >= Version::HTTP_11;
                let response = this.answer(request, reading, caller).await;
                ends_answer.set(!has_chunks && response.body().size_hint().exact().is_none());
                Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, in_progress)))
            }
        });
        let on_bytes = Box::new({
            let (this, caller) = (Rc::clone(self), Rc::clone(caller));
            move |count| {
                caller.on_bytes(count, std::time::Instant::now());
                this.intake.borrow_mut().progress(caller.reading(), count, this.shared.now());
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(CallerStream::new(stream, Rc::clone(caller), on_bytes, Rc::clone(&ends_answer)), service);
        let mut connection = std::pin::pin!(connection);
        let served = tokio::select! {
            served = connection.as_mut() => served,
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        if let Err(why) = served {
            log::trace!(target: "cleatshelf", "caller connection failed: {why}");
        }
    }

    fn begin_read(&self, caller: &Caller) -> ReadGuard {
        let number = self.intake.borrow_mut().begin(self.shared.now());
        caller.expect(number);
        ReadGuard { shared: Arc::clone(&self.shared), intake: Rc::clone(&self.intake), number }
    }

    async fn answer(&self, request: Request<Incoming>, reading: ReadGuard, caller: &Caller) -> Response<Body> {
        let running = RunningGuard::new(&self.shared);
        let started = Instant::now();
        let mut response = self.exchange(request, reading, caller, started).await;
        drop(running);
        if self.shared.is_stopping() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn exchange(
        &self,
        request: Request<Incoming>,
        reading: ReadGuard,
        caller: &Caller,
        started: Instant,
    ) -> Response<Body> {
        let (mut parts, body) = request.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        let (authorized, body) = match self.receive(&parts, body, reading, caller).await {
            Ok(received) => received,
            Err(response) => return *response,
        };
        match self.admit(authorized, parts, body, started) {
            Ok(mut exchange) => match exchange.run().await {
                Reply::Complete(response) => response,
                Reply::Stream(answer, slot) => StreamForwarder::start(exchange, *answer, slot),
            },
            Err(response) => *response,
        }
    }

    /// Judges the head of a request and buffers its body. Returns the response to the caller if it is refused.
    async fn receive(
        &self,
        parts: &request::Parts,
        body: Incoming,
        reading: ReadGuard,
        caller: &Caller,
    ) -> Result<(Authorized, RequestBody), Box<Response<Body>>> {
        let Some(judged) = self.shared.view().table.clone() else {
            let refused = answer::refused("no configuration yet", Some(START_RETRY_DELAY));
            return Err(Box::new(refuse_by_head(refused, parts, body, caller).await));
        };
        // Nothing is buffered for callers that are refused anyway.
        let authorized = match self.judge_head(&judged, parts, &body) {
            Ok(authorized) => authorized,
            Err(refused) => return Err(Box::new(refuse_by_head(*refused, parts, body, caller).await)),
        };
        let body = match read_body(&self.uploads, body, judged.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(why) => {
                if !matches!(why, ReadError::Stopping) {
                    // There is no time for that at the end of a stop.
                    caller.leave_unread();
                }
                return Err(Box::new(closing(why.response())));
            }
        };
        reading.finish();
        let view = self.shared.view();
        match view.table.as_ref().filter(|table| !Arc::ptr_eq(table, &judged)) {
            // The configuration has changed while the body was read.
            Some(table) => Ok((self.authorize(table, parts)?, body)),
            None => Ok((authorized, body)),
        }
    }

    /// Decides what a request head alone decides.
    fn judge_head(
        &self,
        table: &Table,
        parts: &request::Parts,
        body: &Incoming,
    ) -> Result<Authorized, Box<Response<Body>>> {
        let authorized = self.authorize(table, parts)?;
        if body.size_hint().lower() > table.limits.max_body_bytes as u64 {
            return Err(Box::new(ReadError::TooLarge.response()));
        }
        Ok(authorized)
    }

    /// Returns true if a request with this deadline has come after callers have left for other boxes, and may take longer
    /// than this box runs.
    fn is_too_late(&self, deadline: Instant) -> bool {
        self.drained.get() && self.shared.last_answer().is_some_and(|last| deadline > last)
    }

    /// Finds the route and the customer of a request.
    fn authorize(&self, table: &Table, parts: &request::Parts) -> Result<Authorized, Box<Response<Body>>> {
        let call = self.shared.header_codec.read_call(&parts.headers).map_err(|why| {
            telemetry::emit(Event::RequestRejected, format_args!("why=\"{why}\""));
            Box::new(answer::plain(StatusCode::BAD_REQUEST, "bad head"))
        })?;
        let host = parts.headers.get(header::HOST).and_then(|h| h.to_str().ok());
        let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
        let Some(route) = table.route(host, parts.uri.path()) else {
            telemetry::emit(
                Event::RequestRejected,
                format_args!(
                    "id={} why=route host={host} path={} version={}",
                    call.id,
                    parts.uri.path(),
                    table.version
                ),
            );
            return Err(Box::new(answer::plain(StatusCode::NOT_FOUND, "no such route")));
        };
        let Access::Granted(customer) = table.access(route, call.key.as_deref()) else {
            telemetry::emit(
                Event::RequestRejected,
                format_args!("id={} why=key route={} version={}", call.id, route.name, table.version),
            );
            return Err(Box::new(answer::plain(StatusCode::UNAUTHORIZED, "no such key")));
        };
        Ok(Authorized { call, route: Arc::clone(route), customer })
    }

    fn admit(
        &self,
        authorized: Authorized,
        parts: request::Parts,
        body: RequestBody,
        started: Instant,
    ) -> Result<Exchange, Box<Response<Body>>> {
        let Authorized { call, route, customer } = authorized;
        let time = call.timeout.map_or(route.timeout, |time| time.min(route.timeout));
        if self.is_too_late(started + time) {
            telemetry::emit(
                Event::RequestRejected,
                format_args!("id={} why=stopping route={} ms={}", call.id, route.name, time.as_millis()),
            );
            return Err(Box::new(answer::refused("the router is shutting down", Some(STOP_RETRY_DELAY))));
        }
        let service = route.service(self.draws.borrow_mut().next()).to_owned();
        Ok(Exchange {
            shared: Arc::clone(&self.shared),
            connections: self.connections.clone(),
            crash_detector: self.crash_detector.clone(),
            call,
            route,
            customer,
            service,
            parts,
            body,
            deadline: started + time,
            expires: self.shared.now() + time.saturating_sub(started.elapsed()).as_millis() as u64,
            started,
            fingerprint: OnceCell::new(),
            traits: OnceCell::new(),
            version: None,
            may_go_on: true,
            unidentified: None,
            tried: Vec::new(),
            crash_probe: None,
            sends: 0,
            unreached: 0,
            lacked_path: false,
            via: Cell::default(),
            permit_expires: None,
            awaits_slot: false,
            slot_retry: None,
            sent_to_busy: false,
            may_have_run: false,
            in_flight: Cell::default(),
            finished: false,
            refusal: None,
            timing: Timing::default(),
            trail: String::new(),
        })
    }
}

/// Waits until a stop has begun and the drain delay has passed.
async fn wait_for_drain(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped: the box is shutting down.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(DRAIN_DELAY).await;
}

/// A request whose route and caller are known.
struct Authorized {
    call: Call,
    route: Arc<Route>,
    customer: Option<Arc<Customer>>,
}

/// Refuses a request before its body was read. A short body is discarded, so that the connection can stay open.
async fn refuse_by_head(
    response: Response<Body>,
    parts: &request::Parts,
    body: Incoming,
    caller: &Caller,
) -> Response<Body> {
    // A caller that expects to be asked for its body sends none now.
    if !parts.headers.contains_key(header::EXPECT) && discard(body).await {
        return response;
    }
    caller.leave_unread();
    closing(response)
}

/// Adds a header that tells the caller that the connection will be closed.
fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A request that is being read. Counts as abandoned when dropped before its end.
struct ReadGuard {
    shared: Arc<Shared>,
    intake: Rc<RefCell<Intake>>,
    number: u64,
}

impl ReadGuard {
    fn finish(self) {
        self.intake.borrow_mut().finish(self.number, self.shared.now());
    }
}

impl Drop for ReadGuard {
    fn drop(&mut self) {
        self.intake.borrow_mut().abandon(self.number);
    }
}

/// Counts a request as running until dropped.
struct RunningGuard {
    shared: Arc<Shared>,
}

impl RunningGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared) }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
    }
}
