//! Copies bytes between the two connections of a tunnel.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpStream;

/// Copies bytes in both directions until both connections are closed. If one of them fails, both are reset: after a
/// regular close the other end could take a truncated message for a complete one, or go on with a cancelled request.
pub(crate) async fn splice(mut client: TcpStream, mut server: TcpStream) {
    if let Err(why) = tokio::io::copy_bidirectional(&mut client, &mut server).await {
        log::trace!(target: "cleatshelf", "tunnel failed: {why}");
        reset(&client);
        reset(&server);
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(why) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(target: "cleatshelf", "setting SO_LINGER failed, closing instead of resetting: {why}");
    }
}
