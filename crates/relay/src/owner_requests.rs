//! Requests to the owners of servers.

use crate::Shared;
use placement::{DemandReport, PermitReply, PermitRequest, Prompt, Quotas, ServerStatus, ServiceDemand, StatusQuery};
use routing::Server;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A status query that has been sent.
pub(crate) struct PendingStatus {
    server: Arc<Server>,
    answer: oneshot::Receiver<ServerStatus>,
}

impl PendingStatus {
    /// Queries the owner of `server`. Returns `None` if no owner is reachable.
    pub(crate) fn request(
        shared: &Shared,
        server: &Arc<Server>,
        prompt: &Prompt,
        gap_ms: u32,
        demand: Option<DemandReport>,
    ) -> Option<Self> {
        let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
        let query = StatusQuery {
            number,
            server: server.id.clone(),
            parts: prompt.parts.clone(),
            gap_ms,
            demand: demand.map(|report| ServiceDemand { service: routing::rank(0, &server.service), report }),
        };
        let answer = shared.peer_client.request_status(server, query)?;
        Some(Self { server: Arc::clone(server), answer })
    }

    /// Waits for the status and passes it to the placement.
    pub(crate) async fn wait(self, shared: &Shared, service: &str, until: Instant) -> Option<(String, ServerStatus)> {
        let Ok(Ok(status)) = tokio::time::timeout_at(until, self.answer).await else {
            shared.peer_client.on_missed_reply(&self.server);
            shared.placement().record_missed_status(service, &self.server.id, shared.now());
            return None;
        };
        shared.placement().on_status(service, &self.server.id, status.clone(), shared.now());
        Some((self.server.id.clone(), status))
    }
}

/// Requests a permit for one send to a server that takes few requests. A missing reply counts as a denial.
pub(crate) async fn request_permit(
    shared: &Shared,
    server: &Server,
    quotas: Quotas,
    urgency: u8,
    until: Instant,
) -> PermitReply {
    let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
    let request = PermitRequest { number, server: server.id.clone(), quotas, urgency };
    let denied = PermitReply::Denied { retry_ms: 0 };
    let Some(answer) = shared.peer_client.request_permit(server, request) else { return denied };
    tokio::time::timeout_at(until, answer).await.ok().and_then(Result::ok).unwrap_or(denied)
}
