//! Copies bytes between the two connections of a tunnel.

use crate::Stream;
use socket2::SockRef;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// Copies bytes in both directions until both connections have ended. Whatever else ends the tunnel, the kill of this
/// process included, resets both: after a regular close the server could go on with a cancelled request.
pub(crate) async fn splice(mut client: Stream, mut server: TcpStream) {
    set_reset_on_close(&client, true);
    set_reset_on_close(&server, true);
    match tokio::io::copy_bidirectional(&mut client, &mut server).await {
        Ok(_) => {
            set_reset_on_close(&client, false);
            set_reset_on_close(&server, false);
        }
        Err(why) => log::trace!(target: "cleatshelf", "tunnel failed: {why}"),
    }
}

/// Sets whether the connection ends with a reset when its socket is closed.
fn set_reset_on_close(socket: &impl AsFd, reset: bool) {
    if let Err(why) = SockRef::from(socket).set_linger(reset.then_some(Duration::ZERO)) {
        log::debug!(target: "cleatshelf", "setting SO_LINGER failed: {why}");
    }
}
