//! Measures the processor time of a tunnel at both boxes, for streams of small events and for large answers, and the
//! bytes between the boxes.
//!
//! ```sh
//! cargo run --release -p tunnel --example cost
//! ```

use futures_util::future::{FutureExt, LocalBoxFuture};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tunnel::{Client, Connector, Listener, Refusal};
use wire::Key;

const SECRET: &str = "a secret between boxes";

const EVENT_BYTES: usize = 80;
const EVENTS: usize = 50_000;

const ANSWER_BYTES: usize = 4 << 20;
const ANSWERS: usize = 100;

struct OneServer(SocketAddr);

impl Connector for OneServer {
    fn connect<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<TcpStream, Refusal>> {
        async move {
            let stream = TcpStream::connect(self.0).await.map_err(|_| Refusal::Refused)?;
            stream.set_nodelay(true).map_err(|_| Refusal::Failed)?;
            Ok(stream)
        }
        .boxed_local()
    }

    fn configure(&self, stream: &TcpStream) {
        stream.set_nodelay(true).expect("an option");
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Returns the processor time of this thread, in milliseconds.
fn thread_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("scheduler statistics");
    let ns: f64 = stat.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number");
    ns / 1e6
}

/// Answers each connection with `pieces` of this size, each of which is read before the next one is sent.
fn serve(listener: std::net::TcpListener, bytes: usize, pieces: usize) -> JoinHandle<()> {
    std::thread::spawn(move || {
        run(async {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.set_nodelay(true).expect("an option");
            let piece = vec![7; bytes];
            let mut read = [0];
            for _ in 0..pieces {
                stream.write_all(&piece).await.expect("sent");
                stream.read_exact(&mut read).await.expect("read by the client");
            }
        });
    })
}

fn bind() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("an option");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn measure(name: &str, bytes: usize, pieces: usize) {
    let (server, server_address) = bind();
    let server = serve(server, bytes, pieces);
    let (between, between_address) = bind();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let between = std::thread::spawn(move || {
        run(async move {
            let listener = TcpListener::from_std(between).expect("a listener");
            let tunnels = Listener::new(Key::new(SECRET), between_address, Rc::new(OneServer(server_address)));
            tokio::task::spawn_local(tunnels.run(listener));
            let began = thread_ms();
            stopped.await.expect("the client ends");
            thread_ms() - began
        })
    });
    let client_ms = run(async {
        let mut stream = Client::new(Key::new(SECRET)).open(between_address, "i-1").await.expect("a tunnel");
        let mut piece = vec![0; bytes];
        let began = thread_ms();
        for _ in 0..pieces {
            stream.read_exact(&mut piece).await.expect("a piece");
            stream.write_all(&[1]).await.expect("sent");
        }
        let client_ms = thread_ms() - began;
        stream.shutdown().await.expect("a regular end");
        client_ms
    });
    server.join().expect("no panic");
    stop.send(()).expect("the box waits");
    let between_ms = between.join().expect("no panic");
    let megabytes = (bytes * pieces) as f64 / 1e6;
    println!("{name}: {pieces} of {bytes} bytes, {megabytes:.0} MB: box in between {between_ms:.0} ms, other box {client_ms:.0} ms");
}

fn main() {
    for _ in 0..3 {
        measure("events", EVENT_BYTES, EVENTS);
        measure("answers", ANSWER_BYTES, ANSWERS);
    }
}
