//! Callers whose every request must have one true end.

use super::Soaked;
use crate::{answer, Caller, Deployment, Engine, Plain, Reply, Stop};
use actix_rt::task::JoinHandle;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a request's end: whatever happens, callers are told before.
const END_MOST: Duration = Duration::from_secs(150);

/// A request comes at each step with this chance.
const CHANCE: f64 = 0.7;

/// Tokens of an answer, at most.
const TOKENS: std::ops::Range<u32> = 5..60;

/// What is asked for.
#[derive(Clone, Debug)]
enum Wish {
    /// A model's answer of so many tokens; `once` says that it is not to be repeated.
    Answer { prompt: String, tokens: u32, once: bool },
    /// A plain call that is not to be repeated.
    Call { body: String },
}

/// One request and its end; none when no end came.
type Sent = (Wish, JoinHandle<Option<Reply>>);

/// Callers whose every request must have one true end.
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
        Self { seed, random, doors: deployment.doors(), callers, sent: Vec::new() }
    }

    /// Perhaps one more request, at any box: the balancer may not know yet that it is gone.
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

    /// Waits for every end and asks the stand-ins what ran.
    pub(super) async fn end(self, deployment: &Deployment) -> Soaked {
        let mut soaked = Soaked::default();
        for (wish, task) in self.sent {
            soaked.sent += 1;
            let reply = task.await.ok().flatten();
            count(&mut soaked, reply.as_ref());
            let engines = deployment.engines.iter().map(|(_, engine)| engine);
            let plains = deployment.plains.iter().map(|(_, _, plain)| plain);
            soaked.wrongs.extend(wish.judge(reply.as_ref(), engines, plains));
        }
        soaked
    }
}

async fn send(caller: Caller, door: SocketAddr, wish: Wish) -> Option<Reply> {
    let asked = async {
        match wish {
            Wish::Answer { prompt, tokens, once } => {
                let caller = if once { caller.once().key(&uuid::Uuid::now_v7().to_string()) } else { caller };
                caller.ask(door, &prompt, tokens).await
            }
            Wish::Call { body } => caller.call(door, "POST", PATH, &body).await,
        }
    };
    tokio::time::timeout(END_MOST, asked).await.ok()
}

fn count(soaked: &mut Soaked, reply: Option<&Reply>) {
    match reply.map(|reply| &reply.stop) {
        Some(Stop::Whole) => soaked.whole += 1,
        Some(Stop::Refused { ran, .. }) if ran == "no" => soaked.not_run += 1,
        Some(Stop::Unreached) => soaked.unreached += 1,
        Some(Stop::Refused { .. } | Stop::Broken) => soaked.failed += 1,
        None => {}
    }
}

impl Wish {
    /// What is wrong with this end, given what ran.
    fn judge<'a>(
        &self,
        reply: Option<&Reply>,
        engines: impl Iterator<Item = &'a Engine>,
        plains: impl Iterator<Item = &'a Plain>,
    ) -> Vec<String> {
        let mut wrongs = Vec::new();
        let Some(reply) = reply else { return vec![format!("{self:?} got no end")] };
        let (ran, once, right) = match self {
            Self::Answer { prompt, tokens, once } => {
                let runs = engines.map(|engine| engine.run_of(prompt));
                let ran: u32 = runs.map(|run| run.starts + run.resumes).sum();
                (ran, *once, reply.text == answer(prompt, *tokens).concat())
            }
            Self::Call { body } => {
                let ran: u32 = plains.map(|plain| plain.ran("/pay", body)).sum();
                (ran, true, reply.text.contains(body.as_str()))
            }
        };
        if once && ran > 1 {
            wrongs.push(format!("{self:?} ran {ran} times"));
        }
        if reply.stop == Stop::Whole && !right {
            wrongs.push(format!("{self:?} got another answer: {}", reply.text));
        }
        if reply.stop == Stop::Whole && ran == 0 {
            wrongs.push(format!("{self:?} has an answer but never ran"));
        }
        if let Stop::Refused { ran: word, retry_ms, .. } = &reply.stop {
            if word == "no" && ran > 0 {
                wrongs.push(format!("{self:?} was refused as not run but ran"));
            }
            if word == "no" && retry_ms.is_none() {
                wrongs.push(format!("{self:?} was refused without a time to come back"));
            }
        }
        wrongs
    }
}
