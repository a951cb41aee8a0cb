//! Stand-in for the platform: a read-only configuration service with watches, and a delayed member list.

use crate::StandInServer;
use actix_web::web::{self, Data, Path, Query, ServiceConfig};
use actix_web::HttpResponse;
use catalog::Release;
use fleet::Peer;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

#[derive(Default)]
struct State {
    values: HashMap<String, (u64, Vec<u8>)>,
    /// Frozen values of a stale replica.
    stale: Option<HashMap<String, (u64, Vec<u8>)>>,
    boxes: Vec<(Peer, bool)>,
    upstreams: Vec<(String, bool)>,
    revision: u64,
    /// Member lists with the times from which they are served.
    lists: Vec<(Instant, Value)>,
}

struct Inner {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    lag_ms: u64,
    calls: AtomicU64,
    watching: AtomicU64,
}

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    serving: Arc<StandInServer>,
}

#[derive(Deserialize)]
struct Wait {
    since: u64,
    wait_ms: u64,
}

impl Platform {
    /// Starts a platform whose member list is delayed by `lag_ms`.
    #[must_use]
    pub fn start(lag_ms: u64) -> Self {
        let inner = Arc::new(Inner {
            state: Mutex::new(State::default()),
            changed: watch::channel(0).0,
            lag_ms,
            calls: AtomicU64::new(0),
            watching: AtomicU64::new(0),
        });
        let serving = Arc::new(StandInServer::start(routes(&inner)));
        Self { inner, serving }
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.serving.address
    }

    /// Publishes a release as the operators' tools do: first the parts, then the manifest.
    pub fn publish(&self, release: &Release) {
        for (digest, bytes) in &release.parts {
            self.put(&format!("part/{digest}"), bytes.clone());
        }
        self.put("manifest", release.text.clone().into_bytes());
    }

    /// Stores one value.
    pub fn put(&self, key: &str, bytes: Vec<u8>) {
        let mut state = self.inner.state.lock().expect("no thread died");
        let known = state.values.get(key);
        if key != "manifest" && known.is_some_and(|(_, old)| *old == bytes) {
            return;
        }
        let revision = known.map_or(1, |(revision, _)| revision + 1);
        state.values.insert(key.to_owned(), (revision, bytes));
        drop(state);
        self.inner.changed.send_modify(|n| *n += 1);
    }

    /// Serves frozen values like a stale replica, or current ones again.
    pub fn set_stale(&self, stale: bool) {
        let mut state = self.inner.state.lock().expect("no thread died");
        state.stale = stale.then(|| state.values.clone());
    }

    /// Closes every connection abruptly and refuses new ones.
    pub fn stop(&self) {
        self.serving.stop();
    }

    /// Accepts connections again after a stop.
    pub fn restart(&self) {
        self.serving.restart(routes(&self.inner));
    }

    /// Sets the member list, which is served after the configured delay.
    pub fn set_members(&self, boxes: &[(Peer, bool)], upstreams: &[(String, bool)]) {
        let mut state = self.inner.state.lock().expect("no thread died");
        state.boxes = boxes.to_vec();
        state.upstreams = upstreams.to_vec();
        state.revision += 1;
        let boxes: Vec<Value> = boxes
            .iter()
            .map(|(p, leaving)| json!({"name": p.name, "hall": p.hall, "address": p.address, "leaving": leaving}))
            .collect();
        let upstreams: Vec<Value> =
            upstreams.iter().map(|(name, leaving)| json!({"name": name, "leaving": leaving})).collect();
        let list = json!({"revision": state.revision, "boxes": boxes, "upstreams": upstreams});
        let at = Instant::now() + Duration::from_millis(self.inner.lag_ms);
        state.lists.push((at, list));
    }

    /// Returns the number of calls so far; a watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of open watches.
    #[must_use]
    pub fn open_watches(&self) -> u64 {
        self.inner.watching.load(Ordering::Relaxed)
    }
}

fn routes(inner: &Arc<Inner>) -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let inner = Arc::clone(inner);
    move |config: &mut ServiceConfig| {
        config
            .app_data(Data::from(Arc::clone(&inner)))
            .route("/v1/values/{key:.*}", web::get().to(value))
            .route("/v1/watch/{key:.*}", web::get().to(wait))
            .route("/v1/members", web::get().to(members));
    }
}

fn read(inner: &Inner, key: &str) -> Option<(u64, Vec<u8>)> {
    let state = inner.state.lock().expect("no thread died");
    state.stale.as_ref().unwrap_or(&state.values).get(key).cloned()
}

fn shown(found: Option<(u64, Vec<u8>)>) -> HttpResponse {
    match found {
        Some((revision, bytes)) => HttpResponse::Ok().insert_header(("revision", revision.to_string())).body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn value(inner: Data<Inner>, key: Path<String>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    shown(read(&inner, &key))
}

struct Watching<'a>(&'a AtomicU64);

impl Drop for Watching<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn wait(inner: Data<Inner>, key: Path<String>, wait: Query<Wait>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    inner.watching.fetch_add(1, Ordering::Relaxed);
    let _watching = Watching(&inner.watching);
    let mut changed = inner.changed.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait.wait_ms);
    loop {
        let found = read(&inner, &key).filter(|(revision, _)| *revision > wait.since);
        if found.is_some() {
            return shown(found);
        }
        if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
            return HttpResponse::NoContent().finish();
        }
    }
}

async fn members(inner: Data<Inner>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    let state = inner.state.lock().expect("no thread died");
    let now = Instant::now();
    let list = state.lists.iter().rev().find(|(at, _)| *at <= now).map(|(_, list)| list.clone());
    HttpResponse::Ok().json(list.unwrap_or_else(|| json!({"revision": 0})))
}
