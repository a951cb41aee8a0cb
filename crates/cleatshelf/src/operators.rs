//! The HTTP interface for operators: status, explanations and metrics.

use crate::control::{GetExplanation, GetStatus};
use crate::Control;
use actix::Addr;
use actix_web::web::{self, Data, Query, ServiceConfig};
use actix_web::HttpResponse;
use serde::Deserialize;
use serde_json::json;
use telemetry::PrometheusRecorder;

/// State shared by the handlers.
#[derive(Clone)]
pub struct Operators {
    /// The control actor.
    pub control: Addr<Control>,
    /// The metrics of the process.
    pub recorder: PrometheusRecorder,
}

#[derive(Deserialize)]
struct ExplainQuery {
    customer: String,
    class: Option<String>,
    serves: String,
}

/// Adds the routes for operators.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/status", web::get().to(status))
        .route("/explain", web::get().to(explain))
        .route("/metrics", web::get().to(metrics))
        .route("/health", web::get().to(health));
}

async fn status(shared: Data<Operators>) -> HttpResponse {
    match shared.control.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn explain(shared: Data<Operators>, query: Query<ExplainQuery>) -> HttpResponse {
    let ExplainQuery { customer, class, serves } = query.into_inner();
    match shared.control.send(GetExplanation { customer, class, serves }).await {
        Ok(Ok(explanation)) => HttpResponse::Ok().json(explanation),
        Ok(Err(reason)) => HttpResponse::NotFound().json(json!({"reason": reason})),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn metrics(shared: Data<Operators>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(shared.recorder.render())
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({"alive": true}))
}
