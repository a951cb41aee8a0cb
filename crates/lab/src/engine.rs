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
const CACHE_MOST: usize = 16;

/// Length of the prompt prefix that is cached.
const PREFIX: usize = 1_024;

/// Share of the prefill time that a cached prefix saves.
const CACHED_SAVES: u64 = 70;

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
    next: u64,
    cache: VecDeque<Vec<u8>>,
    runs: HashMap<String, PromptRuns>,
    reports: VecDeque<(Instant, u32, u32)>,
}

struct Inner {
    spec: EngineSpec,
    batch: Mutex<Batch>,
    /// Time per token in percent of the configured one.
    slowness: AtomicU32,
    frozen: AtomicBool,
    leaving: AtomicBool,
    /// Incremented by each crash; streams of an earlier instance fail.
    life: AtomicU64,
    tokens: AtomicU64,
}

/// A running stand-in for a model engine.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
    serving: Arc<StandInServer>,
}

/// A slot in the batch, released when dropped.
struct Slot(Arc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut batch = self.0.batch.lock().expect("no thread died");
        batch.running -= 1;
        // The waiting request may have been cancelled; then the next one gets the slot.
        while let Some((_, call)) = batch.waiting.pop_first() {
            if call.send(()).is_ok() {
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
            next: 0,
            cache: VecDeque::new(),
            runs: HashMap::new(),
            reports: VecDeque::new(),
        };
        let inner = Arc::new(Inner {
            spec,
            batch: Mutex::new(batch),
            slowness: AtomicU32::new(100),
            frozen: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            life: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
        });
        let serving = Arc::new(StandInServer::start(routes(&inner)));
        Self { inner, serving }
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.serving.address
    }

    /// Returns the engine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.spec.name
    }

    /// Sets the time per token, in percent of the configured one.
    pub fn set_token_time_percent(&self, percent: u32) {
        self.inner.slowness.store(percent, Ordering::Relaxed);
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
        self.inner.life.fetch_add(1, Ordering::Relaxed);
        self.serving.stop();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.serving.restart(routes(&self.inner));
    }

    /// Returns the counts for the prompt `text`.
    #[must_use]
    pub fn runs_of(&self, text: &str) -> PromptRuns {
        self.inner.batch.lock().expect("no thread died").runs.get(text).copied().unwrap_or_default()
    }

    /// Returns the number of tokens generated so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.inner.tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of starts from the first token so far, over all prompts.
    #[must_use]
    pub fn starts(&self) -> u64 {
        let batch = self.inner.batch.lock().expect("no thread died");
        batch.runs.values().map(|run| u64::from(run.starts)).sum()
    }

    /// Returns the number of requests in the batch.
    #[must_use]
    pub fn running_requests(&self) -> u32 {
        self.inner.batch.lock().expect("no thread died").running
    }

    /// Returns the highest number of starts of any one prompt.
    #[must_use]
    pub fn max_starts(&self) -> u32 {
        let batch = self.inner.batch.lock().expect("no thread died");
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
    let mut batch = inner.batch.lock().expect("no thread died");
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
fn text_of(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|m| m.last()).and_then(|m| m["content"].as_str());
    chat.or_else(|| body["prompt"].as_str()).unwrap_or_default().to_owned()
}

async fn complete(inner: Data<Inner>, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    let inner = inner.into_inner();
    let text = text_of(&body);
    let most = body["max_tokens"].as_u64().unwrap_or(64) as u32;
    let resume = body["resume"]["tokens"].as_u64().unwrap_or(0) as usize;
    let tokens = answer_tokens(&text, most);
    let known: String = tokens.iter().take(resume).map(String::as_str).collect();
    if resume > 0 && body["resume"]["text"].as_str() != Some(&known) {
        return HttpResponse::BadRequest().json(json!({"error": {"message": "resume doesn't fit"}}));
    }
    let shape = Shape {
        chat: request.path().contains("chat"),
        id: body["request_id"].as_str().unwrap_or("cmpl").to_owned(),
        model: body["model"].as_str().unwrap_or_default().to_owned(),
    };
    let life = inner.life.load(Ordering::Relaxed);
    let slot = take_slot(&inner, body["priority"].as_u64().unwrap_or(255) as u8).await;
    begin(&inner, &text, resume);
    prefill(&inner, &text).await;
    let state = Generation { inner, slot, life, text, tokens, at: resume, shape };
    let stream = futures_util::stream::unfold(Some(state), next_event);
    HttpResponse::Ok().content_type("text/event-stream").streaming(stream)
}

async fn take_slot(inner: &Arc<Inner>, priority: u8) -> Slot {
    let wait = {
        let mut batch = inner.batch.lock().expect("no thread died");
        if batch.running < inner.spec.slots {
            batch.running += 1;
            None
        } else {
            let (call, called) = oneshot::channel();
            let number = batch.next;
            batch.next += 1;
            batch.waiting.insert((priority, number), call);
            Some(called)
        }
    };
    if let Some(called) = wait {
        // The sender stays in the queue until the slot is granted, so this can't fail.
        let _ = called.await;
    }
    Slot(Arc::clone(inner))
}

fn begin(inner: &Inner, text: &str, resume: usize) {
    let mut batch = inner.batch.lock().expect("no thread died");
    let run = batch.runs.entry(text.to_owned()).or_default();
    if resume == 0 {
        run.starts += 1;
    } else {
        run.resumes += 1;
    }
}

async fn prefill(inner: &Inner, text: &str) {
    let beginning = text.as_bytes()[..text.len().min(PREFIX)].to_vec();
    let cached = {
        let mut batch = inner.batch.lock().expect("no thread died");
        let cached = batch.cache.contains(&beginning);
        if !cached {
            batch.cache.push_back(beginning);
        }
        if batch.cache.len() > CACHE_MOST {
            batch.cache.pop_front();
        }
        cached
    };
    let full = inner.spec.prefill_ms;
    let ms = if cached { full * (100 - CACHED_SAVES) / 100 } else { full };
    pause(inner, ms).await;
}

/// Waits for `ms` scaled by the engine's slowness, and then until the engine is not frozen.
async fn pause(inner: &Inner, ms: u64) {
    let percent = u64::from(inner.slowness.load(Ordering::Relaxed));
    tokio::time::sleep(Duration::from_millis(ms * percent / 100)).await;
    while inner.frozen.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

struct Shape {
    chat: bool,
    id: String,
    model: String,
}

impl Shape {
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
    life: u64,
    text: String,
    tokens: Vec<String>,
    at: usize,
    shape: Shape,
}

async fn next_event(state: Option<Generation>) -> Option<(Result<Bytes, std::io::Error>, Option<Generation>)> {
    let mut state = state?;
    pause(&state.inner, state.inner.spec.token_ms).await;
    if state.inner.life.load(Ordering::Relaxed) != state.life {
        drop(state.slot);
        return Some((Err(std::io::Error::other("crashed")), None));
    }
    if state.at < state.tokens.len() {
        let event = state.shape.event(&state.tokens[state.at], None);
        state.at += 1;
        state.inner.tokens.fetch_add(1, Ordering::Relaxed);
        state.count(|run| run.tokens += 1);
        return Some((Ok(Bytes::from(event)), Some(state)));
    }
    state.count(|run| run.completed += 1);
    let last = format!("{}data: [DONE]\n\n", state.shape.event("", Some("stop")));
    Some((Ok(Bytes::from(last)), None))
}

impl Generation {
    fn count(&self, change: impl FnOnce(&mut PromptRuns)) {
        let mut batch = self.inner.batch.lock().expect("no thread died");
        change(batch.runs.entry(self.text.clone()).or_default());
    }
}
