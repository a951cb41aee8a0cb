//! `/services/NAME/…`: plain services, any method and body.

use crate::caller::Caller;
use crate::guards::{CustomerAdmission, KeyClaim, Lease};
use crate::request_metrics::RequestMetrics;
use crate::stage::Stage;
use crate::{body, App, Code, Hangup, Outcome, Problem, RAN_HEADER};
use actix_web::http::StatusCode;
use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse};
use catalog::ServerId;
use policy::{Acquire, Cause, Ran, Sent, Time, Unsent};
use std::time::Instant;
use upstream::{Failure, PlainAnswer, PlainRequest};

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Request headers that are meant for this box and not forwarded to the service.
const STRIPPED_HEADERS: [&str; 6] =
    ["host", "connection", "authorization", "content-length", "transfer-encoding", "x-api-key"];

/// Serves one request.
pub async fn serve(app: &App, request: &HttpRequest, name: &str, rest: &str, payload: Payload) -> HttpResponse {
    let Some(_slot) = app.reserve_slot() else { return app.at_capacity().response() };
    let hangup = request.conn_data::<Hangup>().cloned();
    let result = tokio::select! {
        result = run(app, request, name, rest, payload) => result,
        // No caller reads this response; the guards have already released everything.
        () = Hangup::wait(hangup) => return HttpResponse::NoContent().finish(),
    };
    match result {
        Ok(answer) => forward_answer(&answer),
        Err(problem) => {
            metrics::counter!("cleatshelf_problems_total", "code" => problem.code.as_str()).increment(1);
            problem.response()
        }
    }
}

fn forward_answer(answer: &PlainAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder.insert_header((RAN_HEADER, Ran::Yes.as_str()));
    builder.body(answer.body.clone())
}

async fn run(
    app: &App,
    request: &HttpRequest,
    name: &str,
    rest: &str,
    payload: Payload,
) -> Result<PlainAnswer, Problem> {
    let arrived = app.control.now();
    let snapshot = app.ready_snapshot()?;
    let mut caller = Caller::identify(request.headers(), &snapshot, &app.limits)?;
    let Some(service) = snapshot.catalog.services.get(name) else {
        return Err(Problem::before_send(Code::NotFound, format!("there is no service '{name}'")));
    };
    let method = request.method().as_str().to_owned();
    caller.repeatable &= service.repeatable.contains(&method);
    let body::Body { bytes: body, reservation: _reservation } = body::read(request, payload, app).await?;
    let query = request.query_string();
    let target = if query.is_empty() { format!("/{rest}") } else { format!("/{rest}?{query}") };
    let forwarded = request.headers().iter().filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()));
    let headers = forwarded.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())));
    let service_request =
        PlainRequest { method, target, headers: headers.collect(), body, repeatable: caller.repeatable };
    let metrics = RequestMetrics::new(&caller.class.name, &caller.label);
    let result = attempt(app, &caller, name, &service_request, arrived).await;
    match &result {
        Ok(_) => metrics.finish(Outcome::Complete),
        Err(problem) => metrics.finish(problem.outcome()),
    }
    result
}

async fn attempt(
    app: &App,
    caller: &Caller,
    name: &str,
    service_request: &PlainRequest,
    arrived: Time,
) -> Result<PlainAnswer, Problem> {
    let unsent = Unsent::new(caller.repeatable);
    let mut claim = match caller.key.filter(|_| !caller.repeatable) {
        Some(key) => Some(KeyClaim::acquire(&app.control, key.hash, key.age_ms).await?),
        None => None,
    };
    let mut admission = match CustomerAdmission::admit(&app.control, caller.customer).await {
        Ok(admission) => admission,
        Err(refusal) => return Err(Problem::refused(refusal, unsent.refuse())),
    };
    let mut stage = Stage::Unsent(unsent);
    let mut acquire = Acquire {
        serves: name.to_owned(),
        class: caller.class_id(),
        customer: caller.customer,
        tokens: 1,
        prefix: 0,
        resumable: false,
        arrived,
        cause: Cause::First,
        avoid: None,
    };
    for remaining in (0..MAX_ATTEMPTS).rev() {
        let (mut lease, permit) = match Lease::acquire(&app.control, acquire.clone()).await {
            Ok(granted) => granted,
            Err(refusal) => return Err(Problem::refused(refusal, stage.refuse())),
        };
        let sent = match stage.send(permit, app.control.now()) {
            Ok(sent) => sent,
            Err(stage_unchanged) => {
                (stage, acquire.cause) = (stage_unchanged, Cause::Recall);
                continue;
            }
        };
        if let Some(claim) = &mut claim {
            claim.ran = true;
        }
        lease.mark_used();
        let started = Instant::now();
        match app.plain.call(lease.server.address, service_request).await {
            Ok(answer) => {
                lease.report.first_ms = (started.elapsed().as_millis() as u32).max(1);
                admission.tokens = 1;
                return Ok(answer);
            }
            Err(failure) => {
                lease.report.failed = true;
                if let (Failure::Unreached(_), Some(claim)) = (&failure, &mut claim) {
                    claim.ran = false;
                }
                stage = next_stage(sent, &failure, remaining == 0)?;
                acquire.cause = Cause::Failure;
                acquire.avoid = Some(ServerId::of(&lease.server.name));
            }
        }
    }
    Err(Problem::after_send(Code::NoServer, "no server could be reached", stage.refuse()).with_retry_ms(1_000))
}

/// Returns the stage after a failed attempt, or the problem that ends the request.
fn next_stage(sent: Sent, failure: &Failure, last: bool) -> Result<Stage, Problem> {
    let failed = |ran| Problem::after_send(Code::UpstreamFailed, format!("the service failed: {failure}"), ran);
    if matches!(failure, Failure::Unreached(_)) {
        return Ok(Stage::after_unreached(sent));
    }
    if last {
        return Err(failed(sent.finish(false)));
    }
    sent.retry().map(Stage::Resend).map_err(|sent| failed(sent.finish(false)))
}
