//! Interface to the other boxes and to the owners of servers.

use crate::TunnelBoxes;
use dispatch::{SlotRelease, SlotReply, SlotRequest};
use origins::{Answer, Stream};
use placement::{
    Fingerprint, LimitUpdate, LivenessEvidence, PermitReply, PermitRequest, SendReport, ServerStatus, StatusQuery,
    SuspectRecord,
};
use routing::Server;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// State of a dispatcher that has not replied to a request yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatcherState {
    /// It has sent a message since the request.
    Alive,
    /// It was heard so shortly before the request that it may only be paused. To be checked again after this time.
    Paused(Duration),
    /// It has been silent for longer than boxes are paused.
    Silent,
}

/// Sends messages to the owners of servers and to all boxes. Called on traffic threads; must not block.
pub trait PeerClient: Send + Sync {
    /// Queries the status of `server` from its owner. Returns `None` if no owner is reachable.
    fn request_status(&self, server: &Server, query: StatusQuery) -> Option<oneshot::Receiver<ServerStatus>>;

    /// Requests a permit to send one request to `server`, which takes few because it is cold or states a limit. Returns
    /// `None` if the only box that may grant it is unreachable.
    fn request_permit(&self, server: &Server, request: PermitRequest) -> Option<oneshot::Receiver<PermitReply>>;

    /// Requests a slot at a plain server from the dispatcher of the service in this box's region. Returns `None` where no
    /// dispatcher is in charge. The receiver closes without a reply if the connection to the dispatcher is lost.
    fn request_slot(&self, request: SlotRequest) -> Option<oneshot::Receiver<SlotReply>>;

    /// Returns whether the dispatcher from which this slot was requested is alive. Records that it did not reply in time
    /// if it is silent.
    fn check_dispatcher(&self, number: u64) -> DispatcherState;

    /// Returns a slot, or withdraws a request for one. To be called once for each requested slot, unless the reply was
    /// [`SlotReply::Refused`] or [`SlotReply::Unmanaged`].
    fn release_slot(&self, release: SlotRelease);

    /// Asks the box of this hall that keeps the promise to the caller of `request`, a fingerprint, in how many milliseconds
    /// the caller was told to return; 0 if nothing was promised or the time has come. Returns `None` if no such box is
    /// reachable.
    fn request_promise(&self, request: u64) -> Option<oneshot::Receiver<u32>>;

    /// Tells that box that the caller of `request` was told to return in so many milliseconds.
    fn report_promise(&self, request: u64, left_ms: u32);

    /// Asks the boxes that keep the record of a stream, other than this one, what they know about its origin. `None` stands
    /// for a stream that its caller doesn't name. Receivers of boxes that don't answer never resolve.
    fn request_origin(&self, stream: Option<Stream>, route: &str) -> Vec<oneshot::Receiver<Answer>>;

    /// Reports the progress of a request to the owner of `server`. All reports of one lease go to the same box.
    fn report(&self, server: &Server, report: SendReport);

    /// Records that the owner of `server` did not reply in time.
    fn on_missed_reply(&self, server: &Server);

    /// Returns the boxes through which this one may reach servers.
    fn tunnel_boxes(&self) -> Arc<TunnelBoxes>;

    /// Broadcasts suspected or cleared requests, and evidence that servers reported as terminated are alive.
    fn broadcast_suspects(&self, records: Vec<SuspectRecord>, evidence: Vec<LivenessEvidence>);

    /// Broadcasts that the server instance is leaving.
    fn broadcast_leaving(&self, instance: &str);

    /// Broadcasts a server's rate limit.
    fn broadcast_limit(&self, update: &LimitUpdate);

    /// Broadcasts that the servers of a service fall over if they have to turn too many requests away.
    fn broadcast_brittle(&self, service: &str);

    /// Returns true on the one box that may probe a held request.
    fn ranks_first(&self, request: Fingerprint) -> bool;
}
