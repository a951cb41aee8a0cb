//! Boxes of another version are refused: messages are encoded by position, so they would be misread.

use std::rc::Rc;
use wire::{Key, Listener, VERSION};

/// Returns the status with which a listener responds to a link of this version.
async fn respond_to(version: u32) -> http::StatusCode {
    let bound = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = bound.local_addr().expect("an address");
    let listener = Listener::new(&Key::new("the secret of both ends"), "b", Rc::new(|_: &str, _: u32| {}));
    actix_rt::spawn(listener.run(bound));
    let stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let (sender, connection) = h2::client::handshake(stream).await.expect("a handshake");
    actix_rt::spawn(async move { drop(connection.await) });
    let head = http::Request::post("http://box/link").header("from", "a").header("version", version);
    let mut sender = sender.ready().await.expect("a connection");
    let (response, _stream) = sender.send_request(head.body(()).expect("a request"), false).expect("a request");
    response.await.expect("a response").status()
}

#[actix_rt::test]
async fn links_of_other_versions_are_refused() {
    assert_eq!(VERSION, 12);
    assert_eq!(respond_to(VERSION).await, 200);
    for version in [VERSION - 1, VERSION + 1] {
        assert_eq!(respond_to(version).await, 426, "version {version}");
    }
}
