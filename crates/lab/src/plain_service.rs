//! Stand-in for a plain service that echoes each request and counts it.

use crate::StandInServer;
use actix_web::web::{self, Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

struct Inner {
    name: String,
    delay_ms: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
}

/// A running stand-in for a plain service.
#[derive(Clone)]
pub struct PlainService {
    inner: Arc<Inner>,
    server: Arc<StandInServer>,
}

impl PlainService {
    /// Starts a service on a loopback port that waits `delay_ms` before each answer.
    #[must_use]
    pub fn start(name: &str, delay_ms: u64) -> Self {
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            delay_ms: AtomicU64::new(delay_ms),
            runs: Mutex::new(HashMap::new()),
        });
        let server = Arc::new(StandInServer::start(routes(&inner)));
        Self { inner, server }
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Returns the service's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// Returns how often a request with this path and body ran.
    #[must_use]
    pub fn runs(&self, path: &str, body: &str) -> u32 {
        let runs = self.inner.runs.lock().expect("the lock is not poisoned");
        runs.get(&format!("{path}|{body}")).copied().unwrap_or(0)
    }

    /// Returns the total number of requests that ran.
    #[must_use]
    pub fn total_runs(&self) -> u32 {
        self.inner.runs.lock().expect("the lock is not poisoned").values().sum()
    }

    /// Sets the delay before each answer.
    pub fn set_delay_ms(&self, ms: u64) {
        self.inner.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Closes every connection abruptly and refuses new ones.
    pub fn crash(&self) {
        self.server.stop();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.server.restart(routes(&self.inner));
    }
}

fn routes(inner: &Arc<Inner>) -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let inner = Arc::clone(inner);
    move |config: &mut ServiceConfig| {
        config
            .app_data(Data::from(Arc::clone(&inner)))
            .app_data(web::PayloadConfig::new(16 << 20))
            .default_service(web::route().to(serve));
    }
}

async fn serve(inner: Data<Inner>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    *inner.runs.lock().expect("the lock is not poisoned").entry(format!("{}|{text}", request.path())).or_default() += 1;
    tokio::time::sleep(Duration::from_millis(inner.delay_ms.load(Ordering::Relaxed))).await;
    HttpResponse::Ok().body(format!("{} {} {text}", request.method(), request.path()))
}
