//! The HTTP interface for operators: metrics, status and lifting of held requests.

use super::cluster_state::ClusterState;
use super::owner_service::OwnerService;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use placement::Fingerprint;
use relay::Shared;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{JsonLogger, PrometheusRecorder};
use tokio::net::TcpListener;

/// Serves operators on the control thread.
pub(super) struct Operators {
    pub(super) recorder: PrometheusRecorder,
    pub(super) shared: Arc<Shared>,
    pub(super) cluster_state: Rc<ClusterState>,
    pub(super) owner_service: Arc<OwnerService>,
    /// Services whose slots this box has assigned.
    pub(super) slot_services: RefCell<BTreeSet<String>>,
    /// Services and customers whose excess was last shown.
    pub(super) listed_customers: RefCell<HashSet<(String, String)>>,
    pub(super) logger: JsonLogger,
}

impl Operators {
    /// Serves requests for as long as the process runs.
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
                    log::debug!(target: "cleatshelf", "operator connection failed: {why}");
                }
            });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        match (request.method(), path.as_slice()) {
            (&Method::GET, ["metrics"]) => Response::new(Full::from(self.metrics())),
            (&Method::GET, ["status"]) => Response::new(Full::from(self.status())),
            (&Method::POST, ["suspects", request, "lift"]) => self.lift(request),
            _ => respond(StatusCode::NOT_FOUND, "not here"),
        }
    }

    /// Releases a held request at all boxes.
    fn lift(&self, request: &str) -> Response<Full<Bytes>> {
        let Ok(number) = u64::from_str_radix(request, 16) else {
            return respond(StatusCode::BAD_REQUEST, "expected a request fingerprint of 16 hexadecimal digits");
        };
        if self.shared.record_survival(Fingerprint(number)) {
            respond(StatusCode::OK, "lifted")
        } else {
            respond(StatusCode::NOT_FOUND, "not suspected")
        }
    }

    fn metrics(&self) -> String {
        let holding = self.cluster_state.known_versions();
        metrics::gauge!("cleatshelf_configuration_version").set(holding.table as f64);
        metrics::gauge!("cleatshelf_servers").set(self.cluster_state.server_count() as f64);
        metrics::gauge!("cleatshelf_servers_revision").set(holding.directory.revision as f64);
        metrics::gauge!("cleatshelf_store_era").set(holding.directory.era as f64);
        metrics::gauge!("cleatshelf_view_age_seconds").set(self.cluster_state.age().as_secs_f64());
        metrics::gauge!("cleatshelf_requests_running").set(self.shared.running.load(Ordering::Relaxed) as f64);
        metrics::gauge!("cleatshelf_requests_held").set(self.shared.quarantine().held().count() as f64);
        let (requests, answers) = (&self.shared.request_memory, &self.shared.answer_memory);
        for (kind, bytes) in
            [("bodies", requests.used()), ("heads", requests.used_by_heads()), ("answers", answers.used())]
        {
            metrics::gauge!("cleatshelf_buffered_bytes", "kind" => kind).set(bytes as f64);
        }
        metrics::gauge!("cleatshelf_log_lines_dropped").set(self.logger.dropped() as f64);
        self.set_slot_gauges();
        self.set_admission_gauges();
        self.recorder.render()
    }

    /// Sets the gauges of what admission holds back. Customers that are no longer among the heaviest are zeroed.
    fn set_admission_gauges(&self) {
        let summaries = self.shared.placement().admission_summaries(self.shared.now());
        let excess = |service: &str, customer: &str| metrics::gauge!("cleatshelf_customer_excess", "service" => service.to_owned(), "customer" => customer.to_owned());
        let mut listed = self.listed_customers.borrow_mut();
        for (service, customer) in listed.drain() {
            excess(&service, &customer).set(0.0);
        }
        let table = self.shared.view().table.clone();
        for (service, summary) in summaries {
            for (urgency, ratio) in summary.shed_ratios {
                metrics::gauge!("cleatshelf_shed_ratio", "service" => service.clone(), "urgency" => urgency.to_string())
                    .set(ratio);
            }
            for (urgency, ratio) in summary.held_back {
                metrics::gauge!("cleatshelf_held_back_ratio", "service" => service.clone(), "urgency" => urgency.to_string())
                    .set(ratio);
            }
            let names = || table.iter().flat_map(|table| table.customer_names());
            for (hash, ratio) in summary.excesses {
                let Some(name) = names().find(|name| routing::rank(0, name) == hash) else { continue };
                excess(&service, name).set(ratio);
                listed.insert((service.clone(), name.to_owned()));
            }
        }
    }

    /// Sets the gauges of the services that this box assigns slots for, and zeroes those of former ones.
    fn set_slot_gauges(&self) {
        let summaries = self.owner_service.slot_summaries();
        let mut services = self.slot_services.borrow_mut();
        services.extend(summaries.iter().map(|summary| summary.service.clone()));
        for service in services.iter() {
            let summary = summaries.iter().find(|summary| summary.service == *service);
            let (waiting, used) = summary.map_or((0, 0), |summary| (summary.waiting, summary.used));
            metrics::gauge!("cleatshelf_slots_waiting", "service" => service.clone()).set(f64::from(waiting));
            metrics::gauge!("cleatshelf_slots_used", "service" => service.clone()).set(f64::from(used));
        }
    }

    fn status(&self) -> String {
        let holding = self.cluster_state.known_versions();
        let directory = self.cluster_state.directory();
        let servers: Vec<_> = directory.servers.values().collect();
        let held: Vec<String> = self.shared.quarantine().held().map(|request| request.to_string()).collect();
        let resting = self.shared.placement().backing_off(self.shared.now());
        let statements = self.shared.placement().limit_updates();
        let limited: BTreeMap<String, String> =
            statements.into_iter().map(|s| (s.instance, s.limit.to_string())).collect();
        serde_json::json!({
            "ready": self.shared.is_ready(),
            "stopping": self.shared.is_stopping(),
            "configuration": holding.table,
            "servers_position": holding.directory.to_string(),
            "view_age_ms": self.cluster_state.age().as_millis() as u64,
            "requests_held": held,
            "servers_leaving": self.shared.placement().leaving(),
            "servers_resting": resting,
            "servers_limited": limited,
            "running": self.shared.running.load(Ordering::Relaxed),
            "servers": servers,
        })
        .to_string()
    }
}

fn respond(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
