//! Runs a box: threads, listeners and the planned stop.

use crate::control::{Parts, Stop};
use crate::control_handle::{ActorControlHandle, SharedSnapshot};
use crate::operators::{self, Operators};
use crate::{Control, Settings};
use actix::{Actor, Arbiter, Context};
use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use clock::{BootClock, Clock};
use eyre::WrapErr;
use gateway::Snapshot;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::{Event, PrometheusRecorder};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Maximum wait for a request's head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of connections of one traffic thread.
const MAX_CONNECTIONS: usize = 8_192;

/// Minimum duration of a planned stop, so that other boxes learn of it and take over.
const MIN_STOP_DURATION: Duration = Duration::from_millis(800);

/// Time during which, and interval at which, binding an address in use is retried at the start.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for connections to send the last bytes of finished requests.
const FLUSH_TIMEOUT_S: u64 = 5;

/// Runs a box until a signal stops it. Returns true if no request was aborted.
///
/// # Errors
/// If a listener can't be bound or the metrics can't be set up.
pub fn serve(settings: Settings) -> eyre::Result<bool> {
    actix::System::new().block_on(run(Arc::new(settings)))
}

async fn run(settings: Arc<Settings>) -> eyre::Result<bool> {
    let recorder = PrometheusRecorder::install()?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let snapshot = SharedSnapshot::new(std::sync::RwLock::new(Arc::new(Snapshot::default())));
    let running = Arc::new(AtomicUsize::new(0));
    let boxes = bind(settings.me.address)?;
    boxes.set_nonblocking(true)?;
    let parts = Parts {
        settings: Arc::clone(&settings),
        clock: Arc::clone(&clock),
        snapshot: Arc::clone(&snapshot),
        running: Arc::clone(&running),
        boxes,
    };
    let arbiter = Arbiter::new();
    let control = Control::start_in_arbiter(&arbiter.handle(), |context: &mut Context<Control>| {
        Control::start_in_context(parts, context)
    });
    let handle = Arc::new(ActorControlHandle { control: control.clone(), snapshot, clock });
    let callers = serve_callers(&settings, handle, Arc::clone(&running))?;
    let operators = serve_operators(&settings, Operators { control: control.clone(), recorder })?;
    let me = &settings.me;
    telemetry::emit(Event::BoxStarted, format_args!("name={} hall={} callers={}", me.name, me.hall, settings.callers));
    let clean = wait_for_stop(&settings, &control, &running).await?;
    callers.stop(clean).await;
    operators.stop(false).await;
    arbiter.stop();
    Ok(clean)
}

/// Binds an address. Retries while the address is in use, for example by a previous process that is just exiting.
fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let began = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(why) if why.kind() == ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT => {
                std::thread::sleep(BIND_RETRY_INTERVAL);
            }
            result => return result.wrap_err_with(|| format!("can't listen on {address}")),
        }
    }
}

fn serve_callers(
    settings: &Settings,
    control: Arc<ActorControlHandle>,
    running: Arc<AtomicUsize>,
) -> eyre::Result<ServerHandle> {
    let limits = Arc::new(settings.limits.clone());
    let body_memory = memory::Budget::new(limits.max_buffered_bytes, gateway::SMALL_BODY_BYTES);
    let next_answer = Arc::new(AtomicU64::new(1));
    let name: Arc<str> = settings.me.name.as_str().into();
    let make = move || {
        let http = Rc::new(upstream::HttpClient::default());
        let app = gateway::App {
            control: Arc::<ActorControlHandle>::clone(&control),
            engine: Rc::<upstream::HttpClient>::clone(&http),
            plain: http,
            limits: Arc::clone(&limits),
            body_memory: Arc::clone(&body_memory),
            name: Arc::clone(&name),
            running: Arc::clone(&running),
            next_answer: Arc::clone(&next_answer),
        };
        App::new().app_data(Data::new(app)).configure(gateway::configure)
    };
    let server = HttpServer::new(make)
        .on_connect(|connection, data| {
            if let Some(hangup) = gateway::Hangup::of(connection) {
                data.insert(hangup);
            }
        })
        .workers(settings.traffic_threads)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .max_connections(MAX_CONNECTIONS)
        .shutdown_timeout(FLUSH_TIMEOUT_S)
        .disable_signals()
        .listen(bind(settings.callers)?)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn serve_operators(settings: &Settings, shared: Operators) -> eyre::Result<ServerHandle> {
    let make = move || App::new().app_data(Data::new(shared.clone())).configure(operators::configure);
    let server = HttpServer::new(make).workers(1).disable_signals().listen(bind(settings.operators)?)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, then for running requests. Returns true if no request was aborted.
async fn wait_for_stop(
    settings: &Settings,
    control: &actix::Addr<Control>,
    running: &AtomicUsize,
) -> eyre::Result<bool> {
    let mut signals =
        Signals { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? };
    signals.next().await;
    control.do_send(Stop);
    let began = Instant::now();
    loop {
        let remaining = running.load(Ordering::Relaxed);
        if remaining == 0 && began.elapsed() >= MIN_STOP_DURATION {
            telemetry::emit(Event::StopClean, format_args!("ms={}", began.elapsed().as_millis()));
            return Ok(true);
        }
        let second_signal = tokio::select! {
            () = signals.next() => true,
            () = tokio::time::sleep(Duration::from_millis(20)) => false,
        };
        if second_signal || began.elapsed() >= settings.stop_timeout {
            let why = if second_signal { "second signal" } else { "time limit" };
            telemetry::emit(Event::StopCut, format_args!("cut={remaining} why=\"{why}\""));
            return Ok(remaining == 0);
        }
    }
}
