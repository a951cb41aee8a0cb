//! Tells the end of a server from that of a connection.

use crate::connections::Connections;
use crate::shared::Shared;
use placement::Fingerprint;
use routing::Server;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use telemetry::Event;

/// Servers whose connections broke while they had requests, of one traffic thread: a server that takes new connections has
/// only reset one, a server whose address refuses them has ended.
#[derive(Clone, Default)]
pub(crate) struct Crashes {
    /// By server life that is being looked at: the requests whose answers broke off there.
    looking: Rc<RefCell<HashMap<String, Vec<Fingerprint>>>>,
}

impl Crashes {
    /// A connection to `server` broke while `request` was there. Looks once for all that break together.
    pub(crate) fn broke(
        &self,
        shared: &Arc<Shared>,
        connections: &Connections,
        server: &Arc<Server>,
        request: Fingerprint,
    ) {
        let mut looking = self.looking.borrow_mut();
        if let Some(requests) = looking.get_mut(&server.id) {
            requests.push(request);
            return;
        }
        looking.insert(server.id.clone(), vec![request]);
        let look = self.clone().look(Arc::clone(shared), connections.clone(), Arc::clone(server));
        tokio::task::spawn_local(look);
    }

    async fn look(self, _shared: Arc<Shared>, connections: Connections, server: Arc<Server>) {
        let reached = connections.reach(&server.id, server.address).await;
        let requests = self.looking.borrow_mut().remove(&server.id).unwrap_or_default();
        let refused = matches!(&reached, Err(why) if why.kind() == ErrorKind::ConnectionRefused);
        let mut list = String::new();
        for request in &requests {
            // Writing to memory can't fail.
            let _ = write!(list, "{}{request}", if list.is_empty() { "" } else { "," });
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
