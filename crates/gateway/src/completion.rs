//! `POST /v1/chat/completions` and `/v1/completions`.

use crate::answer_assembler::AnswerAssembler;
use crate::caller::Caller;
use crate::request_driver::{AnswerPart, RequestDriver};
use crate::{body, App, Code, Hangup, Outcome, Problem, Snapshot};
use actix_web::web::{Bytes, Payload};
use actix_web::{HttpRequest, HttpResponse};
use catalog::{Digest, UpstreamKind};
use memory::Reservation;
use serde_json::Value;
use tokio::sync::mpsc;
use upstream::{Call, Delivered, Endpoint};

/// Maximum number of events buffered for a slow caller.
const MAX_UNREAD_EVENTS: usize = 64;

/// Length of the prompt prefix that is hashed.
const PREFIX_BYTES: usize = 1_024;

/// Expected answer length if the caller sets no limit, and the upper bound of the expected length.
const DEFAULT_EXPECTED_TOKENS: u32 = 128;
const MAX_EXPECTED_TOKENS: u64 = 4_096;

/// Serves one request.
pub async fn serve(app: &App, request: &HttpRequest, payload: Payload, endpoint: Endpoint) -> HttpResponse {
    let Some(slot) = app.reserve_slot() else { return app.at_capacity().response() };
    match prepare(app, request, payload, endpoint).await {
        Ok((driver, reservation, streamed)) => {
            let (out, parts) = mpsc::channel(MAX_UNREAD_EVENTS);
            // Runs in a task of its own, because the answer continues after the handler has returned the response head.
            let timeout = app.limits.request_timeout;
            let hangup = request.conn_data::<Hangup>().cloned();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = driver.run(out) => {}
                    () = Hangup::wait(hangup) => {}
                    // Dropping the driver truncates the caller's answer.
                    () = tokio::time::sleep(timeout) => {}
                }
                drop((slot, reservation));
            });
            answer(parts, streamed).await
        }
        Err(problem) => {
            app.record_early_problem(&problem);
            problem.response()
        }
    }
}

async fn prepare(
    app: &App,
    request: &HttpRequest,
    payload: Payload,
    endpoint: Endpoint,
) -> Result<(RequestDriver, Reservation, bool), Problem> {
    let arrived = app.control.now();
    let snapshot = app.ready_snapshot()?;
    let caller = Caller::identify(request.headers(), &snapshot, &app.limits)?;
    let body::Body { bytes, reservation } = body::read(request, payload, app).await?;
    let body: Value = serde_json::from_slice(&bytes)
        .map_err(|e| Problem::before_send(Code::InvalidJson, format!("the request body is not valid JSON: {e}")))?;
    let model = model_of(&body, &snapshot)?;
    let prompt = prompt_of(&body, endpoint)?;
    let resumable = resumable(&snapshot, &model);
    let streamed = body["stream"].as_bool().unwrap_or(false);
    let tokens = expected_tokens(&body);
    let call = Call {
        endpoint,
        body,
        id: app.answer_id(),
        priority: caller.class.rank,
        repeatable: caller.repeatable,
        delivered: Delivered::default(),
    };
    let driver = RequestDriver {
        control: std::sync::Arc::clone(&app.control),
        engine: std::rc::Rc::clone(&app.engine),
        limits: std::sync::Arc::clone(&app.limits),
        caller,
        call,
        model,
        tokens,
        prefix: prefix_of(&prompt),
        resumable,
        arrived,
    };
    Ok((driver, reservation, streamed))
}

fn model_of(body: &Value, snapshot: &Snapshot) -> Result<String, Problem> {
    let Some(model) = body["model"].as_str() else {
        return Err(Problem::before_send(Code::InvalidRequest, "the field 'model' is missing or not a string"));
    };
    if !snapshot.catalog.models().contains(&model) {
        return Err(Problem::before_send(Code::NotFound, format!("no upstream serves the model '{model}'")));
    }
    Ok(model.to_owned())
}

fn prompt_of(body: &Value, endpoint: Endpoint) -> Result<String, Problem> {
    let (field, fits) = match endpoint {
        Endpoint::Chat => ("messages", body["messages"].as_array().is_some_and(|m| !m.is_empty())),
        Endpoint::Text => ("prompt", body["prompt"].is_string() || body["prompt"].is_array()),
    };
    if !fits {
        return Err(Problem::before_send(
            Code::InvalidRequest,
            format!("the field '{field}' is missing or of the wrong type"),
        ));
    }
    Ok(body[field].to_string())
}

fn prefix_of(prompt: &str) -> u32 {
    if prompt.len() < PREFIX_BYTES {
        return 0;
    }
    let digest = Digest::of(&prompt.as_bytes()[..PREFIX_BYTES]);
    u32::from_le_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]])
}

fn expected_tokens(body: &Value) -> u32 {
    let bound = body["max_completion_tokens"].as_u64().or_else(|| body["max_tokens"].as_u64());
    bound.map_or(DEFAULT_EXPECTED_TOKENS, |n| n.clamp(1, MAX_EXPECTED_TOKENS) as u32)
}

/// Returns true if every engine of the model can resume an answer of another one.
fn resumable(snapshot: &Snapshot, model: &str) -> bool {
    let pools = snapshot.catalog.pools.iter().filter(|(pool, _)| pool.serves == model);
    pools.flat_map(|(_, servers)| servers).all(|u| u.kind == UpstreamKind::Engine && u.resume)
}

async fn answer(mut parts: mpsc::Receiver<AnswerPart>, streamed: bool) -> HttpResponse {
    let first = match parts.recv().await {
        Some(Ok(event)) => event,
        Some(Err(problem)) => return problem.response(),
        None => return truncated().response(),
    };
    if streamed {
        let stream = futures_util::stream::unfold(Some((Some(first), parts)), next_part);
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-cache"))
            .streaming(stream);
    }
    let mut answer = AnswerAssembler::default();
    let mut event = first;
    while !upstream::EventSplitter::is_done(&event) {
        answer.push(&event);
        event = match parts.recv().await {
            Some(Ok(next)) => next,
            Some(Err(problem)) => return problem.response(),
            None => return truncated().response(),
        };
    }
    HttpResponse::Ok().json(answer.finish())
}

/// Returns the problem for a driver task that ended without a result. The answer is never complete in that case.
fn truncated() -> Problem {
    Problem::after_send(
        Code::UpstreamFailed,
        "the request was aborted before its answer was complete",
        policy::Ran::Unknown,
    )
}

type StreamState = Option<(Option<Bytes>, mpsc::Receiver<AnswerPart>)>;

/// Returns the next bytes of a streamed answer.
///
/// A problem is sent as an event and followed by an error that aborts the connection, so that the answer can't be taken
/// for a complete one.
async fn next_part(state: StreamState) -> Option<(Result<Bytes, std::io::Error>, StreamState)> {
    let truncated = || std::io::Error::other("answer truncated");
    let (first, mut parts) = state?;
    if let Some(first) = first {
        return Some((Ok(first), Some((None, parts))));
    }
    match parts.recv().await {
        Some(Ok(event)) => {
            let done = upstream::EventSplitter::is_done(&event);
            Some((Ok(event), (!done).then_some((None, parts))))
        }
        Some(Err(problem)) => {
            // With the channel closed, the next call returns an error and aborts the connection.
            parts.close();
            Some((Ok(Bytes::from(problem.event())), Some((None, parts))))
        }
        None => Some((Err(truncated()), None)),
    }
}

impl App {
    /// Counts a request that ended before it was handed to a driver.
    fn record_early_problem(&self, problem: &Problem) {
        let outcome = problem.outcome();
        debug_assert_ne!(outcome, Outcome::Complete);
        let labels = [("class", "none".to_owned()), ("outcome", outcome.as_str().to_owned())];
        metrics::counter!("cleatshelf_requests_total", &labels).increment(1);
        metrics::counter!("cleatshelf_problems_total", "code" => problem.code.as_str()).increment(1);
    }
}
