//! Two releases of the program side by side.

mod common;

use bytes::{Bytes, BytesMut};
use common::{run, World, SECRET};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tunnel::{Client, Error};
use wire::{Codec, Frame, Key};

/// The request for a tunnel of the release that sent the bytes after the handshake as they were.
#[derive(Serialize, Deserialize)]
struct FormerHello {
    instance: String,
}

const CHALLENGE: &str = "0123456789abcdef0123456789abcdef";

fn hello_codec(challenge: &str, listener: &str) -> Codec<FormerHello> {
    Codec::new(Key::new(SECRET).session(challenge, "tunnel", listener))
}

/// Guards against bytes without a provable end from a box that has not been replaced yet.
#[test]
fn a_listener_of_the_former_release_is_refused() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let former = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.write_all(CHALLENGE.as_bytes()).await.expect("sent");
            let mut bytes = vec![0; stream.read_u16().await.expect("a length").into()];
            stream.read_exact(&mut bytes).await.expect("a message");
            let mut codec = hello_codec(CHALLENGE, &address.to_string());
            codec.feed(&Bytes::from(bytes));
            // The former release closes the connection then.
            assert!(codec.read().is_err(), "the former release must not understand the request");
        };
        let client = Client::new(Key::new(SECRET));
        let (opened, ()) = tokio::join!(client.open(address, "i-1"), former);
        assert!(matches!(opened, Err(Error::Box(_))));
    });
}

/// Guards against a former release that takes the records for bytes of the server.
#[test]
fn a_client_of_the_former_release_is_refused_without_a_connection_to_the_server() {
    run(async {
        let world = World::start().await;
        let mut stream = TcpStream::connect(world.tunnels()).await.expect("a connection");
        let mut challenge = [0; CHALLENGE.len()];
        stream.read_exact(&mut challenge).await.expect("a challenge");
        let challenge = std::str::from_utf8(&challenge).expect("text");
        let mut bytes = BytesMut::new();
        let frame = Frame::encode(&FormerHello { instance: "i-1".to_owned() }).expect("a frame");
        hello_codec(challenge, &world.tunnels().to_string()).write(&frame, &mut bytes);
        stream.write_u16(u16::try_from(bytes.len()).expect("a short message")).await.expect("sent");
        stream.write_all(&bytes).await.expect("sent");
        let mut rest = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut rest)).await;
        // An inner error is a reset of the connection, which is a refusal as well.
        assert!(read.is_ok(), "the tunnel was opened");
        assert!(rest.is_empty());
        assert_eq!(world.connections(), 0);
    });
}
