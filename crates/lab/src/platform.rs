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
    stale_values: Option<HashMap<String, (u64, Vec<u8>)>>,
    boxes: Vec<(Peer, bool)>,
    upstreams: Vec<(String, bool)>,
    revision: u64,
    /// Member lists with the times from which they are served.
    member_lists: Vec<(Instant, Value)>,
}

struct Inner {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    member_list_lag_ms: u64,
    calls: AtomicU64,
    open_watches: AtomicU64,
}

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    server: Arc<StandInServer>,
}

#[derive(Deserialize)]
struct WatchQuery {
    since: u64,
    wait_ms: u64,
}

impl Platform {
    /// Starts a platform whose member list is delayed by `member_list_lag_ms`.
    #[must_use]
    pub fn start(member_list_lag_ms: u64) -> Self {
        let inner = Arc::new(Inner {
            state: Mutex::new(State::default()),
            changed: watch::channel(0).0,
            member_list_lag_ms,
            calls: AtomicU64::new(0),
            open_watches: AtomicU64::new(0),
        });
        let server = Arc::new(StandInServer::start(routes(&inner)));
        Self { inner, server }
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
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
        let mut state = self.inner.state.lock().expect("the lock is not poisoned");
        let current = state.values.get(key);
        if key != "manifest" && current.is_some_and(|(_, old)| *old == bytes) {
            return;
        }
        let revision = current.map_or(1, |(revision, _)| revision + 1);
        state.values.insert(key.to_owned(), (revision, bytes));
        drop(state);
        self.inner.changed.send_modify(|n| *n += 1);
    }

    /// Serves frozen values like a stale replica, or current ones again.
    pub fn set_stale(&self, stale: bool) {
        let mut state = self.inner.state.lock().expect("the lock is not poisoned");
        state.stale_values = stale.then(|| state.values.clone());
    }

    /// Closes every connection abruptly and refuses new ones.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Accepts connections again after a stop.
    pub fn restart(&self) {
        self.server.restart(routes(&self.inner));
    }

    /// Sets the member list, which is served after the configured delay.
    pub fn set_members(&self, boxes: &[(Peer, bool)], upstreams: &[(String, bool)]) {
        let mut state = self.inner.state.lock().expect("the lock is not poisoned");
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
        let at = Instant::now() + Duration::from_millis(self.inner.member_list_lag_ms);
        state.member_lists.push((at, list));
    }

    /// Returns the number of calls so far; a watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of open watches.
    #[must_use]
    pub fn open_watches(&self) -> u64 {
        self.inner.open_watches.load(Ordering::Relaxed)
    }
}

fn routes(inner: &Arc<Inner>) -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let inner = Arc::clone(inner);
    move |config: &mut ServiceConfig| {
        config
            .app_data(Data::from(Arc::clone(&inner)))
            .route("/v1/values/{key:.*}", web::get().to(get_value))
            .route("/v1/watch/{key:.*}", web::get().to(watch_value))
            .route("/v1/members", web::get().to(get_members));
    }
}

fn read_value(inner: &Inner, key: &str) -> Option<(u64, Vec<u8>)> {
    let state = inner.state.lock().expect("the lock is not poisoned");
    state.stale_values.as_ref().unwrap_or(&state.values).get(key).cloned()
}

fn value_response(found: Option<(u64, Vec<u8>)>) -> HttpResponse {
    match found {
        Some((revision, bytes)) => HttpResponse::Ok().insert_header(("revision", revision.to_string())).body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_value(inner: Data<Inner>, key: Path<String>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    value_response(read_value(&inner, &key))
}

struct OpenWatch<'a>(&'a AtomicU64);

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn watch_value(inner: Data<Inner>, key: Path<String>, query: Query<WatchQuery>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    inner.open_watches.fetch_add(1, Ordering::Relaxed);
    let _open_watch = OpenWatch(&inner.open_watches);
    let mut changed = inner.changed.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let found = read_value(&inner, &key).filter(|(revision, _)| *revision > query.since);
        if found.is_some() {
            return value_response(found);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return HttpResponse::NoContent().finish();
        }
    }
}

async fn get_members(inner: Data<Inner>) -> HttpResponse {
    inner.calls.fetch_add(1, Ordering::Relaxed);
    let state = inner.state.lock().expect("the lock is not poisoned");
    let now = Instant::now();
    let list = state.member_lists.iter().rev().find(|(at, _)| *at <= now).map(|(_, list)| list.clone());
    HttpResponse::Ok().json(list.unwrap_or_else(|| json!({"revision": 0})))
}
