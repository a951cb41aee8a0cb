//! Connection pool for servers.

use crate::connect_error::ConnectError;
use crate::dialer::Dialer;
use crate::exchange_state::ExchangeState;
use crate::request_body::OutgoingBody;
use crate::resettable_stream::{ResettableStream, Socket};
use crate::Shared;
use http::{header, HeaderMap};
use hyper::client::conn::http1::SendRequest;
use placement::{Millis, Way};
use rand::seq::SliceRandom;
use routing::Server;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle time limit for connections whose server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Safety margin subtracted from the server's idle time limit, so that no request is sent on a connection that the
/// server is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Shortest interval between looks at a waiting request, in milliseconds.
const MIN_CHECK_DELAY: Millis = 200;

/// Time limit of a connection that is tried although this box's path seems to be lost. A request may try several servers
/// before it is refused.
const LAST_TIMEOUT: Duration = Duration::from_millis(50);

/// Time limit of a connection for another box, which waits little longer for it.
const STREAM_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of other servers that are asked whether a refused connection is due to the network.
const MAX_WITNESSES: usize = 3;

/// Maximum number of idle connections kept per server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Buffer size limit of a connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<OutgoingBody>,
    /// Aborts the connection's task, which closes the connection.
    task: AbortHandle,
    /// Idle time limit.
    idle_timeout: Duration,
    /// The box that it goes through; `None` for a direct one.
    pub(crate) via: Option<SocketAddr>,
    /// When it was opened, or shortly after.
    pub(crate) opened: Millis,
    /// State of the exchange that is in progress on it.
    state: Rc<ExchangeState>,
}

impl Connection {
    /// Records that the head of the answer is complete.
    pub(crate) fn on_head(&self) {
        self.state.on_head();
    }

    /// Returns true if something other than another answer has arrived after this whole body of a stated length.
    pub(crate) fn has_surplus(&self, body: &[u8]) -> bool {
        self.state.has_surplus(body)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.state.is_busy() {
            self.task.abort();
        }
    }
}

/// What a probe shows of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// It accepts connections.
    Reached,
    /// Its address refuses connections, on a way that is known to work as far as that can be known.
    Refused,
    /// Neither is known, for this reason.
    Unknown(String),
}

/// A connection and the time since when it is idle, by a clock that advances while the machine is suspended, as the
/// server's does.
type IdleConnection = (Connection, Millis);

/// Idle connections of one traffic thread, by server instance.
#[derive(Clone)]
pub(crate) struct Connections {
    shared: Arc<Shared>,
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    dialer: Rc<Dialer>,
}

impl Connections {
    pub(crate) fn new(shared: &Arc<Shared>, tunnels: Option<tunnel::Client>) -> Self {
        let dialer = Dialer::new(Arc::clone(shared), tunnels);
        Self { shared: Arc::clone(shared), idle: Rc::default(), dialer: Rc::new(dialer) }
    }

    /// Returns the most recently used idle connection to a server, or opens a new one.
    pub(crate) async fn open(&self, server: &Arc<Server>) -> Result<Connection, ConnectError> {
        match self.dialer.way(&server.id) {
            Way::Direct => {
                if let Some(connection) = self.take_idle(&server.id, |connection| connection.via.is_none()) {
                    return Ok(connection);
                }
                self.open_new(server).await
            }
            Way::Tunnel { probe } => {
                if probe {
                    self.probe_path(vec![Arc::clone(server)]);
                }
                let use_direct = self.dialer.may_use_open(&server.id);
                if let Some(connection) =
                    self.take_idle(&server.id, |connection| use_direct || connection.via.is_some())
                {
                    return Ok(connection);
                }
                match self.open_tunnel(server).await {
                    Err(ConnectError::NoPath(_)) if self.dialer.may_try(&server.id) => self.open_last(server).await,
                    opened => opened,
                }
            }
        }
    }

    /// Opens a direct connection although this box's path seems to be lost, since no other box helps.
    async fn open_last(&self, server: &Server) -> Result<Connection, ConnectError> {
        let no_path = |why: std::io::Error| ConnectError::NoPath(why.to_string());
        let stream = self.dialer.dial_within(server, LAST_TIMEOUT).await.map_err(no_path)?;
        start_connection(stream, server.address, None, self.shared.now()).await.map_err(no_path)
    }

    /// Opens a direct connection, or one through another box if the direct one fails since this box has lost its path.
    async fn open_new(&self, server: &Server) -> Result<Connection, ConnectError> {
        match self.open_direct(server).await {
            Ok(connection) => Ok(connection),
            Err(_) if self.is_lost_to(&server.id) => self.open_tunnel(server).await,
            Err(why) => Err(ConnectError::Server(why)),
        }
    }

    async fn open_direct(&self, server: &Server) -> std::io::Result<Connection> {
        let stream = self.dialer.dial(server).await?;
        start_connection(stream, server.address, None, self.shared.now()).await
    }

    async fn open_tunnel(&self, server: &Server) -> Result<Connection, ConnectError> {
        self.open_tunnel_through(&self.dialer.tunnel_candidates(), server).await
    }

    async fn open_tunnel_through(
        &self,
        candidates: &[SocketAddr],
        server: &Server,
    ) -> Result<Connection, ConnectError> {
        let opened = self.shared.now();
        let (stream, via) = self.dialer.dial_tunnel(candidates, server).await?;
        start_connection(stream, server.address, Some(via), opened)
            .await
            .map_err(|why| ConnectError::NoPath(why.to_string()))
    }

    /// Waits for an answer of a server, and checks this box's path if no server is heard meanwhile.
    pub(crate) async fn watch_silence<T>(
        &self,
        server: &Arc<Server>,
        sent: Millis,
        answer: impl Future<Output = T>,
    ) -> T {
        let mut answer = std::pin::pin!(answer);
        let answered = loop {
            let wait = self.dialer.check_at(sent).saturating_sub(self.shared.now()).max(MIN_CHECK_DELAY);
            match tokio::time::timeout(Duration::from_millis(wait), answer.as_mut()).await {
                Ok(answered) => break answered,
                Err(_) if self.dialer.begin_check(sent) => {
                    // Two servers that fail show that the path is lost.
                    let other = self.used_server_except(&server.id);
                    self.probe_path(std::iter::once(Arc::clone(server)).chain(other).collect());
                }
                Err(_) => {}
            }
        };
        self.dialer.record_heard();
        answered
    }

    /// Records that bytes of a server arrived.
    pub(crate) fn record_heard(&self) {
        self.dialer.record_heard();
    }

    /// Tries direct connections to these servers in the background, one after another, until one opens. It is kept in the
    /// pool.
    fn probe_path(&self, servers: Vec<Arc<Server>>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            for server in servers {
                // The dialer has recorded a failure.
                if let Ok(connection) = this.open_direct(&server).await {
                    this.release(&server.id, connection, &HeaderMap::new());
                    return;
                }
            }
        });
    }

    /// Returns a listed server with an idle connection, other than this one.
    fn used_server_except(&self, instance: &str) -> Option<Arc<Server>> {
        let idle = self.idle.borrow();
        let mut others = idle.keys().filter(|other| *other != instance);
        others.find_map(|other| self.shared.placement().listed(other).cloned())
    }

    /// True if a connection for another box may be tried: this box has a path to the server, or a probe of it is due.
    pub(crate) fn may_open_stream(&self, instance: &str) -> bool {
        self.dialer.way(instance) != Way::Tunnel { probe: false }
    }

    /// Opens a direct connection without a request, for another box.
    pub(crate) async fn open_stream(&self, server: &Server) -> std::io::Result<TcpStream> {
        self.dialer.dial_within(server, STREAM_TIMEOUT).await
    }

    /// Checks whether a server accepts new connections. Successful connections are kept in the pool.
    ///
    /// A refusal may come from the network, here as well as at the box that opens a tunnel. So it counts only on a way on
    /// which another server accepts a connection at the same time, and if no other box reaches the server. Servers for
    /// which `may_witness` is false are not asked for that; without any others, nothing speaks against the refusal.
    pub(crate) async fn probe(&self, server: &Server, may_witness: impl Fn(&str) -> bool) -> ProbeOutcome {
        let witnesses = self.witnesses(&server.id, may_witness);
        if !self.is_lost_to(&server.id) {
            match self.probe_direct(server, &witnesses).await {
                Ok(true) => return ProbeOutcome::Reached,
                Ok(false) => {
                    let opened = self.open_tunnel(server).await;
                    let is_reached = opened.map(|connection| self.keep(server, connection)).is_ok();
                    return if is_reached { ProbeOutcome::Reached } else { ProbeOutcome::Refused };
                }
                Err(why) if why.kind() != ErrorKind::ConnectionRefused => {
                    return ProbeOutcome::Unknown(why.to_string());
                }
                // The path is probably lost.
                Err(_) => {}
            }
        }
        self.probe_through_box(server, &witnesses).await
    }

    /// Checks whether a server accepts direct connections. Returns an error if that can't be known.
    async fn probe_direct(&self, server: &Server, witnesses: &[Arc<Server>]) -> std::io::Result<bool> {
        let (first, others) =
            witnesses.split_first().map_or((None, witnesses), |(first, others)| (Some(first), others));
        let (opened, mut is_witnessed) = futures_util::join!(self.open_direct(server), async {
            match first {
                Some(witness) => self.reaches_directly(witness).await,
                None => true,
            }
        });
        let why = match opened {
            Ok(connection) => {
                self.keep(server, connection);
                return Ok(true);
            }
            Err(why) if why.kind() != ErrorKind::ConnectionRefused => return Err(why),
            Err(why) => why,
        };
        for witness in others {
            if is_witnessed {
                break;
            }
            is_witnessed = self.reaches_directly(witness).await;
        }
        if is_witnessed {
            Ok(false)
        } else {
            Err(why)
        }
    }

    /// Checks whether a server accepts connections from a box that reaches another server.
    async fn probe_through_box(&self, server: &Server, witnesses: &[Arc<Server>]) -> ProbeOutcome {
        let mut opened = Err(ConnectError::NoPath("no server is reached".to_owned()));
        for witness in witnesses {
            let Ok(connection) = self.open_tunnel(witness).await else { continue };
            let via = connection.via;
            self.keep(witness, connection);
            opened = self.open_tunnel_through(via.as_slice(), server).await;
            break;
        }
        if witnesses.is_empty() {
            opened = self.open_any(server).await;
        }
        match opened {
            Ok(connection) => {
                self.keep(server, connection);
                ProbeOutcome::Reached
            }
            Err(why) if why.is_refusal() => ProbeOutcome::Refused,
            Err(why) => ProbeOutcome::Unknown(why.to_string()),
        }
    }

    /// Opens a connection on any way.
    async fn open_any(&self, server: &Server) -> Result<Connection, ConnectError> {
        if self.is_lost_to(&server.id) {
            match self.open_tunnel(server).await {
                Err(ConnectError::NoPath(_)) => {}
                opened => return opened,
            }
        }
        self.open_new(server).await
    }

    /// Opens a connection without a request, on any way, to find out whether a server is there.
    pub(crate) async fn reaches(&self, server: &Server) -> bool {
        self.open_any(server).await.map(|connection| self.keep(server, connection)).is_ok()
    }

    async fn reaches_directly(&self, server: &Server) -> bool {
        self.open_direct(server).await.map(|connection| self.keep(server, connection)).is_ok()
    }

    /// Keeps a new connection in the pool.
    fn keep(&self, server: &Server, connection: Connection) {
        self.release(&server.id, connection, &HeaderMap::new());
    }

    /// Returns servers that may show whether a refusal comes from the network: first those that this box has idle
    /// connections to.
    fn witnesses(&self, instance: &str, may_witness: impl Fn(&str) -> bool) -> Vec<Arc<Server>> {
        let view = self.shared.view();
        let suits = |server: &&Arc<Server>| server.id != instance && may_witness(&server.id);
        let mut witnesses: Vec<Arc<Server>> = view.directory.servers.values().filter(suits).cloned().collect();
        let idle = self.idle.borrow();
        witnesses.shuffle(&mut rand::rng());
        witnesses.sort_by_key(|server| !idle.contains_key(&server.id));
        witnesses.truncate(MAX_WITNESSES);
        witnesses
    }

    /// True while this box's path to the server instance is lost.
    pub(crate) fn is_lost_to(&self, instance: &str) -> bool {
        self.dialer.is_lost_to(instance)
    }

    /// True while this box's path to all servers is lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.dialer.is_lost()
    }

    /// Returns the most recently used idle connection to a server that is acceptable. Drops those that can't be used any
    /// more.
    fn take_idle(&self, instance: &str, is_acceptable: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance)?;
        connections.retain(|(connection, since)| self.is_usable(connection, *since) && connection.sender.is_ready());
        let position = connections.iter().rposition(|(connection, _)| is_acceptable(connection));
        let taken = position.map(|position| connections.remove(position).0);
        if connections.is_empty() {
            idle.remove(instance);
        }
        taken.inspect(|connection| connection.state.begin())
    }

    /// Returns true if a connection that is idle since `since` may still be used. One through a box that has left would
    /// hold up that box's stop.
    fn is_usable(&self, connection: &Connection, since: Millis) -> bool {
        let is_fresh = u128::from(self.shared.now().saturating_sub(since)) < connection.idle_timeout.as_millis();
        is_fresh && connection.via.is_none_or(|via| self.shared.peer_client.tunnel_boxes().contains(via))
    }

    /// Returns a connection to the pool after its exchange, unless the server wants it closed.
    pub(crate) fn release(&self, instance: &str, mut connection: Connection, headers: &HeaderMap) {
        let Some(idle_timeout) = idle_timeout(headers) else { return };
        connection.state.end();
        if connection.via.is_some() && !self.is_lost_to(instance) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connection.idle_timeout = idle_timeout;
            connections.push((connection, self.shared.now()));
        }
    }

    /// Closes connections that have been idle too long, and those to instances that aren't listed.
    pub(crate) fn prune(&self, listed: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|instance, connections| {
            connections.retain(|(c, since)| self.is_usable(c, *since) && !c.sender.is_closed());
            !connections.is_empty() && listed(instance)
        });
    }
}

/// Returns the idle time limit after a response with these headers, or `None` if the connection must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if text(header::CONNECTION).to_ascii_lowercase().contains("close") {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let Some(seconds) = timeout.and_then(|t| t.trim().parse::<u64>().ok()) else { return Some(IDLE_TIMEOUT) };
    Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)
}

/// Starts HTTP on a network connection to the server at `address`, through the box `via`.
async fn start_connection(
    stream: impl Socket + 'static,
    address: SocketAddr,
    via: Option<SocketAddr>,
    opened: Millis,
) -> std::io::Result<Connection> {
    let state = Rc::new(ExchangeState::new());
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake::<_, OutgoingBody>(ResettableStream::new(stream, Rc::clone(&state)))
        .await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(why) = connection.await {
            // An exchange on this connection gets the error itself; an idle connection is discarded on its next use.
            log::trace!(target: "cleatshelf", "connection to {address} failed: {why}");
        }
    });
    metrics::counter!("cleatshelf_connections_opened_total").increment(1);
    Ok(Connection { sender, task: task.abort_handle(), idle_timeout: IDLE_TIMEOUT, via, opened, state })
}
