//! Routes and the state shared by their handlers.

use crate::{completion, service, Code, ControlHandle, Limits, Problem, Snapshot};
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use upstream::{Endpoint, Engine, PlainService};

/// State shared by all handlers of one traffic thread.
#[derive(Clone)]
pub struct App {
    /// Handle of the control thread.
    pub control: Arc<dyn ControlHandle>,
    /// Client for engines.
    pub engine: Rc<dyn Engine>,
    /// Client for plain services.
    pub plain: Rc<dyn PlainService>,
    /// Limits on requests.
    pub limits: Arc<Limits>,
    /// Memory for request bodies, over all traffic threads.
    pub body_memory: Arc<memory::Budget>,
    /// Name of the box; prefix of answer ids.
    pub name: Arc<str>,
    /// Number of requests in progress, over all traffic threads.
    pub running: Arc<AtomicUsize>,
    /// Sequence number of the next answer, over all traffic threads.
    pub next_answer: Arc<AtomicU64>,
}

/// Counts one request towards the box's limit until dropped.
pub struct RequestSlot(Arc<AtomicUsize>);

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl App {
    /// Reserves a slot for a request. Returns `None` at the limit.
    pub(crate) fn reserve_slot(&self) -> Option<RequestSlot> {
        let before = self.running.fetch_add(1, Ordering::Relaxed);
        let slot = RequestSlot(Arc::clone(&self.running));
        (before < self.limits.max_requests).then_some(slot)
    }

    /// Returns the problem reported when no slot is free.
    pub(crate) fn at_capacity(&self) -> Problem {
        let message = format!("this box already has the maximum of {} requests", self.limits.max_requests);
        Problem::before_send(Code::NotReady, message).with_retry_ms(1_000)
    }

    /// Returns the snapshot if this box accepts requests.
    pub(crate) fn ready_snapshot(&self) -> Result<Arc<Snapshot>, Problem> {
        let snapshot = self.control.snapshot();
        if snapshot.stopping {
            return Err(Problem::before_send(Code::NotReady, "this box is stopping").with_retry_ms(1_000));
        }
        if !snapshot.ready {
            return Err(Problem::before_send(Code::NotReady, "this box has no configuration yet").with_retry_ms(1_000));
        }
        Ok(snapshot)
    }

    /// Returns the id for a new answer.
    pub(crate) fn answer_id(&self) -> String {
        format!("cmpl-{}-{}", self.name, self.next_answer.fetch_add(1, Ordering::Relaxed))
    }
}

/// Registers the routes for callers.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(text))
        .route("/v1/models", web::get().to(models))
        .route("/services/{name}/{rest:.*}", web::route().to(plain))
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(ready))
        .default_service(web::route().to(not_found));
}

async fn chat(app: Data<App>, request: HttpRequest, payload: Payload) -> HttpResponse {
    completion::serve(&app, &request, payload, Endpoint::Chat).await
}

async fn text(app: Data<App>, request: HttpRequest, payload: Payload) -> HttpResponse {
    completion::serve(&app, &request, payload, Endpoint::Text).await
}

async fn models(app: Data<App>, request: HttpRequest) -> HttpResponse {
    let found = app.ready_snapshot().and_then(|snapshot| {
        crate::caller::Caller::identify(request.headers(), &snapshot, &app.limits).map(|_| snapshot)
    });
    match found {
        Ok(snapshot) => {
            let data: Vec<_> = snapshot.catalog.models().iter().map(|m| json!({"id": m, "object": "model"})).collect();
            HttpResponse::Ok().json(json!({"object": "list", "data": data}))
        }
        Err(problem) => problem.response(),
    }
}

async fn plain(
    app: Data<App>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    service::serve(&app, &request, &path.0, &path.1, payload).await
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({"alive": true}))
}

async fn ready(app: Data<App>) -> HttpResponse {
    let snapshot = app.control.snapshot();
    let body = json!({"ready": snapshot.ready && !snapshot.stopping, "release": snapshot.release});
    if snapshot.ready && !snapshot.stopping {
        HttpResponse::Ok().json(body)
    } else {
        HttpResponse::ServiceUnavailable().json(body)
    }
}

async fn not_found() -> HttpResponse {
    Problem::before_send(Code::NotFound, "unknown path").response()
}
