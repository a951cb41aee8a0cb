//! Runs a router box: threads, listeners, signals, the planned stop.

use super::advice::{Advice, Desk, Message, To};
use super::follow::{Follower, Troubles};
use super::knowledge::Knowledge;
use super::operators::Operators;
use super::peering::{Parts, Peering};
use super::reload::Reloader;
use super::Settings;
use clock::Clock;
use eyre::WrapErr;
use peers::{Peers, Profile, WatchRole};
use placement::{Placement, RetryBudget};
use relay::{Frontend, ReadinessServer, Shared};
use routing::{rank, Publisher, Subject};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::{Event, JsonLogger, PrometheusRecorder};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// Descriptors that are left for servers, the platform, boxes and files; callers may take the rest.
const FILES_KEPT: usize = 1_024;

/// How much earlier than the platform's kill a planned stop ends.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Runs a router with the settings of the file at `path` until it is told to stop. True says that nothing was cut off.
///
/// # Errors
/// When a listener can't be bound.
pub fn serve(settings: Settings, path: PathBuf, logger: JsonLogger, clock: Arc<dyn Clock>) -> eyre::Result<bool> {
    actix::System::new().block_on(run(settings, path, logger, clock))
}

async fn run(settings: Settings, path: PathBuf, logger: JsonLogger, clock: Arc<dyn Clock>) -> eyre::Result<bool> {
    let recorder = PrometheusRecorder::install()?;
    let window = settings.retry_window.as_millis() as u64;
    let budget = RetryBudget::new(settings.retry_ratio, settings.retry_slack, window);
    let placement = Placement::new(&settings.hall, budget)
        .with_allowance(settings.cold)
        .with_regions(settings.regions.clone())
        .with_seed(rand::random());
    let (advice, sent) = Advice::new(settings.boxes, Arc::clone(&clock));
    let desk = Desk(Arc::clone(&advice));
    let shared = Shared::new(relay::Dependencies {
        header_codec: Box::new(platform::Headers),
        peer_client: Box::new(desk),
        placement,
        secret: rank(0, &settings.link_key),
        clock,
    });
    let (stop, stopped) = watch::channel(false);
    let (done, mut front_done) = watch::channel(false);
    let traffic = actix::Arbiter::new();
    start_traffic(&settings, &shared, &traffic, stopped, done)?;
    let (peering, knowledge) = start_control(&settings, &shared, advice, sent)?;
    let operators = Operators { recorder, shared: Arc::clone(&shared), knowledge, logger };
    actix_rt::spawn(operators.run(tokio(bind(settings.operators)?)?));
    let hangup = Rc::new(tokio::sync::Notify::new());
    let reload = Reloader { path, settings: settings.clone(), peering: Rc::clone(&peering) };
    actix_rt::spawn(reload.run(Rc::clone(&hangup)));
    telemetry::emit(Event::BoxStarted, format_args!("name={} hall={}", settings.name, settings.hall));
    wait_for_stop(&hangup).await?;
    telemetry::emit(Event::StopBegun, format_args!("running={}", shared.running.load(Ordering::Relaxed)));
    shared.begin_stop();
    peering.leave();
    let began = Instant::now();
    // The front holds the other end until it is done.
    let _ = stop.send(true);
    let most = settings.stop_timeout.saturating_sub(STOP_MARGIN);
    let clean = tokio::time::timeout(most, front_done.wait_for(|done| *done)).await.is_ok();
    let (event, cut) =
        if clean { (Event::StopClean, 0) } else { (Event::StopCut, shared.running.load(Ordering::Relaxed)) };
    telemetry::emit(event, format_args!("ms={} cut={cut}", began.elapsed().as_millis()));
    traffic.stop();
    Ok(clean)
}

fn start_traffic(
    settings: &Settings,
    shared: &Arc<Shared>,
    traffic: &actix::Arbiter,
    stopped: watch::Receiver<bool>,
    done: watch::Sender<bool>,
) -> eyre::Result<()> {
    let callers = bind(settings.callers)?;
    let ready = bind(settings.ready)?;
    let connections_most = settings.max_files.saturating_sub(FILES_KEPT).max(FILES_KEPT / 4);
    let shared = Arc::clone(shared);
    traffic.spawn_fn(move || {
        let (Ok(callers), Ok(ready)) = (tokio(callers), tokio(ready)) else {
            telemetry::emit(Event::StartFailed, format_args!("why=\"listeners\""));
            return;
        };
        let balancer = ReadinessServer { shared: Arc::clone(&shared), path: platform::READY_PATH.to_owned() };
        actix_rt::spawn(balancer.run(ready));
        let front = Frontend::new(shared, connections_most);
        actix_rt::spawn(async move {
            front.run(callers, stopped).await;
            // Nobody waits any more when the stop's time is over.
            let _ = done.send(true);
        });
    });
    Ok(())
}

fn tokio(listener: TcpListener) -> std::io::Result<tokio::net::TcpListener> {
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("can't listen on {address}"))
}

fn start_control(
    settings: &Settings,
    shared: &Arc<Shared>,
    advice: Arc<Advice>,
    sent: mpsc::Receiver<(To, Message)>,
) -> eyre::Result<(Rc<Peering>, Rc<Knowledge>)> {
    let publisher: Rc<dyn Publisher> = Rc::new(platform::Store::new(settings.publisher));
    let knowledge = Rc::new(Knowledge::new(Arc::clone(shared), Rc::clone(&publisher)));
    let troubles = Rc::new(Troubles::default());
    let (watching, _) = watch::channel(WatchRole::Off);
    for subject in [Subject::Orders, Subject::Directory] {
        let follower = Follower {
            publisher: Rc::clone(&publisher),
            knowledge: Rc::clone(&knowledge),
            subject,
            watching: watching.subscribe(),
            troubles: Rc::clone(&troubles),
        };
        actix_rt::spawn(follower.run());
    }
    let listener = tokio(bind(settings.boxes)?)?;
    let profile = Profile { hall: settings.hall.clone(), capacity: settings.capacity };
    let peers = Peers::new(settings.boxes, profile, &settings.seeds);
    let key = wire::Key::new(&settings.link_key);
    let peering = Peering::new(Parts {
        shared: Arc::clone(shared),
        knowledge: Rc::clone(&knowledge),
        troubles,
        peers,
        me: settings.boxes,
        key,
        watching,
        advice,
    });
    actix_rt::spawn(Rc::clone(&peering).listen(listener));
    actix_rt::spawn(Rc::clone(&peering).run());
    actix_rt::spawn(Rc::clone(&peering).carry_advice(sent));
    let told_by = Rc::clone(&knowledge);
    let teller = Rc::clone(&peering);
    actix_rt::spawn(async move {
        loop {
            knowledge.told.notified().await;
            teller.news();
        }
    });
    Ok((peering, told_by))
}

async fn wait_for_stop(reload: &tokio::sync::Notify) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload.notify_one(),
        }
    }
}
