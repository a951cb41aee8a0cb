//! What this box makes of what servers say of themselves in their answers.

use crate::{Notice, Shared, UnknownHeader};
use http::HeaderMap;
use placement::{Limit, LimitUpdate, Millis};
use rand::Rng;
use routing::Server;
use std::time::Duration;
use telemetry::Event;

/// By how much longer than it asked for a server is left alone at most, so that boxes which it turned away together don't come
/// back in the same instant.
const BACKOFF_SPREAD_FACTOR: f64 = 1.1;

impl Shared {
    /// Takes what the answer to the request `id`, sent at `sent`, says of its server. To be called as soon as the answer's head is
    /// there: a stream may last longer than a leaving server may still get requests.
    pub(crate) fn on_notice(&self, id: &str, server: &Server, sent: Millis, notice: Notice) {
        if notice.leaving && self.on_leaving(&server.id, format_args!("id={id}")) {
            self.peer_client.broadcast_leaving(&server.id);
        }
        if let Some(back_off) = notice.back_off {
            self.on_back_off(id, server, back_off);
        }
        if let Some(limit) = notice.limit {
            self.on_limit(id, server, limit, sent);
        }
    }

    /// Tells operators of headers that nobody here knows: servers may say by them what boxes should heed.
    pub(crate) fn report_unknown_headers(&self, server: &Server, headers: &HeaderMap) {
        for UnknownHeader { name, value } in self.header_codec.unknown_headers(headers) {
            if self.reported_headers.insert(name) {
                telemetry::emit(Event::WordUnknown, format_args!("from={} header={name} value={value}", server.id));
            }
        }
    }

    /// Takes what another box heard of lives that leave. Those that this one didn't know of.
    #[must_use]
    pub fn on_peer_leaving(&self, instances: &[String]) -> Vec<String> {
        instances.iter().filter(|instance| self.on_leaving(instance, format_args!("from=Peer"))).cloned().collect()
    }

    /// Takes what another box knows of servers' limits. What this one didn't know.
    #[must_use]
    pub fn on_peer_limits(&self, statements: Vec<LimitUpdate>) -> Vec<LimitUpdate> {
        let record = |statement: &LimitUpdate| {
            let is_new = self.placement().on_limit_update(statement, self.now());
            if is_new {
                log_limit(format_args!("from=Peer"), &statement.instance, statement.limit);
            }
            is_new
        };
        statements.into_iter().filter(record).collect()
    }

    /// A limit is over all boxes, so that all are told and each request needs leave from one of them: kept by each box alone it would
    /// let through as many times what the server takes as there are boxes.
    fn on_limit(&self, id: &str, server: &Server, limit: Limit, sent: Millis) {
        let update = self.placement().record_limit(&server.id, limit, sent, self.now());
        if let Some(statement) = update {
            log_limit(format_args!("id={id}"), &server.id, limit);
            self.peer_client.broadcast_limit(&statement);
        }
    }

    /// A life leaves. True when this box didn't know.
    fn on_leaving(&self, instance: &str, source: std::fmt::Arguments<'_>) -> bool {
        let (is_new, listed) = {
            let mut placement = self.placement();
            let listed = placement.listed(instance).map(|server| server.draining);
            (placement.record_leaving(instance, listed, self.now()), listed)
        };
        if is_new {
            let entry = listed.map_or("gone", |draining| if draining { "leaving" } else { "ready" });
            telemetry::emit(Event::ServerLeaves, format_args!("{source} server={instance} entry={entry}"));
        }
        is_new
    }

    fn on_back_off(&self, id: &str, server: &Server, back_off: Duration) {
        let spread = back_off.as_secs_f64() * rand::rng().random_range(1.0..BACKOFF_SPREAD_FACTOR);
        // A conversion that saturates: a server may ask for more than a duration holds.
        let ms = (spread * 1e3) as u64;
        let now = self.now();
        // Rounded up: a server is not asked again before it wants to be.
        self.placement().record_back_off(&server.id, now.saturating_add(ms).saturating_add(1));
        telemetry::emit(Event::ServerRests, format_args!("id={id} server={} ms={ms}", server.id));
    }
}

fn log_limit(source: std::fmt::Arguments<'_>, instance: &str, limit: Limit) {
    telemetry::emit(Event::ServerLimits, format_args!("{source} server={instance} per_s={limit}"));
}
