//! The readiness endpoint for the load balancer.

use crate::{answer, Body, Shared};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time limit for reading a request head, and for idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the readiness endpoint on an address of its own.
pub struct ReadinessServer {
    /// The state that determines readiness.
    pub shared: Arc<Shared>,
    /// Path of the endpoint.
    pub path: String,
}

impl ReadinessServer {
    /// Serves until the process exits. Must run inside a `LocalSet`.
    pub async fn run(self, listener: TcpListener) {
        let this = Arc::new(self);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let this = Arc::clone(&this);
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let response = this.answer(&request);
                    async { Ok::<_, Infallible>(response) }
                });
                let served = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(why) = served {
                    log::trace!(target: "cleatshelf", "balancer connection failed: {why}");
                }
            });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() != self.path {
            return answer::plain(StatusCode::NOT_FOUND, "not here");
        }
        if self.shared.is_ready() {
            answer::plain(StatusCode::OK, "ready")
        } else {
            answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
