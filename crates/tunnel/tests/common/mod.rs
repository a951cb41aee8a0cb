//! A box in between that runs on a thread of its own, so that it can be killed, with a link to it that can be cut.
// Each test file uses a part of it.
#![allow(dead_code)]

use futures_util::future::{FutureExt, LocalBoxFuture};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tunnel::{Client, Connector, Listener, Refusal};
use wire::Key;

pub const SECRET: &str = "a secret between boxes";

/// Connects to one server instance.
struct OneServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Connector for OneServer {
    fn connect<'a>(&'a self, instance: &'a str) -> LocalBoxFuture<'a, Result<TcpStream, Refusal>> {
        async move {
            if instance != "i-1" {
                return Err(Refusal::NotListed);
            }
            self.connections.fetch_add(1, Ordering::Relaxed);
            TcpStream::connect(self.address).await.map_err(|_| Refusal::Refused)
        }
        .boxed_local()
    }

    fn configure(&self, _: &TcpStream) {}
}

/// The way between the two boxes: copies bytes until it is told to end all connections.
pub struct TestLink {
    address: SocketAddr,
    end: watch::Sender<Option<End>>,
}

impl TestLink {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (end, ended) = watch::channel(None);
        tokio::task::spawn_local(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut ended = ended.clone();
                tokio::task::spawn_local(async move {
                    let mut far = TcpStream::connect(to).await.expect("the box");
                    let how = tokio::select! {
                        copied = tokio::io::copy_bidirectional(&mut near, &mut far) => {
                            copied.is_err().then_some(End::Broken)
                        }
                        how = ended.wait_for(Option::is_some) => how.ok().and_then(|how| *how),
                    };
                    if how == Some(End::Broken) {
                        reset(&near);
                        reset(&far);
                    }
                });
            }
        });
        Self { address, end }
    }

    pub fn close(&self) {
        self.end.send_replace(Some(End::Regular));
    }

    pub fn reset(&self) {
        self.end.send_replace(Some(End::Broken));
    }
}

pub struct World {
    server: TcpListener,
    pub link: TestLink,
    connections: Arc<AtomicUsize>,
    kill: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl World {
    pub async fn start() -> Self {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("an option");
        let tunnels = listener.local_addr().expect("an address");
        let link = TestLink::start(tunnels).await;
        let connections = Arc::<AtomicUsize>::default();
        let connector =
            OneServer { address: server.local_addr().expect("an address"), connections: Arc::clone(&connections) };
        let (kill, killed) = oneshot::channel();
        // The listener's address as the client has it, which the handshake proves.
        let named = link.address;
        let thread = std::thread::spawn(move || {
            run(async move {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let tunnels = Listener::new(Key::new(SECRET), named, Rc::new(connector));
                tokio::task::spawn_local(tunnels.run(listener));
                // An error means that the test has ended.
                let _ = killed.await;
            });
        });
        Self { server, link, connections, kill: Some((kill, thread)) }
    }

    /// Accepts a connection at the server.
    pub async fn accept(&self) -> TcpStream {
        self.server.accept().await.expect("a connection").0
    }

    /// Opens a tunnel and accepts its connection at the server.
    pub async fn open(&self) -> (impl AsyncRead + AsyncWrite + AsFd + Unpin, TcpStream) {
        let client = Client::new(Key::new(SECRET));
        let (near, far) = tokio::join!(client.open(self.tunnels(), "i-1"), self.accept());
        (near.expect("a tunnel"), far)
    }

    /// Ends the box in between as a kill does: none of its tasks runs again, and its sockets are closed.
    pub fn kill(&mut self) {
        let (kill, thread) = self.kill.take().expect("a box");
        kill.send(()).expect("the box waits");
        thread.join().expect("no panic");
    }

    /// Returns the address at which clients reach the box in between.
    pub fn tunnels(&self) -> SocketAddr {
        self.link.address
    }

    /// Returns the number of connections that were opened to the server.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

pub fn reset(stream: &impl AsFd) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("a reset");
}

/// How a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Regular,
    Broken,
}

/// Reads the end of a connection that has no more bytes.
pub async fn read_end(stream: &mut (impl AsyncRead + Unpin)) -> End {
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut byte)).await.expect("an end");
    match read {
        Ok(count) => {
            assert_eq!(count, 0, "no more bytes");
            End::Regular
        }
        Err(_) => End::Broken,
    }
}
