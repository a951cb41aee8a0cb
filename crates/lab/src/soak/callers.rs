//! Callers of the soak test, which check that every request has exactly one correct outcome.

use super::SoakReport;
use crate::{answer_tokens, Caller, Deployment, Engine, Outcome, PlainService, Reply};
use actix_rt::task::JoinHandle;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request. Every caller must get its outcome earlier, whatever the faults.
const END_MOST: Duration = Duration::from_secs(150);

/// Probability of a request at each step.
const CHANCE: f64 = 0.7;

/// Range of the maximum tokens of an answer.
const TOKENS: std::ops::Range<u32> = 5..60;

/// A request of the soak test.
#[derive(Clone, Debug)]
enum Wish {
    /// A model request for at most `tokens` tokens; `once` marks it as non-repeatable.
    Answer { prompt: String, tokens: u32, once: bool },
    /// A non-repeatable call of a plain service.
    Call { body: String },
}

/// A request and the task that returns its reply, or `None` after a timeout.
type Sent = (Wish, JoinHandle<Option<Reply>>);

/// The callers and the requests they have sent.
pub(super) struct Callers {
    seed: u64,
    random: ChaCha8Rng,
    doors: Vec<SocketAddr>,
    callers: Vec<Caller>,
    sent: Vec<Sent>,
}

const PATH: &str = "/services/registry/pay";

impl Callers {
    pub(super) fn new(deployment: &Deployment, seed: u64) -> Self {
        let classes = ["hotline", "contract-check", "review", "lookup"];
        let callers = classes.iter().map(|class| Caller::new("large-1").class(class)).collect();
        let random = ChaCha8Rng::seed_from_u64(!seed);
        Self { seed, random, doors: deployment.caller_addresses(), callers, sent: Vec::new() }
    }

    /// Sends a request with probability [`REQUEST_PROBABILITY`] to any box, also to one that is down, since a
    /// load balancer may not have detected that yet.
    pub(super) fn step(&mut self) {
        if !self.random.random_bool(CHANCE) {
            return;
        }
        let door = self.doors[self.random.random_range(0..self.doors.len())];
        let name = format!("soak {} {}", self.seed, self.sent.len());
        let kind = self.random.random_range(0..self.callers.len());
        let caller = self.callers[kind].clone();
        let wish = if kind + 1 == self.callers.len() {
            Wish::Call { body: name }
        } else {
            let once = self.random.random_bool(0.4);
            Wish::Answer { prompt: name, tokens: self.random.random_range(TOKENS), once }
        };
        let task = actix_rt::spawn(send(caller, door, wish.clone()));
        self.sent.push((wish, task));
    }

    /// Waits for every outcome and checks it against the counts of the stand-ins.
    pub(super) async fn end(self, deployment: &Deployment) -> SoakReport {
        let mut soaked = SoakReport::default();
        for (wish, task) in self.sent {
            soaked.sent += 1;
            let reply = task.await.ok().flatten();
            count(&mut soaked, reply.as_ref());
            let engines = deployment.engines.iter().map(|(_, engine)| engine);
            let plain_services = deployment.plain_services.iter().map(|(_, _, plain)| plain);
            soaked.violations.extend(wish.judge(reply.as_ref(), engines, plain_services));
        }
        soaked
    }
}

async fn send(caller: Caller, door: SocketAddr, wish: Wish) -> Option<Reply> {
    let asked = async {
        match wish {
            Wish::Answer { prompt, tokens, once } => {
                let caller = if once { caller.non_repeatable().key(&uuid::Uuid::now_v7().to_string()) } else { caller };
                caller.complete(door, &prompt, tokens).await
            }
            Wish::Call { body } => caller.request(door, "POST", PATH, &body).await,
        }
    };
    tokio::time::timeout(END_MOST, asked).await.ok()
}

fn count(soaked: &mut SoakReport, reply: Option<&Reply>) {
    match reply.map(|reply| &reply.outcome) {
        Some(Outcome::Complete) => soaked.whole += 1,
        Some(Outcome::Refused { ran, .. }) if ran == "no" => soaked.not_run += 1,
        Some(Outcome::Unreachable) => soaked.unreached += 1,
        Some(Outcome::Refused { .. } | Outcome::Interrupted) => soaked.failed += 1,
        None => {}
    }
}

impl Wish {
    /// Returns the violations in this reply, given the counts of the stand-ins.
    fn judge<'a>(
        &self,
        reply: Option<&Reply>,
        engines: impl Iterator<Item = &'a Engine>,
        plain_services: impl Iterator<Item = &'a PlainService>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let Some(reply) = reply else { return vec![format!("{self:?} got no end")] };
        let (ran, once, right) = match self {
            Self::Answer { prompt, tokens, once } => {
                let runs = engines.map(|engine| engine.runs_of(prompt));
                let ran: u32 = runs.map(|run| run.starts + run.resumes).sum();
                (ran, *once, reply.text == answer_tokens(prompt, *tokens).concat())
            }
            Self::Call { body } => {
                let ran: u32 = plain_services.map(|plain| plain.runs("/pay", body)).sum();
                (ran, true, reply.text.contains(body.as_str()))
            }
        };
        if once && ran > 1 {
            violations.push(format!("{self:?} ran {ran} times"));
        }
        if reply.outcome == Outcome::Complete && !right {
            violations.push(format!("{self:?} got another answer: {}", reply.text));
        }
        if reply.outcome == Outcome::Complete && ran == 0 {
            violations.push(format!("{self:?} has an answer but never ran"));
        }
        if let Outcome::Refused { ran: word, retry_ms, .. } = &reply.outcome {
            if word == "no" && ran > 0 {
                violations.push(format!("{self:?} was refused as not run but ran"));
            }
            if word == "no" && retry_ms.is_none() {
                violations.push(format!("{self:?} was refused without a time to come back"));
            }
        }
        violations
    }
}
