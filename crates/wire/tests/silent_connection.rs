//! A link reconnects if its connection becomes silent permanently without a reset.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{Key, Link, Listener};

/// Time limit for a message after the connection became silent; several times the expected recovery time.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Forwards bytes. Connections opened before `silence` is incremented stay open but forward nothing more.
async fn proxy(listener: TcpListener, to: SocketAddr, silence: Rc<Cell<u32>>) {
    loop {
        let (near, _) = listener.accept().await.expect("a connection");
        let far = TcpStream::connect(to).await.expect("the listener");
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        actix_rt::spawn(copy(near_read, far_write, Rc::clone(&silence)));
        actix_rt::spawn(copy(far_read, near_write, Rc::clone(&silence)));
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silence: Rc<Cell<u32>>,
) {
    let started = silence.get();
    let mut bytes = [0; 4_096];
    while let Ok(count) = from.read(&mut bytes).await {
        if count == 0 {
            return;
        }
        if silence.get() == started && to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

#[actix_rt::test]
async fn link_reconnects_after_silent_connection_loss() {
    let bind = || async { TcpListener::bind("127.0.0.1:0").await.expect("a port") };
    let (inner, outer) = (bind().await, bind().await);
    let (to, address) = (inner.local_addr().expect("an address"), outer.local_addr().expect("an address"));
    let silence = Rc::new(Cell::new(0));
    actix_rt::spawn(proxy(outer, to, Rc::clone(&silence)));
    let key = Key::new("the secret of both ends");
    let received: Rc<RefCell<Vec<u32>>> = Rc::default();
    let sink = Rc::clone(&received);
    let listener = Listener::new(&key, "b", Rc::new(move |_: &str, message: u32| sink.borrow_mut().push(message)));
    actix_rt::spawn(listener.run(inner));
    let link: Link<u32> = Link::open(&key, "a", "b", address, Box::new(|| {}));
    let send_until_received = |first: u32| {
        let (link, received) = (&link, Rc::clone(&received));
        async move {
            let started = Instant::now();
            while started.elapsed() < RECOVERY_TIMEOUT {
                link.send(&first);
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                if received.borrow().contains(&first) {
                    return true;
                }
            }
            false
        }
    };
    assert!(send_until_received(1).await, "before the silence");
    silence.set(1);
    assert!(send_until_received(2).await, "after the silence");
}
