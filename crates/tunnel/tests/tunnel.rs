//! Tunnels between two boxes over loopback.

mod common;

use common::{reset, run, World, SECRET};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tunnel::{Client, Error, Refusal};
use wire::Key;

async fn read_error(stream: &mut (impl AsyncRead + Unpin)) -> Option<std::io::ErrorKind> {
    let mut byte = [0];
    let read = tokio::time::timeout(std::time::Duration::from_secs(2), stream.read(&mut byte)).await.expect("an end");
    read.err().map(|why| why.kind())
}

#[test]
fn bytes_pass_in_both_directions_until_both_ends_close() {
    run(async {
        let world = World::start().await;
        let (mut near, mut far) = world.open().await;
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
        let world = World::start().await;
        let (mut near, far) = world.open().await;
        reset(&far);
        drop(far);
        assert_eq!(read_error(&mut near).await, Some(std::io::ErrorKind::ConnectionReset));
    });
}

/// Guards against servers that go on with requests which the client has cancelled.
#[test]
fn a_reset_by_the_client_is_a_reset_for_the_server() {
    run(async {
        let world = World::start().await;
        let (near, mut far) = world.open().await;
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
        let unlisted = Client::new(Key::new(SECRET)).open(world.tunnels(), "i-2").await;
        assert!(matches!(unlisted, Err(Error::Refused(Refusal::NotListed))));
        let unproved = Client::new(Key::new("another secret entirely")).open(world.tunnels(), "i-1").await;
        assert!(matches!(unproved, Err(Error::Box(_))));
        assert_eq!(world.connections(), 0);
    });
}

/// Guards against bytes of the server that are lost with the handshake.
#[test]
fn bytes_that_the_server_sends_at_once_arrive() {
    run(async {
        let world = World::start().await;
        let client = Client::new(Key::new(SECRET));
        let (near, ()) = tokio::join!(client.open(world.tunnels(), "i-1"), async {
            let mut far = world.accept().await;
            far.write_all(b"first").await.expect("sent");
        });
        let mut text = String::new();
        near.expect("a tunnel").read_to_string(&mut text).await.expect("a regular end");
        assert_eq!(text, "first");
    });
}
