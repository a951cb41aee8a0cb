//! Tells the end of a server from that of a connection.

use crate::connections::Connections;
use crate::shared::Shared;
use placement::{Fingerprint, Millis};
use routing::Server;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use telemetry::Event;
use tokio::sync::watch;

/// Servers whose connections broke while they had requests, of one traffic thread: a server that takes new connections has
/// only reset one, a server whose address refuses them has ended.
#[derive(Clone, Default)]
pub(crate) struct CrashDetector {
    /// By server life that is being looked at.
    probes: Rc<RefCell<HashMap<String, Probe>>>,
}

/// Finds out what became of a server.
#[derive(Default)]
struct Probe {
    /// The requests whose answers broke off there.
    requests: Vec<LostRequest>,
    /// Dropped when it is known.
    done: watch::Sender<()>,
}

/// A request whose answer broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRequest {
    pub(crate) request: Fingerprint,
    /// When it was sent to the server.
    pub(crate) sent: Millis,
    /// When the answer broke off.
    pub(crate) at: Millis,
}

impl CrashDetector {
    /// A connection to `server` broke. Looks once for all that break together. What is returned closes when it is known whether
    /// the server has ended.
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
        let reached = connections.probe(&server.id, server.address).await;
        // Its other end is closed when this returns.
        let Probe { requests, done: _done } = self.probes.borrow_mut().remove(&server.id).unwrap_or_default();
        let refused = matches!(&reached, Err(why) if why.kind() == ErrorKind::ConnectionRefused);
        let mut list = String::new();
        for LostRequest { request, .. } in &requests {
            // Writing to memory can't fail.
            let _ = write!(list, "{}{request}", if list.is_empty() { "" } else { "," });
        }
        if refused {
            shared.on_server_terminated(&server.id, &requests);
        }
        let found = match &reached {
            Ok(()) => "reached".to_owned(),
            Err(why) => why.to_string(),
        };
        telemetry::emit(
            if refused { Event::ServerEnded } else { Event::ServerBroke },
            format_args!("server={} address={} found=\"{found}\" requests={list}", server.id, server.address),
        );
    }
}
