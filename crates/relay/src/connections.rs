//! Connection pool for servers.

use crate::connect_timeout::ConnectTimeout;
use crate::liveness::enable_dead_peer_detection;
use crate::resettable_stream::ResettableStream;
use bytes::Bytes;
use clock::Clock;
use http::{header, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use placement::{Millis, Path};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::Event;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle time limit for connections whose server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Safety margin subtracted from the server's idle time limit, so that no request is sent on a connection that the
/// server is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

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
    clock: Arc<dyn Clock>,
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    /// Time limit for new connections.
    connect_timeout: Rc<Cell<ConnectTimeout>>,
    /// This box's path to the servers.
    path: Rc<RefCell<Path>>,
}

impl Connections {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Rc::default(), connect_timeout: Rc::default(), path: Rc::default() }
    }

    /// Returns the most recently used idle connection to a server, or opens a new one.
    pub(crate) async fn open(&self, instance: &str, address: SocketAddr) -> std::io::Result<Connection> {
        match self.take_idle(instance) {
            Some(connection) => Ok(connection),
            None => self.open_new(instance, address).await,
        }
    }

    /// Checks whether a server accepts new connections. A successful connection is kept in the pool.
    pub(crate) async fn probe(&self, instance: &str, address: SocketAddr) -> std::io::Result<()> {
        let connection = self.open_new(instance, address).await?;
        self.release(instance, connection, &HeaderMap::new());
        Ok(())
    }

    async fn open_new(&self, instance: &str, address: SocketAddr) -> std::io::Result<Connection> {
        let connected = self.connect(address).await;
        self.record_connect(instance, &connected);
        connected
    }

    /// Counts the result of a connection attempt, and logs when this box's path to the servers is lost or restored.
    fn record_connect(&self, instance: &str, connected: &std::io::Result<Connection>) {
        let now = self.clock.now();
        let mut path = self.path.borrow_mut();
        match connected {
            Ok(_) => {
                if let Some(ms) = path.record_opened(now) {
                    telemetry::emit(Event::ServerPathRestored, format_args!("server={instance} ms={ms}"));
                }
            }
            Err(why) => {
                metrics::counter!("cleatshelf_connections_failed_total", "why" => failure_label(why.kind()))
                    .increment(1);
                if let Some(servers) = path.record_failed(instance, now) {
                    telemetry::emit(Event::ServerPathLost, format_args!("servers={servers} why=\"{why}\""));
                }
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let mut connect_timeout = self.connect_timeout.get();
        let started = Instant::now();
        let connected = tokio::time::timeout(connect_timeout.timeout(), connect(address)).await;
        // Other tasks may have updated the estimate in the meantime.
        connect_timeout = self.connect_timeout.get();
        match &connected {
            Ok(Ok(_)) => connect_timeout.record_connected(started.elapsed()),
            // An immediate refusal is no sample of the time that connections take.
            Ok(Err(_)) => {}
            Err(_) => connect_timeout.record_timeout(),
        }
        self.connect_timeout.set(connect_timeout);
        connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    fn take_idle(&self, instance: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance)?;
        while let Some((connection, since)) = connections.pop() {
            if self.is_usable(&connection, since) && connection.sender.is_ready() {
                connection.busy.set(true);
                return Some(connection);
            }
        }
        idle.remove(instance);
        None
    }

    /// Returns true if a connection that is idle since `since` may still be used.
    fn is_usable(&self, connection: &Connection, since: Millis) -> bool {
        u128::from(self.clock.now().saturating_sub(since)) < connection.idle_timeout.as_millis()
    }

    /// Returns a connection to the pool after its exchange, unless the server wants it closed.
    pub(crate) fn release(&self, instance: &str, mut connection: Connection, headers: &HeaderMap) {
        let Some(idle_timeout) = idle_timeout(headers) else { return };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connection.idle_timeout = idle_timeout;
            connection.busy.set(false);
            connections.push((connection, self.clock.now()));
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

/// Returns the metric label of a failed connection attempt.
fn failure_label(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::ConnectionRefused => "refused",
        ErrorKind::TimedOut => "timed_out",
        _ => "other",
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

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream);
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
    Ok(Connection { sender, task: task.abort_handle(), idle_timeout: IDLE_TIMEOUT, busy })
}
