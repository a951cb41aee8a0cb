//! Stand-in for a model engine.

use crate::{answer_tokens, StandInServer};
use actix_web::web::{self, Bytes, Data, Json, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Prompt prefixes that the engine's cache holds.
const MAX_CACHED_PREFIXES: usize = 16;

/// Length of the prompt prefix that is cached.
const PREFIX_BYTES: usize = 1_024;

/// Share of the prefill time that a cached prefix saves.
const CACHED_SAVING_PERCENT: u64 = 70;

/// Configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The engine's name.
    pub name: String,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Milliseconds before the first token.
    pub prefill_ms: u64,
    /// Age of the load report in milliseconds.
    pub report_lag_ms: u64,
}

/// Counts of the engine's work for one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptRuns {
    /// Number of starts from the first token.
    pub starts: u32,
    /// Number of resumptions.
    pub resumes: u32,
    /// Number of answers sent completely.
    pub completed: u32,
    /// Number of generated tokens.
    pub tokens: u64,
}

struct Batch {
    running: u32,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    next_number: u64,
    cache: VecDeque<Vec<u8>>,
    runs: HashMap<String, PromptRuns>,
    reports: VecDeque<(Instant, u32, u32)>,
}

struct Inner {
    spec: EngineSpec,
    batch: Mutex<Batch>,
    /// Duration of prefill and of each token in percent of the configured one.
    slowness_percent: AtomicU32,
    frozen: AtomicBool,
    leaving: AtomicBool,
    /// Incremented by each crash; streams of an earlier instance fail.
    instance: AtomicU64,
    tokens: AtomicU64,
}

/// A running stand-in for a model engine.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
    server: Arc<StandInServer>,
}

/// A slot in the batch, released when dropped.
struct Slot(Arc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut batch = self.0.batch.lock().expect("the lock is not poisoned");
        batch.running -= 1;
        // The waiting request may have been cancelled; then the next one gets the slot.
        while let Some((_, grant)) = batch.waiting.pop_first() {
            if grant.send(()).is_ok() {
                batch.running += 1;
                break;
            }
        }
    }
}

impl Engine {
    /// Starts an engine on a loopback port.
    #[must_use]
    pub fn start(spec: EngineSpec) -> Self {
        let batch = Batch {
            running: 0,
            waiting: BTreeMap::new(),
            next_number: 0,
            cache: VecDeque::new(),
            runs: HashMap::new(),
            reports: VecDeque::new(),
        };
        let inner = Arc::new(Inner {
            spec,
            batch: Mutex::new(batch),
            slowness_percent: AtomicU32::new(100),
            frozen: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            instance: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
        });
        let server = Arc::new(StandInServer::start(routes(&inner)));
        Self { inner, server }
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Returns the engine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.spec.name
    }

    /// Sets the duration of prefill and of each token, in percent of the configured one.
    pub fn set_slowness_percent(&self, percent: u32) {
        self.inner.slowness_percent.store(percent, Ordering::Relaxed);
    }

    /// Pauses or resumes generation; connections stay open.
    pub fn set_frozen(&self, frozen: bool) {
        self.inner.frozen.store(frozen, Ordering::Relaxed);
    }

    /// Sets whether the load report marks the engine as leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.inner.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Closes every connection abruptly and refuses new ones.
    pub fn crash(&self) {
        self.inner.instance.fetch_add(1, Ordering::Relaxed);
        self.server.stop();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.server.restart(routes(&self.inner));
    }

    /// Returns the counts for the prompt `text`.
    #[must_use]
    pub fn runs_of(&self, text: &str) -> PromptRuns {
        self.inner.batch.lock().expect("the lock is not poisoned").runs.get(text).copied().unwrap_or_default()
    }

    /// Returns the number of tokens generated so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.inner.tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of starts from the first token so far, over all prompts.
    #[must_use]
    pub fn starts(&self) -> u64 {
        let batch = self.inner.batch.lock().expect("the lock is not poisoned");
        batch.runs.values().map(|run| u64::from(run.starts)).sum()
    }

    /// Returns the number of requests in the batch.
    #[must_use]
    pub fn running_requests(&self) -> u32 {
        self.inner.batch.lock().expect("the lock is not poisoned").running
    }

    /// Returns the highest number of starts of any one prompt.
    #[must_use]
    pub fn max_starts(&self) -> u32 {
        let batch = self.inner.batch.lock().expect("the lock is not poisoned");
        batch.runs.values().map(|run| run.starts).max().unwrap_or(0)
    }
}

fn routes(inner: &Arc<Inner>) -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let inner = Arc::clone(inner);
    move |config: &mut ServiceConfig| {
        config
            .app_data(Data::from(Arc::clone(&inner)))
            .app_data(web::JsonConfig::default().limit(16 << 20))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
            .route("/load", web::get().to(load));
    }
}

async fn load(inner: Data<Inner>) -> Json<Value> {
    let mut batch = inner.batch.lock().expect("the lock is not poisoned");
    let now = Instant::now();
    let present = (now, batch.running, batch.waiting.len() as u32);
    batch.reports.push_back(present);
    let lag = Duration::from_millis(inner.spec.report_lag_ms);
    while batch.reports.len() > 1 && now.duration_since(batch.reports[1].0) >= lag {
        batch.reports.pop_front();
    }
    let (_, running, waiting) = batch.reports.front().copied().unwrap_or(present);
    Json(json!({"running": running, "waiting": waiting, "slots": inner.spec.slots,
        "leaving": inner.leaving.load(Ordering::Relaxed)}))
}

/// Returns the text of the last chat message, or of the prompt.
fn prompt_text(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|m| m.last()).and_then(|m| m["content"].as_str());
    chat.or_else(|| body["prompt"].as_str()).unwrap_or_default().to_owned()
}

async fn complete(inner: Data<Inner>, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    let inner = inner.into_inner();
    let text = prompt_text(&body);
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(64) as u32;
    let resume = body["resume"]["tokens"].as_u64().unwrap_or(0) as usize;
    let tokens = answer_tokens(&text, max_tokens);
    let expected: String = tokens.iter().take(resume).map(String::as_str).collect();
    if resume > 0 && body["resume"]["text"].as_str() != Some(&expected) {
        return HttpResponse::BadRequest().json(json!({"error": {"message": "resume text does not match the answer"}}));
    }
    let format = ResponseFormat {
        chat: request.path().contains("chat"),
        id: body["request_id"].as_str().unwrap_or("cmpl").to_owned(),
        model: body["model"].as_str().unwrap_or_default().to_owned(),
    };
    let instance = inner.instance.load(Ordering::Relaxed);
    let slot = take_slot(&inner, body["priority"].as_u64().unwrap_or(255) as u8).await;
    record_start(&inner, &text, resume);
    prefill(&inner, &text).await;
    let state = Generation { inner, slot, instance, text, tokens, position: resume, format };
    let stream = futures_util::stream::unfold(Some(state), next_event);
    HttpResponse::Ok().content_type("text/event-stream").streaming(stream)
}

async fn take_slot(inner: &Arc<Inner>, priority: u8) -> Slot {
    let wait = {
        let mut batch = inner.batch.lock().expect("the lock is not poisoned");
        if batch.running < inner.spec.slots {
            batch.running += 1;
            None
        } else {
            let (grant, granted) = oneshot::channel();
            let number = batch.next_number;
            batch.next_number += 1;
            batch.waiting.insert((priority, number), grant);
            Some(granted)
        }
    };
    if let Some(granted) = wait {
        // The sender stays in the queue until the slot is granted, so this can't fail.
        let _ = granted.await;
    }
    Slot(Arc::clone(inner))
}

fn record_start(inner: &Inner, text: &str, resume: usize) {
    let mut batch = inner.batch.lock().expect("the lock is not poisoned");
    let run = batch.runs.entry(text.to_owned()).or_default();
    if resume == 0 {
        run.starts += 1;
    } else {
        run.resumes += 1;
    }
}

async fn prefill(inner: &Inner, text: &str) {
    let prefix = text.as_bytes()[..text.len().min(PREFIX_BYTES)].to_vec();
    let cached = {
        let mut batch = inner.batch.lock().expect("the lock is not poisoned");
        let cached = batch.cache.contains(&prefix);
        if !cached {
            batch.cache.push_back(prefix);
        }
        if batch.cache.len() > MAX_CACHED_PREFIXES {
            batch.cache.pop_front();
        }
        cached
    };
    let full_ms = inner.spec.prefill_ms;
    let ms = if cached { full_ms * (100 - CACHED_SAVING_PERCENT) / 100 } else { full_ms };
    generation_delay(inner, ms).await;
}

/// Waits for `ms` scaled by the engine's slowness, and then until the engine is not frozen.
async fn generation_delay(inner: &Inner, ms: u64) {
    let percent = u64::from(inner.slowness_percent.load(Ordering::Relaxed));
    tokio::time::sleep(Duration::from_millis(ms * percent / 100)).await;
    while inner.frozen.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

struct ResponseFormat {
    chat: bool,
    id: String,
    model: String,
}

impl ResponseFormat {
    fn event(&self, text: &str, finish: Option<&str>) -> String {
        let choice = if self.chat {
            let delta = if finish.is_some() { json!({}) } else { json!({"content": text}) };
            json!({"index": 0, "delta": delta, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish})
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let body = json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]});
        format!("data: {body}\n\n")
    }
}

struct Generation {
    inner: Arc<Inner>,
    slot: Slot,
    instance: u64,
    text: String,
    tokens: Vec<String>,
    position: usize,
    format: ResponseFormat,
}

async fn next_event(state: Option<Generation>) -> Option<(Result<Bytes, std::io::Error>, Option<Generation>)> {
    let mut state = state?;
    generation_delay(&state.inner, state.inner.spec.token_ms).await;
    if state.inner.instance.load(Ordering::Relaxed) != state.instance {
        drop(state.slot);
        return Some((Err(std::io::Error::other("crashed")), None));
    }
    if state.position < state.tokens.len() {
        let event = state.format.event(&state.tokens[state.position], None);
        state.position += 1;
        state.inner.tokens.fetch_add(1, Ordering::Relaxed);
        state.record(|run| run.tokens += 1);
        return Some((Ok(Bytes::from(event)), Some(state)));
    }
    state.record(|run| run.completed += 1);
    let last = format!("{}data: [DONE]\n\n", state.format.event("", Some("stop")));
    Some((Ok(Bytes::from(last)), None))
}

impl Generation {
    fn record(&self, change: impl FnOnce(&mut PromptRuns)) {
        let mut batch = self.inner.batch.lock().expect("the lock is not poisoned");
        change(batch.runs.entry(self.text.clone()).or_default());
    }
}
