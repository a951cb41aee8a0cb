//! Connections to servers, kept for reuse.

use crate::channel::Channel;
use crate::connect_timeout::ConnectTimeout;
use crate::liveness::enable_dead_peer_detection;
use bytes::Bytes;
use clock::Clock;
use http::{header, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use placement::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long an unused connection is kept when its server says nothing of it.
const IDLE_MOST: Duration = Duration::from_secs(4);

/// How much earlier than its server a connection is given up, so that no request meets its end.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Most unused connections to one server.
const IDLE_COUNT: usize = 24;

/// Largest buffer of a connection in bytes.
const BUFFER: usize = 64 * 1024;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Ends the connection's task, and with it the connection.
    task: AbortHandle,
    /// How long it may rest.
    rest: Duration,
    /// Set while an exchange is not over: dropped then, the connection is reset.
    busy: Rc<Cell<bool>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.busy.get() {
            self.task.abort();
        }
    }
}

/// A connection, and since when it rests. By a clock that counts while the machine is suspended: its server's does.
type Resting = (Connection, Millis);

/// Unused connections by server life, of one traffic thread.
#[derive(Clone)]
pub(crate) struct Connections {
    clock: Arc<dyn Clock>,
    idle: Rc<RefCell<HashMap<String, Vec<Resting>>>>,
    /// How long new ones took lately.
    handshake: Rc<Cell<ConnectTimeout>>,
}

impl Connections {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Rc::default(), handshake: Rc::default() }
    }

    /// A connection to a server: the one used last that still stands, or a new one.
    pub(crate) async fn open(&self, life: &str, address: SocketAddr) -> std::io::Result<Connection> {
        match self.take(life) {
            Some(connection) => Ok(connection),
            None => self.open_new(address).await,
        }
    }

    /// Whether a server takes new connections; one that comes about is kept for use.
    pub(crate) async fn reach(&self, life: &str, address: SocketAddr) -> std::io::Result<()> {
        let connection = self.open_new(address).await?;
        self.keep(life, connection, &HeaderMap::new());
        Ok(())
    }

    async fn open_new(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let mut handshake = self.handshake.get();
        let began = Instant::now();
        let connected = tokio::time::timeout(handshake.timeout(), connect(address)).await;
        // Others may have connected meanwhile.
        handshake = self.handshake.get();
        match &connected {
            Ok(Ok(_)) => handshake.record_connected(began.elapsed()),
            // Refused at once: says nothing of how long connections take.
            Ok(Err(_)) => {}
            Err(_) => handshake.record_timeout(),
        }
        self.handshake.set(handshake);
        connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    fn take(&self, life: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(life)?;
        while let Some((connection, since)) = connections.pop() {
            if self.rests(&connection, since) && connection.sender.is_ready() {
                connection.busy.set(true);
                return Some(connection);
            }
        }
        idle.remove(life);
        None
    }

    /// True while a connection that rests since then may be used.
    fn rests(&self, connection: &Connection, since: Millis) -> bool {
        u128::from(self.clock.now().saturating_sub(since)) < connection.rest.as_millis()
    }

    /// Keeps a connection whose exchange is over, unless its server wants it closed.
    pub(crate) fn keep(&self, life: &str, mut connection: Connection, headers: &HeaderMap) {
        let Some(rest) = rest(headers) else { return };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(life.to_owned()).or_default();
        if connections.len() < IDLE_COUNT {
            connection.rest = rest;
            connection.busy.set(false);
            connections.push((connection, self.clock.now()));
        }
    }

    /// Closes what has rested too long, and all connections to lives that are not listed.
    pub(crate) fn prune(&self, listed: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|life, connections| {
            connections.retain(|(c, since)| self.rests(c, *since) && !c.sender.is_closed());
            !connections.is_empty() && listed(life)
        });
    }
}

/// How long a connection may rest after an answer with these headers; none when it is to be closed.
fn rest(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if text(header::CONNECTION).to_ascii_lowercase().contains("close") {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let Some(seconds) = timeout.and_then(|t| t.trim().parse::<u64>().ok()) else { return Some(IDLE_MOST) };
    Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream);
    let busy = Rc::new(Cell::new(true));
    let shaken = hyper::client::conn::http1::Builder::new()
        .max_buf_size(BUFFER)
        .handshake::<_, Full<Bytes>>(Channel::new(stream, Rc::clone(&busy)))
        .await;
    let (sender, connection) = shaken.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(why) = connection.await {
            // The exchange that runs on it sees its own error; an idle one is dropped at its next use.
            log::trace!(target: "cleatshelf", "connection to {address}: {why}");
        }
    });
    metrics::counter!("cleatshelf_connections_opened_total").increment(1);
    Ok(Connection { sender, task: task.abort_handle(), rest: IDLE_MOST, busy })
}
