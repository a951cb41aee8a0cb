//! Connection pool for servers.

use crate::connect_error::ConnectError;
use crate::dialer::Dialer;
use crate::resettable_stream::{ResettableStream, Socket};
use crate::Shared;
use bytes::Bytes;
use http::{header, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use placement::{Millis, Way};
use routing::Server;
use std::cell::{Cell, RefCell};
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

/// Maximum number of idle connections kept per server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Buffer size limit of a connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Aborts the connection's task, which closes the connection.
    task: AbortHandle,
    /// Idle time limit.
    idle_timeout: Duration,
    /// The box that it goes through; `None` for a direct one.
    pub(crate) via: Option<SocketAddr>,
    /// Set while an exchange is in progress. The connection is reset if it is dropped in that state.
    busy: Rc<Cell<bool>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.busy.get() {
            self.task.abort();
        }
    }
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
        start_connection(stream, server.address, None).await.map_err(no_path)
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
        start_connection(stream, server.address, None).await
    }

    async fn open_tunnel(&self, server: &Server) -> Result<Connection, ConnectError> {
        let (stream, via) = self.dialer.dial_tunnel(server).await?;
        start_connection(stream, server.address, Some(via)).await.map_err(|why| ConnectError::NoPath(why.to_string()))
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

    /// Checks whether a server accepts new connections. A successful connection is kept in the pool. A refusal may come
    /// from the network between this box and the server, so it counts only if no other box reaches the server.
    pub(crate) async fn probe(&self, server: &Server) -> std::io::Result<()> {
        if self.is_lost_to(&server.id) {
            match self.open_tunnel(server).await {
                Ok(connection) => {
                    self.release(&server.id, connection, &HeaderMap::new());
                    return Ok(());
                }
                Err(ConnectError::Server(why)) => return Err(why),
                Err(ConnectError::NoPath(_)) => {}
            }
        }
        let connection = match self.open_direct(server).await {
            Ok(connection) => connection,
            Err(why) if why.kind() == ErrorKind::ConnectionRefused => {
                self.open_tunnel(server).await.map_err(|_| why)?
            }
            Err(why) => return Err(why),
        };
        self.release(&server.id, connection, &HeaderMap::new());
        Ok(())
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
        taken.inspect(|connection| connection.busy.set(true))
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
        connection.busy.set(false);
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
) -> std::io::Result<Connection> {
    let busy = Rc::new(Cell::new(true));
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake::<_, Full<Bytes>>(ResettableStream::new(stream, Rc::clone(&busy)))
        .await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(why) = connection.await {
            // An exchange on this connection gets the error itself; an idle connection is discarded on its next use.
            log::trace!(target: "cleatshelf", "connection to {address} failed: {why}");
        }
    });
    metrics::counter!("cleatshelf_connections_opened_total").increment(1);
    Ok(Connection { sender, task: task.abort_handle(), idle_timeout: IDLE_TIMEOUT, via, busy })
}
