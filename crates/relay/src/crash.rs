//! Distinguishes the termination of a server from the loss of a connection.

use crate::connections::{Connections, ProbeOutcome};
use crate::shared::Shared;
use placement::{Fingerprint, Millis, Trait};
use routing::Server;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use telemetry::Event;
use tokio::sync::watch;

/// Probes servers after lost connections, per traffic thread. A server that accepts a new connection only lost the old
/// one; a server whose address refuses connections, while others accept them on the same way, has terminated as far as
/// this box can tell.
#[derive(Clone, Default)]
pub(crate) struct CrashDetector {
    /// Running probes by server instance.
    probes: Rc<RefCell<HashMap<String, Probe>>>,
}

/// A running probe of one server.
#[derive(Default)]
struct Probe {
    /// The requests whose answers were interrupted.
    requests: Vec<LostRequest>,
    /// Dropped when the probe has finished.
    done: watch::Sender<()>,
}

/// A request whose answer was interrupted.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    pub(crate) request: Fingerprint,
    /// Ids of the parts of its prompt that it may share with others.
    pub(crate) parts: Vec<u64>,
    /// Its traits that may have terminated the server.
    pub(crate) suspects: Vec<Trait>,
    /// When the request was sent to the server.
    pub(crate) sent: Millis,
    /// When the connection was lost.
    pub(crate) at: Millis,
}

impl CrashDetector {
    /// Handles the loss of a connection to `server`. Losses at the same time share one probe. The returned channel
    /// closes when the probe has finished.
    pub(crate) fn on_connection_lost(
        &self,
        shared: &Arc<Shared>,
        connections: &Connections,
        server: &Arc<Server>,
        lost: LostRequest,
    ) -> watch::Receiver<()> {
        let mut probes = self.probes.borrow_mut();
        if !probes.contains_key(&server.id) {
            let probe = self.clone().probe(Arc::clone(shared), connections.clone(), Arc::clone(server));
            tokio::task::spawn_local(probe);
        }
        let probe = probes.entry(server.id.clone()).or_default();
        probe.requests.push(lost);
        probe.done.subscribe()
    }

    async fn probe(self, shared: Arc<Shared>, connections: Connections, server: Arc<Server>) {
        let ended = shared.ended_servers();
        let outcome = connections.probe(&server, |other| !ended.contains(other)).await;
        // Dropping `_done` at the end of this function closes the receivers.
        let Probe { requests, done: _done } = self.probes.borrow_mut().remove(&server.id).unwrap_or_default();
        let refused = outcome == ProbeOutcome::Refused;
        let mut list = String::new();
        for LostRequest { request, parts, .. } in &requests {
            // Writing to a `String` can't fail.
            let _ = write!(list, "{}{request}", if list.is_empty() { "" } else { "," });
            for part in parts {
                let _ = write!(list, "/{part:x}");
            }
        }
        // A brittle server falls over from the number of requests, not from one of them.
        if refused && !shared.placement().is_brittle(&server.service, shared.now()) {
            shared.on_server_terminated(&server.id, &requests);
        }
        let found = match outcome {
            ProbeOutcome::Reached => "reached".to_owned(),
            ProbeOutcome::Refused => "refused".to_owned(),
            ProbeOutcome::Unknown(why) => why,
        };
        telemetry::emit(
            if refused { Event::ServerEnded } else { Event::ServerBroke },
            format_args!("server={} address={} found=\"{found}\" requests={list}", server.id, server.address),
        );
    }
}
