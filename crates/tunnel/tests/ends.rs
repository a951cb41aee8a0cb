//! How connections through another box end, depending on who ends them.

mod common;

use common::{read_end, reset, run, End, World};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What happens to a tunnel after the server has sent half of its answer.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    ServerCloses,
    ServerResets,
    /// The process in between is killed, or its planned stop runs out of time: the kernel closes its sockets.
    BoxIsGone,
    /// Something between the two boxes closes their connection.
    LinkCloses,
    LinkResets,
}

/// Guards against an answer without framing that looks complete although somebody else than its server ended the
/// connection.
#[test]
fn only_the_end_of_the_server_is_a_regular_end_for_the_client() {
    let cases = [
        (Trouble::ServerCloses, End::Regular),
        (Trouble::ServerResets, End::Broken),
        (Trouble::BoxIsGone, End::Broken),
        (Trouble::LinkCloses, End::Broken),
        (Trouble::LinkResets, End::Broken),
    ];
    for (trouble, end) in cases {
        run(async {
            let mut world = World::start().await;
            let (mut near, mut far) = world.open().await;
            far.write_all(b"half").await.expect("sent");
            let mut half = [0; 4];
            near.read_exact(&mut half).await.expect("half of the answer");
            match trouble {
                Trouble::ServerCloses => drop(far),
                Trouble::ServerResets => {
                    reset(&far);
                    drop(far);
                }
                Trouble::BoxIsGone => world.kill(),
                Trouble::LinkCloses => world.link.close(),
                Trouble::LinkResets => world.link.reset(),
            }
            assert_eq!(read_end(&mut near).await, end, "{trouble:?}");
        });
    }
}

/// Guards against servers that go on with a request whose box is gone, or that take its half for the whole.
#[test]
fn only_the_end_of_the_client_is_a_regular_end_for_the_server() {
    let cases =
        [(Trouble::BoxIsGone, End::Broken), (Trouble::LinkCloses, End::Broken), (Trouble::LinkResets, End::Broken)];
    for (trouble, end) in cases {
        run(async {
            let mut world = World::start().await;
            let (mut near, mut far) = world.open().await;
            near.write_all(b"half").await.expect("sent");
            let mut half = [0; 4];
            far.read_exact(&mut half).await.expect("half of the request");
            match trouble {
                Trouble::BoxIsGone => world.kill(),
                Trouble::LinkCloses => world.link.close(),
                _ => world.link.reset(),
            }
            assert_eq!(read_end(&mut far).await, end, "{trouble:?}");
        });
    }
}

/// Guards against answers that are lost since the client has ended its own direction.
#[test]
fn a_half_closed_tunnel_carries_the_answer() {
    run(async {
        let world = World::start().await;
        let (mut near, mut far) = world.open().await;
        near.write_all(b"request").await.expect("sent");
        near.shutdown().await.expect("a half-closed connection");
        let mut request = String::new();
        far.read_to_string(&mut request).await.expect("a regular end");
        assert_eq!(request, "request");
        far.write_all(b"answer").await.expect("sent");
        drop(far);
        let mut answer = String::new();
        near.read_to_string(&mut answer).await.expect("a regular end");
        assert_eq!(answer, "answer");
    });
}

/// Guards against bytes that are lost or doubled at the bounds of records and of buffers.
#[test]
fn bytes_of_any_number_arrive_in_order_with_their_end() {
    run(async {
        for count in [0, 1, 2, 8_190, 8_191, 8_192, 8_193, 65_534, 65_535, 65_536, 1_000_003] {
            let world = World::start().await;
            let (mut near, mut far) = world.open().await;
            let sent: Vec<u8> = (0..count).map(|number: u32| (number % 251) as u8).collect();
            let (received, ()) = tokio::join!(
                async {
                    let mut received = Vec::new();
                    near.read_to_end(&mut received).await.map(|_| received)
                },
                async {
                    far.write_all(&sent).await.expect("sent");
                    drop(far);
                }
            );
            assert_eq!(received.expect("a regular end"), sent, "{count} bytes");
        }
    });
}
