//! One question to the owner of a server.

use crate::Shared;
use placement::{Opinion, Permit, Prompt, Question};
use routing::Server;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A question that is on its way.
pub(crate) struct Asked {
    server: Arc<Server>,
    answer: oneshot::Receiver<Opinion>,
}

impl Asked {
    /// Asks the owner of `server`; none when nobody can be asked.
    pub(crate) fn new(shared: &Shared, server: &Arc<Server>, prompt: &Prompt, gap_ms: u32) -> Option<Self> {
        let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
        let question = Question { number, server: server.id.clone(), parts: prompt.parts.clone(), gap_ms };
        let answer = shared.advisor.ask(server, question)?;
        Some(Self { server: Arc::clone(server), answer })
    }

    /// Waits for the answer, and takes it in.
    pub(crate) async fn wait(self, shared: &Shared, service: &str, until: Instant) -> Option<(String, Opinion)> {
        let Ok(Ok(opinion)) = tokio::time::timeout_at(until, self.answer).await else {
            shared.advisor.silent(&self.server);
            return None;
        };
        shared.placement().hear(service, &self.server.id, opinion.clone(), shared.now());
        Some((self.server.id.clone(), opinion))
    }
}

/// Asks the owner of a cold server for leave to send one request there. Without the owner's word there is none.
pub(crate) async fn leave(shared: &Shared, server: &Server, most: u32, until: Instant) -> bool {
    let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
    let Some(answer) = shared.advisor.permit(server, Permit { number, server: server.id.clone(), most }) else {
        return false;
    };
    matches!(tokio::time::timeout_at(until, answer).await, Ok(Ok(true)))
}
