//! HTTP towards operators: status, explanations, metrics.

use crate::control::{AskExplanation, AskStatus};
use crate::Control;
use actix::Addr;
use actix_web::web::{self, Data, Query, ServiceConfig};
use actix_web::HttpResponse;
use serde::Deserialize;
use serde_json::json;
use telemetry::PrometheusRecorder;

/// What the operators' handlers share.
#[derive(Clone)]
pub struct Operators {
    /// The control actor.
    pub control: Addr<Control>,
    /// The metrics.
    pub scrape: PrometheusRecorder,
}

#[derive(Deserialize)]
struct Wanted {
    customer: String,
    class: Option<String>,
    serves: String,
}

/// Adds the routes for operators.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/status", web::get().to(status))
        .route("/explain", web::get().to(explain))
        .route("/metrics", web::get().to(scrape))
        .route("/health", web::get().to(health));
}

async fn status(shared: Data<Operators>) -> HttpResponse {
    match shared.control.send(AskStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(gone) => HttpResponse::InternalServerError().body(gone.to_string()),
    }
}

async fn explain(shared: Data<Operators>, wanted: Query<Wanted>) -> HttpResponse {
    let Wanted { customer, class, serves } = wanted.into_inner();
    match shared.control.send(AskExplanation { customer, class, serves }).await {
        Ok(Ok(explanation)) => HttpResponse::Ok().json(explanation),
        Ok(Err(reason)) => HttpResponse::NotFound().json(json!({"reason": reason})),
        Err(gone) => HttpResponse::InternalServerError().body(gone.to_string()),
    }
}

async fn scrape(shared: Data<Operators>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(shared.scrape.render())
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({"alive": true}))
}
