//! Handling of the hints that servers give about themselves in their answers.

use crate::{Notice, Shared, UnknownHeader};
use http::HeaderMap;
use placement::{Limit, LimitUpdate, Millis};
use rand::Rng;
use routing::Server;
use std::time::Duration;
use telemetry::Event;

/// Upper bound of the random factor by which a requested back-off is extended, so that boxes rejected at the same time
/// don't return at the same instant.
const BACKOFF_SPREAD_FACTOR: f64 = 1.1;

impl Shared {
    /// Handles the hints in the answer to the request `id`, sent at `sent`.
    ///
    /// Must be called as soon as the response head has arrived: a stream may take longer than the time in which a
    /// leaving server must stop receiving requests.
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
        if notice.is_brittle && self.on_brittle(&server.service, format_args!("server={}", server.id)) {
            self.peer_client.broadcast_brittle(&server.service);
        }
    }

    /// Records services whose servers are brittle, as another box reported. Returns those of which this box was not told
    /// recently.
    #[must_use]
    pub fn on_peer_brittle(&self, services: &[String]) -> Vec<String> {
        services.iter().filter(|service| self.on_brittle(service, format_args!("from=Peer"))).cloned().collect()
    }

    /// Records that the servers of a service are brittle. Returns true if the other boxes should be told.
    fn on_brittle(&self, service: &str, source: std::fmt::Arguments<'_>) -> bool {
        let now = self.now();
        let (was_brittle, is_due) = {
            let mut placement = self.placement();
            (placement.is_brittle(service, now), placement.record_brittle(service, now))
        };
        if !was_brittle {
            telemetry::emit(Event::ServersBrittle, format_args!("{source} service={service}"));
        }
        is_due
    }

    /// Reports unknown response headers to operators, once per name: servers may send hints in them that boxes should
    /// follow.
    pub(crate) fn report_unknown_headers(&self, server: &Server, headers: &HeaderMap) {
        for UnknownHeader { name, value } in self.header_codec.unknown_headers(headers) {
            if self.reported_headers.insert(name) {
                telemetry::emit(Event::WordUnknown, format_args!("from={} header={name} value={value}", server.id));
            }
        }
    }

    /// Records instances that another box reported as leaving. Returns those that were unknown to this box.
    #[must_use]
    pub fn on_peer_leaving(&self, instances: &[String]) -> Vec<String> {
        instances.iter().filter(|instance| self.on_leaving(instance, format_args!("from=Peer"))).cloned().collect()
    }

    /// Records server limits that another box reported. Returns those that were unknown to this box.
    #[must_use]
    pub fn on_peer_limits(&self, updates: Vec<LimitUpdate>) -> Vec<LimitUpdate> {
        let record = |update: &LimitUpdate| {
            let is_new = self.placement().on_limit_update(update, self.now());
            if is_new {
                log_limit(format_args!("from=Peer"), &update.instance, update.limit);
            }
            is_new
        };
        updates.into_iter().filter(record).collect()
    }

    /// Records a server's rate limit and broadcasts it.
    ///
    /// The limit applies to all boxes together, so each request needs a permit from a single box. If each box applied
    /// the limit by itself, the server would receive the limit times the number of boxes.
    fn on_limit(&self, id: &str, server: &Server, limit: Limit, sent: Millis) {
        let update = self.placement().record_limit(&server.id, limit, sent, self.now());
        if let Some(update) = update {
            log_limit(format_args!("id={id}"), &server.id, limit);
            self.peer_client.broadcast_limit(&update);
        }
    }

    /// Records that an instance is leaving. Returns true if that was unknown to this box.
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
        // The cast saturates: a server may request more than a `Duration` can hold.
        let ms = (spread * 1e3) as u64;
        let now = self.now();
        // Rounded up, so that the server receives nothing before the requested time.
        self.placement().record_back_off(&server.id, now.saturating_add(ms).saturating_add(1));
        telemetry::emit(Event::ServerRests, format_args!("id={id} server={} ms={ms}", server.id));
    }
}

fn log_limit(source: std::fmt::Arguments<'_>, instance: &str, limit: Limit) {
    telemetry::emit(Event::ServerLimits, format_args!("{source} server={instance} per_s={limit}"));
}
