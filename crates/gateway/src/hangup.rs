//! Notices that a caller has gone while its answer isn't being written.
//!
//! The HTTP library looks at the socket only when it has something to read or write; a caller that
//! hangs up while its request waits, or while an answer in one piece is put together, goes unnoticed.

use std::any::Any;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

/// When the socket is first looked at; each next look comes after twice the time, up to the longest.
///
/// A look costs a wake-up, and a long answer that is being written notices its caller's end by itself.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A second handle on a caller's socket, to look whether it was closed.
#[derive(Clone, Debug)]
pub struct Hangup {
    socket: Arc<TcpStream>,
}

impl Hangup {
    /// The handle for a connection as the HTTP server gives it; none if it isn't a TCP connection.
    #[must_use]
    pub fn of(connection: &dyn Any) -> Option<Self> {
        let tcp = connection.downcast_ref::<actix_rt::net::TcpStream>()?;
        let socket = TcpStream::from(tcp.as_fd().try_clone_to_owned().ok()?);
        Some(Self { socket: Arc::new(socket) })
    }

    fn is_gone(&self) -> bool {
        match self.socket.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(why) => !matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Ends when the caller has hung up. Without a handle it never ends.
    pub async fn wait(handle: Option<Self>) {
        let Some(handle) = handle else { return std::future::pending().await };
        let mut interval = MIN_CHECK_INTERVAL;
        while !handle.is_gone() {
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_CHECK_INTERVAL);
        }
    }
}
