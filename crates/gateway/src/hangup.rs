//! Detection of callers that disconnect while nothing is being written to them.
//!
//! The HTTP library checks a socket only when it reads or writes. Without this module it would not notice a caller that
//! disconnects while its request is queued or its response is being assembled.

use std::any::Any;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

/// Interval after the first socket check. It doubles with each further check up to [`MAX_CHECK_INTERVAL`].
///
/// Each check costs a wake-up, and a long streamed answer detects the disconnection by its own writes.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A duplicated handle of a caller's socket, to check whether it was closed.
#[derive(Clone, Debug)]
pub struct Hangup {
    socket: Arc<TcpStream>,
}

impl Hangup {
    /// Creates the handle for a connection of the HTTP server. Returns `None` if it isn't a TCP connection.
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

    /// Completes once the caller has disconnected. Never completes without a handle.
    pub async fn wait(handle: Option<Self>) {
        let Some(handle) = handle else { return std::future::pending().await };
        let mut interval = MIN_CHECK_INTERVAL;
        while !handle.is_gone() {
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_CHECK_INTERVAL);
        }
    }
}
