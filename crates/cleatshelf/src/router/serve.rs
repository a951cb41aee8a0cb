//! Runs a router box: threads, listeners, signals and the planned stop.

use super::cluster_state::ClusterState;
use super::follower::{Follower, PublisherHealth};
use super::operators::Operators;
use super::owner_service::{Destination, Message, OwnerClient, OwnerService};
use super::peering::{Dependencies, Peering};
use super::port::{serve_at, Port};
use super::reload::Reloader;
use super::{Host, Settings};
use peers::{Peers, Profile, WatchRole};
use placement::{Placement, RetryBudget};
use relay::{Frontend, ReadinessServer, Shared};
use routing::{rank, Publisher, Subject};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use telemetry::{Event, JsonLogger, PrometheusRecorder};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// File descriptors reserved for servers, the platform, boxes and files; callers may use the rest.
const RESERVED_FILES: usize = 1_024;

/// Time by which a planned stop ends before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Runs a router box until a signal stops it, and reloads the settings file at `path`. Returns true if no request was
/// aborted.
///
/// # Errors
/// If a listener can't be bound.
pub fn serve(settings: Settings, path: PathBuf, logger: JsonLogger, host: Host) -> eyre::Result<bool> {
    actix::System::new().block_on(run(settings, path, logger, host))
}

async fn run(settings: Settings, path: PathBuf, logger: JsonLogger, host: Host) -> eyre::Result<bool> {
    let Host { clock, network } = host;
    let recorder = PrometheusRecorder::install()?;
    let window = settings.retry_window.as_millis() as u64;
    let budget = RetryBudget::new(settings.retry_ratio, settings.retry_slack, window);
    let placement = Placement::new(&settings.hall, budget)
        .with_allowance(settings.cold)
        .with_regions(settings.regions.clone())
        .with_seed(rand::random());
    let (owner_service, messages) = OwnerService::new(settings.boxes, Arc::clone(&clock));
    let peer_client = OwnerClient(Arc::clone(&owner_service));
    let shared = Shared::new(relay::Dependencies {
        header_codec: Box::new(platform::Headers),
        peer_client: Box::new(peer_client),
        network,
        placement,
        secret: rank(0, &settings.link_key),
        clock,
    });
    if let Some(bytes) = settings.memory {
        shared.answer_memory.set_box_memory(bytes);
        shared.request_memory.set_box_memory(bytes);
    }
    let (stop, stopped) = watch::channel(false);
    let (done, mut traffic_done) = watch::channel(false);
    let traffic = actix::Arbiter::new();
    start_traffic(&settings, &shared, &traffic, stopped, done)?;
    let (peering, cluster_state) = start_control(&settings, &shared, Arc::clone(&owner_service), messages)?;
    actix_rt::spawn(Arc::clone(&owner_service).run_slots());
    let operators = Operators {
        recorder,
        shared: Arc::clone(&shared),
        cluster_state,
        owner_service: Arc::clone(&owner_service),
        slot_services: RefCell::default(),
        listed_customers: RefCell::default(),
        logger,
    };
    actix_rt::spawn(serve_at(Port::open(settings.operators)?, |listener| operators.run(listener)));
    let hangup = Rc::new(tokio::sync::Notify::new());
    let reloader = Reloader { path, settings: settings.clone(), peering: Rc::clone(&peering) };
    actix_rt::spawn(reloader.run(Rc::clone(&hangup)));
    telemetry::emit(Event::BoxStarted, format_args!("name={} hall={}", settings.name, settings.hall));
    wait_for_stop(&hangup).await?;
    telemetry::emit(Event::StopBegun, format_args!("running={}", shared.running.load(Ordering::Relaxed)));
    let timeout = settings.stop_timeout.saturating_sub(STOP_MARGIN);
    shared.begin_stop(timeout);
    // Before the records of streams are handed on, so that this box is no longer among their keepers.
    owner_service.begin_stop();
    peering.announce_leaving();
    let began = Instant::now();
    // The front end holds the receiver until it has finished.
    let _ = stop.send(true);
    let clean = tokio::time::timeout(timeout, traffic_done.wait_for(|done| *done)).await.is_ok();
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
    let callers = Port::open(settings.callers)?;
    let ready = Port::open(settings.ready)?;
    let tunnels = settings.tunnels.map(Port::open).transpose()?;
    let tunnel_key = wire::Key::new(&settings.link_key);
    let tunnel_address = settings.tunnels;
    let files = settings.max_files.saturating_sub(RESERVED_FILES).max(RESERVED_FILES / 4);
    let max_connections = files.min(settings.memory.map_or(usize::MAX, relay::RequestMemory::max_connections));
    let shared = Arc::clone(shared);
    traffic.spawn_fn(move || {
        let readiness = ReadinessServer { shared: Arc::clone(&shared), path: platform::READY_PATH.to_owned() };
        let front = Frontend::new(shared, max_connections).with_tunnels(tunnel::Client::new(tunnel_key.clone()));
        let tunnels =
            tunnels.zip(tunnel_address).map(|(port, address)| start_tunnels(port, tunnel_key, address, &front));
        actix_rt::spawn(async move {
            let mut stop = stopped.clone();
            let listener = tokio::select! {
                listener = callers.listener() => listener,
                // Nothing has been accepted. An error means that the control thread has ended.
                _ = stop.wait_for(|stop| *stop) => Err(std::io::ErrorKind::Interrupted.into()),
            };
            match listener {
                Ok(listener) => {
                    // The balancer sends callers to a box that answers here.
                    actix_rt::spawn(serve_at(ready, |listener| readiness.run(listener)));
                    front.run(listener, stopped).await;
                }
                Err(why) => telemetry::emit(Event::StartFailed, format_args!("why=\"no listener: {why}\"")),
            }
            if let Some(tunnels) = tunnels {
                tunnels.wait_until_closed().await;
            }
            // An error means that the planned stop has timed out.
            let _ = done.send(true);
        });
    });
    Ok(())
}

/// Starts to open connections to servers for other boxes.
fn start_tunnels(port: Port, key: wire::Key, address: SocketAddr, front: &Frontend) -> tunnel::Listener {
    let tunnels = tunnel::Listener::new(key, address, front.tunnel_connector());
    actix_rt::spawn(serve_at(port, {
        let tunnels = tunnels.clone();
        |listener| tunnels.run(listener)
    }));
    tunnels
}

fn start_control(
    settings: &Settings,
    shared: &Arc<Shared>,
    owner_service: Arc<OwnerService>,
    messages: mpsc::Receiver<(Destination, Message)>,
) -> eyre::Result<(Rc<Peering>, Rc<ClusterState>)> {
    let publisher: Rc<dyn Publisher> = Rc::new(platform::Store::new(settings.publisher));
    let cluster_state = Rc::new(ClusterState::new(Arc::clone(shared), Rc::clone(&publisher)));
    let health = Rc::new(PublisherHealth::default());
    let (watch_role, _) = watch::channel(WatchRole::Off);
    for subject in [Subject::Orders, Subject::Directory] {
        let follower = Follower {
            publisher: Rc::clone(&publisher),
            cluster_state: Rc::clone(&cluster_state),
            subject,
            watch_role: watch_role.subscribe(),
            health: Rc::clone(&health),
        };
        actix_rt::spawn(follower.run());
    }
    let port = Port::open(settings.boxes)?;
    let tunnel_port = settings.tunnels.map_or(0, |address| address.port());
    // A clock that was set back makes this number too small only until another box reports a later one.
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let profile = Profile { hall: settings.hall.clone(), capacity: settings.capacity, tunnel_port, incarnation };
    let peers = Peers::new(settings.boxes, profile, &settings.seeds);
    let key = wire::Key::new(&settings.link_key);
    let peering = Peering::new(Dependencies {
        shared: Arc::clone(shared),
        cluster_state: Rc::clone(&cluster_state),
        health,
        peers,
        me: settings.boxes,
        key,
        watch_role,
        owner_service,
    });
    let listening = Rc::clone(&peering);
    actix_rt::spawn(serve_at(port, |listener| listening.listen(listener)));
    actix_rt::spawn(Rc::clone(&peering).run());
    actix_rt::spawn(Rc::clone(&peering).forward_owner_messages(messages));
    let (updated_state, notified_peering) = (Rc::clone(&cluster_state), Rc::clone(&peering));
    actix_rt::spawn(async move {
        loop {
            updated_state.updated.notified().await;
            notified_peering.on_update();
        }
    });
    Ok((peering, cluster_state))
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
