//! A box: it chooses an engine for a request, by one of the arms.

use crate::{Arm, Class, Deployment};
use placement::{
    Choice, Millis, Owner, PermitReply, PermitRequest, Placement, PlacementRequest, Prompt, Refusal, RetryBudget,
    ServerStatus, Snapshot, StatusQuery,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use routing::{Directory, Evacuations, Kind, Route, Server, Service, Share, Table};
use std::sync::Arc;
use std::time::Duration;

/// The service of all engines.
pub(crate) const SERVICE: &str = "engines";

/// Most owners that are asked for one request, as in the program.
const OWNERS_ASKED: usize = 9;

/// When a caller is asked back whose request found no engine.
const COME_BACK_MS: Millis = 400;

/// Shortest time after which a caller is asked back where all places are taken.
const CROWD_MS: Millis = 1_000;

/// Servers tried before, where admission is to let all through: it refuses nothing that was sent before.
const SENT_BEFORE: &str = "sent before";

/// One box.
pub(crate) struct Router {
    pub(crate) hall: String,
    pub(crate) placement: Placement,
}

/// What a box chooses by beside what it knows itself.
pub(crate) struct Around<'a> {
    pub(crate) arm: Arm,
    /// What owners know: each knows of its servers what all boxes told.
    pub(crate) owner: &'a mut Owner,
    pub(crate) servers: &'a [Arc<Server>],
    pub(crate) rng: &'a mut ChaCha8Rng,
    pub(crate) owner_queries: &'a mut u64,
}

/// A request that is to be placed.
#[derive(Clone, Copy)]
pub(crate) struct Request<'a> {
    pub(crate) prompt: &'a Prompt,
    pub(crate) class: &'a Class,
    pub(crate) tried: &'a [String],
    pub(crate) now: Millis,
}

/// Why a request is refused: its caller comes back after so many milliseconds.
pub(crate) struct Refused(pub(crate) Millis);

impl Router {
    pub(crate) fn new(hall: &str, seed: u64) -> Self {
        let placement = Placement::new(hall, RetryBudget::new(0.2, 50.0, 10_000)).with_seed(seed);
        Self { hall: hall.to_owned(), placement }
    }

    /// Takes what is in force.
    pub(crate) fn update(&mut self, table: &Table, directory: &Directory, now: Millis) {
        let evacuations = Evacuations::default();
        self.placement.update(&Snapshot { table, directory, evacuations: &evacuations }, now);
    }

    /// Chooses an engine.
    pub(crate) fn choose(&mut self, request: Request<'_>, around: &mut Around<'_>) -> Result<Choice, Refused> {
        if around.arm.places() {
            return self.place(request, around);
        }
        let server = self.pick(request, around).ok_or(Refused(COME_BACK_MS))?;
        Ok(sent_to(server, request))
    }

    fn place(&mut self, request: Request<'_>, around: &mut Around<'_>) -> Result<Choice, Refused> {
        let mut tried = request.tried.to_vec();
        if around.arm == Arm::WithoutAdmission {
            tried.push(SENT_BEFORE.to_owned());
        }
        let ask = ask(request, &tried, &[]);
        let opinions = if around.arm == Arm::WithoutOwners { Vec::new() } else { self.consult(&ask, request, around) };
        let mut choice = self.with_leave(&PlacementRequest { statuses: &opinions, ..ask }, around)?;
        match around.arm {
            Arm::WithoutFetching => choice.fetch = None,
            Arm::WithoutRegisters => choice.cache_directories.clear(),
            _ => {}
        }
        Ok(choice)
    }

    /// Chooses until an engine is found that needs no leave, or for which leave is given.
    fn with_leave(&mut self, ask: &PlacementRequest<'_>, around: &mut Around<'_>) -> Result<Choice, Refused> {
        let mut denied = Vec::new();
        loop {
            let choice = self.placement.choose(&PlacementRequest { denied: &denied, ..*ask });
            let choice = choice.map_err(|refusal| Refused(back_ms(refusal, around.rng)))?;
            let Some(quotas) = choice.permit_quotas else { return Ok(choice) };
            *around.owner_queries += 1;
            let id = choice.server.id.clone();
            let permit =
                PermitRequest { number: *around.owner_queries, server: id.clone(), quotas, urgency: ask.urgency };
            match around.owner.on_permit_request(&permit, ask.now) {
                PermitReply::Granted => return Ok(choice),
                PermitReply::Denied { retry_ms: again } => {
                    self.placement.record_denial(SERVICE, &id, ask.urgency, ask.now + again);
                }
            }
            denied.push(id);
        }
    }

    fn consult(
        &mut self,
        ask: &PlacementRequest<'_>,
        request: Request<'_>,
        around: &mut Around<'_>,
    ) -> Vec<(String, ServerStatus)> {
        let mut opinions = Vec::new();
        for server in self.placement.servers_to_query(ask, OWNERS_ASKED) {
            *around.owner_queries += 1;
            let question = StatusQuery {
                number: *around.owner_queries,
                server: server.id.clone(),
                parts: request.prompt.parts.clone(),
                gap_ms: request.class.gap_ms as u32,
            };
            let opinion = around.owner.on_query(&question, request.now);
            self.placement.on_status(SERVICE, &server.id, opinion.clone(), request.now);
            opinions.push((server.id.clone(), opinion));
        }
        opinions
    }

    /// The engine that a baseline takes.
    fn pick(&self, request: Request<'_>, around: &mut Around<'_>) -> Option<Arc<Server>> {
        let open = around.servers.iter().filter(|server| !server.draining && !request.tried.contains(&server.id));
        let open: Vec<&Arc<Server>> = open.collect();
        let near: Vec<&Arc<Server>> = open.iter().copied().filter(|server| server.hall == self.hall).collect();
        let server = match around.arm {
            Arm::Hall if !near.is_empty() => least(&near, request, around),
            Arm::Two if open.len() > 1 => {
                let two = [0; 2].map(|_| open[around.rng.random_range(0..open.len())]);
                least(&two, request, around)
            }
            Arm::Prefix => by_prefix(&open, request, around),
            _ => least(&open, request, around),
        };
        server.map(Arc::clone)
    }
}

fn ask<'a>(request: Request<'a>, tried: &'a [String], opinions: &'a [(String, ServerStatus)]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: SERVICE,
        prompt: Some(request.prompt),
        target: Duration::from_secs_f64(request.class.aim_ms / 1e3),
        gap_limit: Some(Duration::from_secs_f64(request.class.gap_ms / 1e3)),
        urgency: request.class.urgency,
        bytes: request.prompt.tokens as usize * 4,
        tried,
        denied: &[],
        allowed_regions: [None, None],
        statuses: opinions,
        now: request.now,
    }
}

fn running(server: &Server, now: Millis, around: &mut Around<'_>) -> u32 {
    let question = StatusQuery { number: 0, server: server.id.clone(), parts: Vec::new(), gap_ms: 0 };
    around.owner.on_query(&question, now).load.running
}

/// The engine with the fewest requests of all boxes.
fn least<'a>(servers: &[&'a Arc<Server>], request: Request<'_>, around: &mut Around<'_>) -> Option<&'a Arc<Server>> {
    let draw: u64 = around.rng.random();
    servers.iter().copied().min_by_key(|server| {
        let running = running(server, request.now, around);
        (running, routing::rank(draw, &server.id))
    })
}

/// The first engine by the rank of the prompt's shared part that has fewer requests than places, else that with the fewest.
fn by_prefix<'a>(
    servers: &[&'a Arc<Server>],
    request: Request<'_>,
    around: &mut Around<'_>,
) -> Option<&'a Arc<Server>> {
    let part = request.prompt.parts.first().map_or(0, |part| part.id);
    let mut ranked = servers.to_vec();
    ranked.sort_by_key(|server| std::cmp::Reverse(routing::rank(part, &server.id)));
    let free = ranked.iter().copied().find(|server| running(server, request.now, around) < server.slots);
    free.or_else(|| least(servers, request, around))
}

/// What a baseline's choice adds to a server.
fn sent_to(server: Arc<Server>, request: Request<'_>) -> Choice {
    let work = placement::Work {
        held: request.prompt.tokens,
        urgency: request.class.urgency,
        gap_ms: request.class.gap_ms as u32,
        ..placement::Work::default()
    };
    Choice {
        server,
        fetch: None,
        work,
        estimate: placement::CostEstimate::default(),
        load: placement::Load::default(),
        candidates: 0,
        cache_directories: Vec::new(),
        permit_quotas: None,
    }
}

/// When a caller is asked back, as the program does.
fn back_ms(refusal: Refusal, rng: &mut ChaCha8Rng) -> Millis {
    let spread = rng.random_range(1.0..2.0);
    match refusal {
        Refusal::Overloaded { wait_ms } => ((wait_ms + CROWD_MS as f64) * spread) as Millis,
        Refusal::BackingOff { retry_ms: back_ms } | Refusal::Limited { retry_ms: back_ms } => back_ms.max(COME_BACK_MS),
        Refusal::NoServer | Refusal::Cold => COME_BACK_MS,
    }
}

/// The configuration of a deployment: a route for each class to one service.
pub(crate) fn table(deployment: &Deployment, arm: Arm) -> Table {
    let engine_spec = &deployment.engine_spec;
    let engine = routing::Engine {
        slots: engine_spec.slots,
        memory_tokens: engine_spec.memory_tokens,
        token_bytes: engine_spec.token_bytes,
        link_mbps: engine_spec.link_mbps,
        tokens_per_event: engine_spec.stride,
    };
    let service = Service { name: SERVICE.to_owned(), max_connections: 1_000, engine: Some(engine), cold_start: None };
    let routes = deployment.classes.iter().map(|class| {
        // Engines are divided by the shortest pause that is known to be too long.
        let gap = (arm != Arm::WithoutDivision).then(|| Duration::from_secs_f64(class.gap_ms / 1e3));
        Route {
            name: class.name.clone(),
            host: "a.example".to_owned(),
            prefix: format!("/{}/", class.name),
            kind: Kind::Stream { resumable: true },
            timeout: Duration::from_secs_f64(class.limit_ms / 1e3),
            latency_target: Duration::from_secs_f64(class.aim_ms / 1e3),
            gap_target: gap,
            priority: class.urgency,
            shares: vec![Share { service: SERVICE.to_owned(), weight: 1 }],
            max_attempts: 2,
            no_auth: true,
            allowed_regions: None,
        }
    });
    Table::new(1, routes.collect(), vec![service])
}
