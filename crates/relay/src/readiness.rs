//! Tells the balancer whether callers may be sent here.

use crate::{answer, Body, Shared};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a connection may take for a question, or rest.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the balancer's question on its own address.
pub struct ReadinessServer {
    /// What the answer depends on.
    pub shared: Arc<Shared>,
    /// Path of the question.
    pub path: String,
}

impl ReadinessServer {
    /// Answers for as long as the process runs; must run on a local set.
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
                    log::trace!(target: "cleatshelf", "balancer's connection: {why}");
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
