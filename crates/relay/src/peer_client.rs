//! The border towards the boxes that own servers.

use placement::{
    Fingerprint, LimitUpdate, LivenessEvidence, PermitReply, PermitRequest, SendReport, ServerStatus, StatusQuery,
    SuspectRecord,
};
use routing::Server;
use tokio::sync::oneshot;

/// Asks the owners of servers. Lives on traffic threads; must not block.
pub trait PeerClient: Send + Sync {
    /// Asks the owner of `server`; none when nobody can be asked.
    fn request_status(&self, server: &Server, question: StatusQuery) -> Option<oneshot::Receiver<ServerStatus>>;

    /// Asks the owner of `server`, which takes few requests, for leave to send one there; none when there is no box that may give
    /// it. No other box's word counts.
    fn request_permit(&self, server: &Server, permit: PermitRequest) -> Option<oneshot::Receiver<PermitReply>>;

    /// Reports a request to the owner of `server`. All reports of one lease go to the same box.
    fn report(&self, server: &Server, report: SendReport);

    /// The owner of `server` gave no answer in time.
    fn on_missed_reply(&self, server: &Server);

    /// Tells all other boxes of requests under which servers ended, or that were found innocent, and of servers that answer though
    /// they were taken for ended.
    fn broadcast_suspects(&self, records: Vec<SuspectRecord>, evidence: Vec<LivenessEvidence>);

    /// Tells all other boxes of a server that said that it leaves, by the id of its life.
    fn broadcast_leaving(&self, life: &str);

    /// Tells all other boxes how many requests a server says that it takes.
    fn broadcast_limit(&self, statement: &LimitUpdate);

    /// True for the one box that may try a request that is held.
    fn ranks_first(&self, request: Fingerprint) -> bool;
}
