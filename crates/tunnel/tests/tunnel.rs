//! Tunnels between two boxes over loopback.

use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tunnel::{Client, Connector, Error, Listener, Refusal};
use wire::Key;

const SECRET: &str = "a secret between boxes";

/// Connects to one server instance.
struct OneServer {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
}

impl Connector for OneServer {
    fn connect<'a>(&'a self, instance: &'a str) -> LocalBoxFuture<'a, Result<TcpStream, Refusal>> {
        async move {
            if instance != "i-1" {
                return Err(Refusal::NotListed);
            }
            self.connections.set(self.connections.get() + 1);
            TcpStream::connect(self.address).await.map_err(|_| Refusal::Refused)
        }
        .boxed_local()
    }

    fn configure(&self, _: &TcpStream) {}
}

struct World {
    server: TcpListener,
    tunnels: SocketAddr,
    connections: Rc<Cell<usize>>,
}

impl World {
    async fn start() -> Self {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let tunnels = listener.local_addr().expect("an address");
        let connections = Rc::<Cell<usize>>::default();
        let address = server.local_addr().expect("an address");
        let connector = OneServer { address, connections: Rc::clone(&connections) };
        tokio::task::spawn_local(Listener::new(Key::new(SECRET), tunnels, Rc::new(connector)).run(listener));
        Self { server, tunnels, connections }
    }

    /// Opens a tunnel and accepts its connection at the server.
    async fn open(&self) -> (TcpStream, TcpStream) {
        let client = Client::new(Key::new(SECRET));
        let (near, far) = tokio::join!(client.open(self.tunnels, "i-1"), self.server.accept());
        (near.expect("a tunnel"), far.expect("a connection").0)
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("a reset");
}

async fn read_error(stream: &mut TcpStream) -> Option<std::io::ErrorKind> {
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut byte)).await.expect("an end");
    read.err().map(|why| why.kind())
}

#[test]
fn bytes_pass_in_both_directions_until_both_ends_close() {
    run(async {
        let (mut near, mut far) = World::start().await.open().await;
        let big = vec![7; 300_000];
        let (sent, received) = tokio::join!(near.write_all(&big), async {
            let mut bytes = vec![0; big.len()];
            far.read_exact(&mut bytes).await.map(|_| bytes)
        });
        sent.expect("sent");
        assert_eq!(received.expect("received"), big);
        far.write_all(b"answer").await.expect("sent");
        drop(far);
        let mut answer = String::new();
        near.read_to_string(&mut answer).await.expect("a regular end");
        assert_eq!(answer, "answer");
    });
}

/// Guards against an answer that was cut off at the server and looks complete to the box that forwards it.
#[test]
fn a_reset_by_the_server_is_a_reset_for_the_client() {
    run(async {
        let (mut near, far) = World::start().await.open().await;
        reset(&far);
        drop(far);
        assert_eq!(read_error(&mut near).await, Some(std::io::ErrorKind::ConnectionReset));
    });
}

/// Guards against servers that go on with requests which the client has cancelled.
#[test]
fn a_reset_by_the_client_is_a_reset_for_the_server() {
    run(async {
        let (near, mut far) = World::start().await.open().await;
        reset(&near);
        drop(near);
        assert_eq!(read_error(&mut far).await, Some(std::io::ErrorKind::ConnectionReset));
    });
}

/// Guards against an open proxy: only listed instances are reached, and only by boxes with the key.
#[test]
fn no_connection_is_opened_to_an_unlisted_instance_or_without_the_key() {
    run(async {
        let world = World::start().await;
        let unlisted = Client::new(Key::new(SECRET)).open(world.tunnels, "i-2").await;
        assert!(matches!(unlisted, Err(Error::Refused(Refusal::NotListed))));
        let unproved = Client::new(Key::new("another secret entirely")).open(world.tunnels, "i-1").await;
        assert!(matches!(unproved, Err(Error::Box(_))));
        assert_eq!(world.connections.get(), 0);
    });
}

/// Guards against bytes of the server that are lost with the handshake.
#[test]
fn bytes_that_the_server_sends_at_once_arrive() {
    run(async {
        let world = World::start().await;
        let client = Client::new(Key::new(SECRET));
        let (near, ()) = tokio::join!(client.open(world.tunnels, "i-1"), async {
            let (mut far, _) = world.server.accept().await.expect("a connection");
            far.write_all(b"first").await.expect("sent");
        });
        let mut text = String::new();
        near.expect("a tunnel").read_to_string(&mut text).await.expect("a regular end");
        assert_eq!(text, "first");
    });
}
