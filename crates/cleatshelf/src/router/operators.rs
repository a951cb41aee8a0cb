//! Metrics and the state of this box, for operators.

use super::knowledge::Knowledge;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use relay::Shared;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Lines, Scrape};
use tokio::net::TcpListener;

/// What operators can ask, on the control thread.
pub(super) struct Operators {
    pub(super) scrape: Scrape,
    pub(super) shared: Arc<Shared>,
    pub(super) knowledge: Rc<Knowledge>,
    pub(super) lines: Lines,
}

impl Operators {
    /// Answers for as long as the process runs.
    pub(super) async fn run(self, listener: TcpListener) {
        let this = Rc::new(self);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let this = Rc::clone(&this);
            actix_rt::spawn(async move {
                let service = service_fn(|request| {
                    let response = this.answer(&request);
                    async { Ok::<_, Infallible>(response) }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                if let Err(why) = connection.serve_connection(TokioIo::new(stream), service).await {
                    log::debug!(target: "cleatshelf", "operator's connection: {why}");
                }
            });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/metrics" => Response::new(Full::from(self.metrics())),
            "/status" => Response::new(Full::from(self.status())),
            _ => {
                let mut response = Response::new(Full::from("not here"));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    fn metrics(&self) -> String {
        let holding = self.knowledge.holding();
        metrics::gauge!("cleatshelf_configuration_version").set(holding.table as f64);
        metrics::gauge!("cleatshelf_servers_revision").set(holding.directory as f64);
        metrics::gauge!("cleatshelf_view_age_seconds").set(self.knowledge.age().as_secs_f64());
        metrics::gauge!("cleatshelf_requests_running").set(self.shared.running.load(Ordering::Relaxed) as f64);
        metrics::gauge!("cleatshelf_log_lines_dropped").set(self.lines.dropped() as f64);
        self.scrape.render()
    }

    fn status(&self) -> String {
        let holding = self.knowledge.holding();
        let directory = self.knowledge.directory();
        let servers: Vec<_> = directory.servers.values().collect();
        serde_json::json!({
            "ready": self.shared.ready(),
            "stopping": self.shared.stopping(),
            "configuration": holding.table,
            "servers_revision": holding.directory,
            "view_age_ms": self.knowledge.age().as_millis() as u64,
            "running": self.shared.running.load(Ordering::Relaxed),
            "servers": servers,
        })
        .to_string()
    }
}
