//! What this box makes of what servers say of themselves in their answers.

use crate::{Notice, Shared};
use routing::Server;
use telemetry::Event;

impl Shared {
    /// Takes what the answer to the request `id` says of its server.
    pub(crate) fn noticed(&self, id: &str, server: &Server, notice: Notice) {
        if notice.leaving {
            let entry = self.view().directory.servers.get(&server.name).map(|listed| listed.draining);
            let entry = entry.map_or("gone", |draining| if draining { "leaving" } else { "ready" });
            telemetry::emit(Event::ServerLeaves, format_args!("id={id} server={} entry={entry}", server.id));
        }
        if let Some(rest) = notice.rest {
            telemetry::emit(Event::ServerRests, format_args!("id={id} server={} ms={}", server.id, rest.as_millis()));
        }
    }
}
