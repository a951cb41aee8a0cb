//! A simulated box, which chooses engines for requests by the policy of an arm.

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

/// Name of the service to which all engines belong.
pub(crate) const SERVICE: &str = "engines";

/// Maximum number of owners that are queried for one request, the same as in cleatshelf.
const MAX_OWNERS_QUERIED: usize = 9;

/// Retry delay of a request for which there is no engine; also the minimum after a back-off or rate limit.
const RETRY_DELAY_MS: Millis = 400;

/// Minimum retry delay if all slots are taken; it is added to the expected wait.
const OVERLOAD_RETRY_DELAY_MS: Millis = 1_000;

/// Fictitious id of an already tried server for [`Arm::WithoutAdmission`]: a request that was sent
/// before is never refused for lack of free slots.
const PRIOR_SEND_ID: &str = "sent before";

/// A simulated box.
pub(crate) struct Router {
    pub(crate) hall: String,
    pub(crate) placement: Placement,
}

/// State outside the box that its choices depend on.
pub(crate) struct RouterContext<'a> {
    pub(crate) arm: Arm,
    /// One instance stands in for all owners: each owner knows what all boxes reported about its servers.
    pub(crate) owner: &'a mut Owner,
    pub(crate) servers: &'a [Arc<Server>],
    pub(crate) rng: &'a mut ChaCha8Rng,
    /// Number of status queries and permit requests so far.
    pub(crate) owner_queries: &'a mut u64,
}

/// A request to be placed.
#[derive(Clone, Copy)]
pub(crate) struct Request<'a> {
    pub(crate) prompt: &'a Prompt,
    pub(crate) class: &'a Class,
    pub(crate) tried: &'a [String],
    pub(crate) now: Millis,
}

/// Refusal of a request; its caller retries after this number of milliseconds.
pub(crate) struct Refused(pub(crate) Millis);

impl Router {
    pub(crate) fn new(hall: &str, seed: u64) -> Self {
        let placement = Placement::new(hall, RetryBudget::new(0.2, 50.0, 10_000)).with_seed(seed);
        Self { hall: hall.to_owned(), placement }
    }

    /// Applies the current routing table and server directory.
    pub(crate) fn update(&mut self, table: &Table, directory: &Directory, now: Millis) {
        let evacuations = Evacuations::default();
        self.placement.update(&Snapshot { table, directory, evacuations: &evacuations }, now);
    }

    /// Chooses an engine for a request.
    pub(crate) fn choose(&mut self, request: Request<'_>, context: &mut RouterContext<'_>) -> Result<Choice, Refused> {
        if context.arm.uses_placement() {
            return self.place(request, context);
        }
        let server = self.pick_baseline(request, context).ok_or(Refused(RETRY_DELAY_MS))?;
        Ok(baseline_choice(server, request))
    }

    fn place(&mut self, request: Request<'_>, context: &mut RouterContext<'_>) -> Result<Choice, Refused> {
        let mut tried = request.tried.to_vec();
        if context.arm == Arm::WithoutAdmission {
            tried.push(PRIOR_SEND_ID.to_owned());
        }
        let placement_request = placement_request(request, &tried, &[]);
        let statuses = if context.arm == Arm::WithoutOwners {
            Vec::new()
        } else {
            self.query_owners(&placement_request, request, context)
        };
        let mut choice =
            self.place_with_permit(&PlacementRequest { statuses: &statuses, ..placement_request }, context)?;
        match context.arm {
            Arm::WithoutFetching => choice.fetch = None,
            Arm::WithoutRegisters => choice.cache_directories.clear(),
            _ => {}
        }
        Ok(choice)
    }

    /// Repeats the choice until it falls on an engine that needs no send permit, or for which the owner grants one.
    fn place_with_permit(
        &mut self,
        placement_request: &PlacementRequest<'_>,
        context: &mut RouterContext<'_>,
    ) -> Result<Choice, Refused> {
        let mut denied = Vec::new();
        loop {
            let choice = self.placement.choose(&PlacementRequest { denied: &denied, ..*placement_request });
            let choice = choice.map_err(|refusal| Refused(retry_delay_ms(refusal, context.rng)))?;
            let Some(quotas) = choice.permit_quotas else { return Ok(choice) };
            *context.owner_queries += 1;
            let id = choice.server.id.clone();
            let permit = PermitRequest {
                number: *context.owner_queries,
                server: id.clone(),
                quotas,
                urgency: placement_request.urgency,
            };
            match context.owner.on_permit_request(&permit, placement_request.now) {
                PermitReply::Granted => return Ok(choice),
                PermitReply::Denied { retry_ms } => {
                    self.placement.record_denial(
                        SERVICE,
                        &id,
                        placement_request.urgency,
                        placement_request.now + retry_ms,
                    );
                }
            }
            denied.push(id);
        }
    }

    /// Queries the owners of candidate servers and records their statuses.
    fn query_owners(
        &mut self,
        placement_request: &PlacementRequest<'_>,
        request: Request<'_>,
        context: &mut RouterContext<'_>,
    ) -> Vec<(String, ServerStatus)> {
        let mut statuses = Vec::new();
        for server in self.placement.servers_to_query(placement_request, MAX_OWNERS_QUERIED) {
            *context.owner_queries += 1;
            let query = StatusQuery {
                number: *context.owner_queries,
                server: server.id.clone(),
                parts: request.prompt.parts.clone(),
                gap_ms: request.class.gap_ms as u32,
                ..StatusQuery::default()
            };
            let status = context.owner.on_query(&query, request.now);
            self.placement.on_status(SERVICE, &server.id, status.clone(), request.now);
            statuses.push((server.id.clone(), status));
        }
        statuses
    }

    /// Returns the engine that the baseline arm chooses.
    fn pick_baseline(&self, request: Request<'_>, context: &mut RouterContext<'_>) -> Option<Arc<Server>> {
        let candidates =
            context.servers.iter().filter(|server| !server.draining && !request.tried.contains(&server.id));
        let candidates: Vec<&Arc<Server>> = candidates.collect();
        let near: Vec<&Arc<Server>> = candidates.iter().copied().filter(|server| server.hall == self.hall).collect();
        let server = match context.arm {
            Arm::Hall if !near.is_empty() => least_loaded(&near, request, context),
            Arm::Two if candidates.len() > 1 => {
                let two = [0; 2].map(|_| candidates[context.rng.random_range(0..candidates.len())]);
                least_loaded(&two, request, context)
            }
            Arm::Prefix => first_ranked_with_free_slot(&candidates, request, context),
            _ => least_loaded(&candidates, request, context),
        };
        server.map(Arc::clone)
    }
}

fn placement_request<'a>(
    request: Request<'a>,
    tried: &'a [String],
    statuses: &'a [(String, ServerStatus)],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: SERVICE,
        prompt: Some(request.prompt),
        target: Duration::from_secs_f64(request.class.target_ms / 1e3),
        gap_limit: Some(Duration::from_secs_f64(request.class.gap_ms / 1e3)),
        urgency: request.class.urgency,
        bytes: request.prompt.tokens as usize * 4,
        tried,
        denied: &[],
        version: None,
        allowed_regions: [None, None],
        statuses,
        now: request.now,
    }
}

fn running_requests(server: &Server, now: Millis, context: &mut RouterContext<'_>) -> u32 {
    let query =
        StatusQuery { number: 0, server: server.id.clone(), parts: Vec::new(), gap_ms: 0, ..StatusQuery::default() };
    context.owner.on_query(&query, now).load.running
}

/// Returns the engine with the fewest requests from all boxes; ties are broken at random.
fn least_loaded<'a>(
    servers: &[&'a Arc<Server>],
    request: Request<'_>,
    context: &mut RouterContext<'_>,
) -> Option<&'a Arc<Server>> {
    let draw: u64 = context.rng.random();
    servers.iter().copied().min_by_key(|server| {
        let running = running_requests(server, request.now, context);
        (running, routing::rank(draw, &server.id))
    })
}

/// Returns the first engine with a free slot in the rank order of the prompt's first part, or the least loaded if all
/// are full.
fn first_ranked_with_free_slot<'a>(
    servers: &[&'a Arc<Server>],
    request: Request<'_>,
    context: &mut RouterContext<'_>,
) -> Option<&'a Arc<Server>> {
    let part = request.prompt.parts.first().map_or(0, |part| part.id);
    let mut ranked = servers.to_vec();
    ranked.sort_by_key(|server| std::cmp::Reverse(routing::rank(part, &server.id)));
    let free = ranked.iter().copied().find(|server| running_requests(server, request.now, context) < server.slots);
    free.or_else(|| least_loaded(servers, request, context))
}

/// Builds a baseline's choice, with the load that the request adds to the server.
fn baseline_choice(server: Arc<Server>, request: Request<'_>) -> Choice {
    let work = placement::Work {
        held: request.prompt.tokens,
        urgency: request.class.urgency,
        gap_ms: request.class.gap_ms as u32,
        ..placement::Work::default()
    };
    Choice {
        answered: 0,
        known: false,
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

/// Returns the delay after which a refused caller retries. Unlike cleatshelf's, it knows no order among those refused.
fn retry_delay_ms(refusal: Refusal, rng: &mut ChaCha8Rng) -> Millis {
    let spread = rng.random_range(1.0..2.0);
    match refusal {
        Refusal::Overloaded { wait_ms } => ((wait_ms + OVERLOAD_RETRY_DELAY_MS as f64) * spread) as Millis,
        Refusal::BackingOff { retry_ms } | Refusal::Limited { retry_ms } => retry_ms.max(RETRY_DELAY_MS),
        Refusal::Shed { retry_ms } | Refusal::CustomerShare { retry_ms } => {
            (retry_ms.max(RETRY_DELAY_MS) as f64 * spread) as Millis
        }
        Refusal::NoServer | Refusal::Cold => RETRY_DELAY_MS,
    }
}

/// Builds the routing table of a deployment: one route per class, all to the same service.
pub(crate) fn routing_table(deployment: &Deployment, arm: Arm) -> Table {
    let engine_spec = &deployment.engine_spec;
    let engine = routing::Engine {
        slots: engine_spec.slots,
        memory_tokens: engine_spec.memory_tokens,
        token_bytes: engine_spec.token_bytes,
        link_mbps: engine_spec.link_mbps,
        tokens_per_event: engine_spec.tokens_per_event,
    };
    let service = Service { name: SERVICE.to_owned(), max_connections: 1_000, engine: Some(engine), cold_start: None };
    let routes = deployment.classes.iter().map(|class| {
        // Placement divides the engines by the shortest gap target of the routes; without any, it doesn't divide them.
        let gap_target = (arm != Arm::WithoutDivision).then(|| Duration::from_secs_f64(class.gap_ms / 1e3));
        Route {
            name: class.name.clone(),
            host: "a.example".to_owned(),
            prefix: format!("/{}/", class.name),
            kind: Kind::Stream { resumable: true },
            timeout: Duration::from_secs_f64(class.timeout_ms / 1e3),
            latency_target: Duration::from_secs_f64(class.target_ms / 1e3),
            gap_target,
            priority: class.urgency,
            shares: vec![Share { service: SERVICE.to_owned(), weight: 1 }],
            max_attempts: 2,
            no_auth: true,
            allowed_regions: None,
        }
    });
    Table::new(1, routes.collect(), vec![service])
}
