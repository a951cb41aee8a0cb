//! Runs one box: threads, listeners and the planned stop.

use crate::control::{Parts, Stop};
use crate::desk::{ControlDesk, Shared};
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

/// Longest wait for a request's head.
const HEAD_MOST: Duration = Duration::from_secs(5);

/// How long an idle caller's connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Most connections of one traffic thread.
const CONNECTIONS_MOST: usize = 8_192;

/// Shortest planned stop, so that other boxes hear of it and take over.
const STOP_LEAST: Duration = Duration::from_millis(800);

/// How long, and how often, an address in use is tried again at the start.
const BIND_MOST: Duration = Duration::from_secs(3);
const BIND_AGAIN: Duration = Duration::from_millis(50);

/// How long connections get to pass on the last bytes of finished requests.
const FLUSH_SECONDS: u64 = 5;

/// Runs a box until it is told to stop. True says that nothing was cut off.
///
/// # Errors
/// When a listener can't be bound or the metrics can't be set up.
pub fn serve(settings: Settings) -> eyre::Result<bool> {
    actix::System::new().block_on(run(Arc::new(settings)))
}

async fn run(settings: Arc<Settings>) -> eyre::Result<bool> {
    let scrape = PrometheusRecorder::install()?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let shared = Shared::new(std::sync::RwLock::new(Arc::new(Snapshot::default())));
    let running = Arc::new(AtomicUsize::new(0));
    let boxes = bind(settings.me.address)?;
    boxes.set_nonblocking(true)?;
    let parts = Parts {
        settings: Arc::clone(&settings),
        clock: Arc::clone(&clock),
        shared: Arc::clone(&shared),
        running: Arc::clone(&running),
        boxes,
    };
    let arbiter = Arbiter::new();
    let control = Control::start_in_arbiter(&arbiter.handle(), |context: &mut Context<Control>| {
        Control::start_here(parts, context)
    });
    let desk = Arc::new(ControlDesk { control: control.clone(), shared, clock });
    let callers = callers(&settings, desk, Arc::clone(&running))?;
    let operators = operators(&settings, Operators { control: control.clone(), scrape })?;
    let me = &settings.me;
    telemetry::emit(Event::BoxStarted, format_args!("name={} hall={} callers={}", me.name, me.hall, settings.callers));
    let clean = wait_for_stop(&settings, &control, &running).await?;
    callers.stop(clean).await;
    operators.stop(false).await;
    arbiter.stop();
    Ok(clean)
}

/// Binds an address; one that is still in use, as by a former process that is just ending, is tried again.
fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let began = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(why) if why.kind() == ErrorKind::AddrInUse && began.elapsed() < BIND_MOST => {
                std::thread::sleep(BIND_AGAIN);
            }
            bound => return bound.wrap_err_with(|| format!("can't listen on {address}")),
        }
    }
}

fn callers(settings: &Settings, desk: Arc<ControlDesk>, running: Arc<AtomicUsize>) -> eyre::Result<ServerHandle> {
    let limits = Arc::new(settings.limits.clone());
    let numbers = Arc::new(AtomicU64::new(1));
    let name: Arc<str> = settings.me.name.as_str().into();
    let make = move || {
        let http = Rc::new(upstream::HttpClient::default());
        let app = gateway::App {
            control: Arc::<ControlDesk>::clone(&desk),
            engine: Rc::<upstream::HttpClient>::clone(&http),
            plain: http,
            limits: Arc::clone(&limits),
            name: Arc::clone(&name),
            running: Arc::clone(&running),
            next_answer: Arc::clone(&numbers),
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
        .client_request_timeout(HEAD_MOST)
        .keep_alive(KEEP_ALIVE)
        .max_connections(CONNECTIONS_MOST)
        .shutdown_timeout(FLUSH_SECONDS)
        .disable_signals()
        .listen(bind(settings.callers)?)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn operators(settings: &Settings, shared: Operators) -> eyre::Result<ServerHandle> {
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

/// Waits for a signal, then for running requests. True says that nothing was cut off.
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
        let left = running.load(Ordering::Relaxed);
        if left == 0 && began.elapsed() >= STOP_LEAST {
            telemetry::emit(Event::StopClean, format_args!("ms={}", began.elapsed().as_millis()));
            return Ok(true);
        }
        let again = tokio::select! {
            () = signals.next() => true,
            () = tokio::time::sleep(Duration::from_millis(20)) => false,
        };
        if again || began.elapsed() >= settings.stop_time {
            let why = if again { "second signal" } else { "time limit" };
            telemetry::emit(Event::StopCut, format_args!("cut={left} why=\"{why}\""));
            return Ok(left == 0);
        }
    }
}
