//! Callers of the soak test, which check that every request has exactly one correct outcome.

use super::SoakReport;
use crate::{answer_tokens, Caller, Deployment, Engine, Outcome, PlainService, Reply};
use actix_rt::task::JoinHandle;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request. Every caller must get its outcome earlier, whatever the faults.
const REPLY_TIMEOUT: Duration = Duration::from_secs(150);

/// Probability of a request at each step.
const REQUEST_PROBABILITY: f64 = 0.7;

/// Range of the maximum tokens of an answer.
const MAX_TOKENS_RANGE: std::ops::Range<u32> = 5..60;

/// A request of the soak test.
#[derive(Clone, Debug)]
enum SoakRequest {
    /// A model request for at most `tokens` tokens; `non_repeatable` marks it as non-repeatable.
    Answer { prompt: String, tokens: u32, non_repeatable: bool },
    /// A non-repeatable call of a plain service.
    Call { body: String },
}

/// A request and the task that returns its reply, or `None` after a timeout.
type Sent = (SoakRequest, JoinHandle<Option<Reply>>);

/// The callers and the requests they have sent.
pub(super) struct Callers {
    seed: u64,
    random: ChaCha8Rng,
    addresses: Vec<SocketAddr>,
    callers: Vec<Caller>,
    sent: Vec<Sent>,
}

const SERVICE_PATH: &str = "/services/registry/pay";

impl Callers {
    pub(super) fn new(deployment: &Deployment, seed: u64) -> Self {
        let classes = ["hotline", "contract-check", "review", "lookup"];
        let callers = classes.iter().map(|class| Caller::new("large-1").class(class)).collect();
        let random = ChaCha8Rng::seed_from_u64(!seed);
        Self { seed, random, addresses: deployment.caller_addresses(), callers, sent: Vec::new() }
    }

    /// Sends a request with probability [`REQUEST_PROBABILITY`] to any box, also to one that is down, since a
    /// load balancer may not have detected that yet.
    pub(super) fn step(&mut self) {
        if !self.random.random_bool(REQUEST_PROBABILITY) {
            return;
        }
        let address = self.addresses[self.random.random_range(0..self.addresses.len())];
        let name = format!("soak {} {}", self.seed, self.sent.len());
        let kind = self.random.random_range(0..self.callers.len());
        let caller = self.callers[kind].clone();
        let request = if kind + 1 == self.callers.len() {
            SoakRequest::Call { body: name }
        } else {
            let non_repeatable = self.random.random_bool(0.4);
            SoakRequest::Answer { prompt: name, tokens: self.random.random_range(MAX_TOKENS_RANGE), non_repeatable }
        };
        let task = actix_rt::spawn(send(caller, address, request.clone()));
        self.sent.push((request, task));
    }

    /// Waits for every outcome and checks it against the counts of the stand-ins.
    pub(super) async fn finish(self, deployment: &Deployment) -> SoakReport {
        let mut report = SoakReport::default();
        for (request, task) in self.sent {
            report.sent += 1;
            let reply = task.await.ok().flatten();
            count_outcome(&mut report, reply.as_ref());
            let engines = deployment.engines.iter().map(|(_, engine)| engine);
            let plain_services = deployment.plain_services.iter().map(|(_, _, plain)| plain);
            report.violations.extend(request.violations(reply.as_ref(), engines, plain_services));
        }
        report
    }
}

async fn send(caller: Caller, address: SocketAddr, request: SoakRequest) -> Option<Reply> {
    let answered = async {
        match request {
            SoakRequest::Answer { prompt, tokens, non_repeatable } => {
                let caller = if non_repeatable {
                    caller.non_repeatable().key(&uuid::Uuid::now_v7().to_string())
                } else {
                    caller
                };
                caller.complete(address, &prompt, tokens).await
            }
            SoakRequest::Call { body } => caller.request(address, "POST", SERVICE_PATH, &body).await,
        }
    };
    tokio::time::timeout(REPLY_TIMEOUT, answered).await.ok()
}

fn count_outcome(report: &mut SoakReport, reply: Option<&Reply>) {
    match reply.map(|reply| &reply.outcome) {
        Some(Outcome::Complete) => report.whole += 1,
        Some(Outcome::Refused { ran, .. }) if ran == "no" => report.not_run += 1,
        Some(Outcome::Unreachable) => report.unreached += 1,
        Some(Outcome::Refused { .. } | Outcome::Interrupted) => report.failed += 1,
        None => {}
    }
}

impl SoakRequest {
    /// Returns the violations in this reply, given the counts of the stand-ins.
    fn violations<'a>(
        &self,
        reply: Option<&Reply>,
        engines: impl Iterator<Item = &'a Engine>,
        plain_services: impl Iterator<Item = &'a PlainService>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let Some(reply) = reply else { return vec![format!("{self:?} got no reply in time")] };
        let (ran, non_repeatable, matches) = match self {
            Self::Answer { prompt, tokens, non_repeatable } => {
                let runs = engines.map(|engine| engine.runs_of(prompt));
                let ran: u32 = runs.map(|run| run.starts + run.resumes).sum();
                (ran, *non_repeatable, reply.text == answer_tokens(prompt, *tokens).concat())
            }
            Self::Call { body } => {
                let ran: u32 = plain_services.map(|plain| plain.runs("/pay", body)).sum();
                (ran, true, reply.text.contains(body.as_str()))
            }
        };
        if non_repeatable && ran > 1 {
            violations.push(format!("{self:?} ran {ran} times"));
        }
        if reply.outcome == Outcome::Complete && !matches {
            violations.push(format!("{self:?} got a wrong answer: {}", reply.text));
        }
        if reply.outcome == Outcome::Complete && ran == 0 {
            violations.push(format!("{self:?} has an answer but never ran"));
        }
        if let Outcome::Refused { ran: ran_header, retry_ms, .. } = &reply.outcome {
            if ran_header == "no" && ran > 0 {
                violations.push(format!("{self:?} was refused as not run but ran"));
            }
            if ran_header == "no" && retry_ms.is_none() {
                violations.push(format!("{self:?} was refused without a retry delay"));
            }
        }
        violations
    }
}
