//! All services of a box.

use crate::notices::Notices;
use crate::pool::Pool;
use crate::{
    Choice, ColdAllowance, Ending, Limit, LimitUpdate, Millis, PlacementRequest, Prompt, Refusal, RetryBudget,
    ServerStatus, Work,
};
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use routing::{Directory, Evacuations, HallRegions, Server, Table};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Boxes that are assumed before others were heard of: as many as a small deployment has, so that a box
/// that has just started takes no more than its part of the budget.
const INITIAL_BOX_COUNT: usize = 8;

/// What is published and in force on this box.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The configuration.
    pub table: &'a Table,
    /// The servers.
    pub directory: &'a Directory,
    /// The evacuated halls.
    pub evacuations: &'a Evacuations,
}

/// Chooses servers and keeps the records behind the choices.
#[derive(Clone, Debug)]
pub struct Placement {
    /// This box's hall.
    hall: String,
    /// What second sends a service may get; each service has one of its own.
    budget: RetryBudget,
    budgets: HashMap<String, RetryBudget>,
    /// By service.
    pools: HashMap<String, Pool>,
    /// The servers that pools and notices were told of, by name.
    listed: OrdMap<String, Arc<Server>>,
    /// The evacuated halls that the pools were told of.
    evacuated: BTreeSet<String>,
    /// What servers said of themselves.
    notices: Notices,
    /// Boxes that share the budget, this one included.
    boxes: usize,
    /// What all boxes may send to a cold server.
    allowance: ColdAllowance,
    /// HallRegions of halls.
    regions: HallRegions,
    /// Differs from box to box.
    seed: u64,
}

impl Placement {
    /// A placement for a box of `hall`, whose services may get second sends by `budget`.
    #[must_use]
    pub fn new(hall: &str, budget: RetryBudget) -> Self {
        Self {
            hall: hall.to_owned(),
            budget,
            budgets: HashMap::new(),
            pools: HashMap::new(),
            listed: OrdMap::new(),
            evacuated: BTreeSet::new(),
            notices: Notices::default(),
            boxes: INITIAL_BOX_COUNT,
            allowance: ColdAllowance::default(),
            regions: HallRegions::new(),
            seed: 0,
        }
    }

    /// The same with this allowance for cold servers.
    #[must_use]
    pub fn with_allowance(self, allowance: ColdAllowance) -> Self {
        Self { allowance, ..self }
    }

    /// The same with a seed of its own, by which servers that cost the same are ordered.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// The same with these regions of halls.
    #[must_use]
    pub fn with_regions(self, regions: HallRegions) -> Self {
        Self { regions, ..self }
    }

    /// Takes what is in force from now on. What it costs goes by what differs from before.
    pub fn update(&mut self, in_force: &Snapshot<'_>, now: Millis) {
        let Snapshot { table, directory, evacuations } = in_force;
        for name in table.services.keys() {
            self.pools.entry(name.clone()).or_insert_with(|| Pool::new(self.seed));
        }
        for (name, pool) in &mut self.pools {
            Self::configure(pool, name, table, &self.allowance);
        }
        self.apply_servers(table, &directory.servers, evacuations, now);
        if self.evacuated != evacuations.evacuated_halls() {
            self.evacuated = evacuations.evacuated_halls();
            let members = self.pools.values_mut().flat_map(Pool::members_mut);
            members.for_each(|member| member.apply_halls(evacuations, &self.regions, now));
        }
        self.notices.expire(now);
    }

    /// Takes what the configuration says of a pool.
    fn configure(pool: &mut Pool, name: &str, table: &Table, allowance: &ColdAllowance) {
        let service = table.services.get(name);
        pool.set_gap_limit(table.min_gap_target(name).map_or(0.0, |gap| gap.as_secs_f64() * 1e3));
        pool.set_engine(service.and_then(|service| service.engine.clone()));
        pool.set_cold(service.and_then(|service| service.cold_start), allowance);
    }

    /// Takes the listed servers; records of others are dropped.
    fn apply_servers(
        &mut self,
        table: &Table,
        listed: &OrdMap<String, Arc<Server>>,
        evacuations: &Evacuations,
        now: Millis,
    ) {
        let former = std::mem::replace(&mut self.listed, listed.clone());
        // All that go before all that come: a life may have another name or service than it had.
        for change in former.diff(listed) {
            match change {
                DiffItem::Update { old: (_, old), new: (_, new) } if !same_entry(old, new) => self.remove(old, now),
                DiffItem::Remove(_, old) => self.remove(old, now),
                DiffItem::Update { .. } | DiffItem::Add(..) => {}
            }
        }
        for change in former.diff(listed) {
            let (DiffItem::Add(_, server) | DiffItem::Update { new: (_, server), .. }) = change else { continue };
            self.notices.on_listed(server);
            let pool = match self.pools.entry(server.service.clone()) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => {
                    let pool = entry.insert(Pool::new(self.seed));
                    Self::configure(pool, &server.service, table, &self.allowance);
                    pool
                }
            };
            let member = pool.upsert(server, now);
            member.apply_halls(evacuations, &self.regions, now);
            member.apply_notices(&self.notices);
        }
    }

    /// A life is no longer listed.
    fn remove(&mut self, server: &Server, now: Millis) {
        self.notices.on_unlisted(&server.id, now);
        if let Some(pool) = self.pools.get_mut(&server.service) {
            pool.remove(&server.id);
        }
    }

    /// Tells the pools of what a life said of itself.
    fn notify_pools(&mut self, instance: &str) {
        self.pools.values_mut().for_each(|pool| pool.apply_notices(instance, &self.notices));
    }

    /// The listed entry of a life, if there is one.
    #[must_use]
    pub fn listed(&self, instance: &str) -> Option<&Arc<Server>> {
        self.pools.values().find_map(|pool| pool.server(instance))
    }

    /// This life said that it leaves: it gets nothing any more. `listed` is what its entry says of that, if there is one. True
    /// when it wasn't known.
    pub fn record_leaving(&mut self, instance: &str, listed: Option<bool>, now: Millis) -> bool {
        let is_new = self.notices.record_leaving(instance, listed, now);
        if is_new {
            self.notify_pools(instance);
        }
        is_new
    }

    /// This life wants nothing from this box until then.
    pub fn record_back_off(&mut self, instance: &str, until: Millis) {
        self.notices.record_back_off(instance, until);
        self.notify_pools(instance);
    }

    /// This life names a limit in the answer to a request that was sent to it at `sent`. What all other boxes are to be told, where
    /// this wasn't known.
    #[must_use]
    pub fn record_limit(&mut self, instance: &str, limit: Limit, sent: Millis, now: Millis) -> Option<LimitUpdate> {
        let update = self.notices.record_limit(instance, limit, sent, now);
        if update.is_some() {
            self.limit_changed(instance);
        }
        update
    }

    /// Tells the pools of a life's limit; others are told of it while the life is listed.
    fn limit_changed(&mut self, instance: &str) {
        if let Some(server) = self.listed(instance).cloned() {
            self.notices.on_listed(&server);
        }
        self.notify_pools(instance);
    }

    /// Takes what another box knows of a life's limit. True when this wasn't known.
    pub fn on_limit_update(&mut self, update: &LimitUpdate, now: Millis) -> bool {
        let is_new = self.notices.on_limit_update(update, now);
        if is_new {
            self.limit_changed(&update.instance);
        }
        is_new
    }

    /// What listed lives that ever named a limit say of it.
    #[must_use]
    pub fn limit_updates(&self) -> Vec<LimitUpdate> {
        self.notices.limit_updates()
    }

    /// Leave for a server that names a limit was denied for a request of this urgency, and is until then.
    pub fn record_denial(&mut self, service: &str, id: &str, urgency: u8, until: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_denial(id, urgency, until);
        }
    }

    /// Only an older copy of the list has these lives, so that they may have ended: until then they get something only where
    /// no other server takes requests.
    pub fn mark_unconfirmed(&mut self, instances: &[String], until: Millis) {
        self.notices.mark_unconfirmed(instances, until);
        instances.iter().for_each(|instance| self.notify_pools(instance));
    }

    /// This life has not ended: it has written its entry.
    pub fn confirm_instance(&mut self, instance: &str) {
        if self.notices.confirm(instance) {
            self.notify_pools(instance);
        }
    }

    /// Lives that are listed and leave though their entries don't say so.
    #[must_use]
    pub fn leaving(&self) -> Vec<String> {
        self.notices.unpublished().iter().cloned().collect()
    }

    /// Lives that want nothing from this box, each with the milliseconds left.
    #[must_use]
    pub fn backing_off(&self, now: Millis) -> BTreeMap<String, Millis> {
        self.notices.backing_off(now)
    }

    /// Equal for boxes that know the same of what servers said of themselves to all boxes.
    #[must_use]
    pub fn notices_digest(&self) -> u64 {
        self.notices.digest()
    }

    /// False where a request that was to go to this server must not leave this box any more: what was chosen a moment ago
    /// may have said something of itself since, or have gone. `leave` is true where leave was given for it.
    #[must_use]
    pub fn may_send(&self, service: &str, id: &str, permitted: bool, now: Millis) -> bool {
        let Some(pool) = self.pools.get(service) else { return true };
        let open = pool.admission_state(id, now).is_some_and(|standing| !standing.is_blocked());
        open && (permitted || !pool.is_limited(id))
    }

    /// Takes how many boxes share the budget, this one included.
    pub fn set_box_count(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
    }

    /// Servers whose owners are worth asking before a choice, the most likely one first.
    #[must_use]
    pub fn servers_to_query(&mut self, request: &PlacementRequest<'_>, max: usize) -> Vec<Arc<Server>> {
        self.pools
            .get_mut(request.service)
            .map_or_else(Vec::new, |pool| pool.servers_to_query(request, &self.hall, max))
    }

    /// Tokens of parts that a server of this service can keep.
    #[must_use]
    pub fn cache_capacity(&self, service: &str) -> u64 {
        self.pools.get(service).map_or(0, Pool::cache_capacity)
    }

    /// Takes what the owner of a server said.
    pub fn on_status(&mut self, service: &str, id: &str, status: ServerStatus, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_status(id, status, now);
        }
    }

    /// Chooses a server.
    ///
    /// # Errors
    /// [`Refusal`] when none may be tried.
    pub fn choose(&mut self, request: &PlacementRequest<'_>) -> Result<Choice, Refusal> {
        self.pools.get_mut(request.service).ok_or(Refusal::NoServer)?.choose(request, &self.hall)
    }

    /// Counts a request for a service; to be called once for each.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        self.budget_of(service).record_request(now);
    }

    /// Takes a second send from the service's budget; false when it is used up.
    pub fn take_retry(&mut self, service: &str, now: Millis) -> bool {
        let boxes = self.boxes;
        self.budget_of(service).take_retry(boxes, now)
    }

    fn budget_of(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), self.budget.clone());
        }
        self.budgets.get_mut(service).expect("just inserted")
    }

    /// A request is being sent.
    pub fn record_sent(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_sent(id, work);
        }
    }

    /// A request's prompt has been read: its first event came, or it ended.
    pub fn record_prefilled(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_prefilled(id, work);
        }
    }

    /// A pause has made a request's answer late.
    pub fn record_late(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_late(id, work);
        }
    }

    /// A server has answered a prompt, so that its parts are in the server's memory.
    pub fn record_cached(&mut self, service: &str, id: &str, prompt: &Prompt) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_cached(id, prompt);
        }
    }

    /// A send ended badly, and its end was not told yet as that.
    pub fn record_ending(&mut self, service: &str, id: &str, ending: Ending, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_ending(id, ending, now);
        }
    }

    /// A request's send has ended; [`Placement::record_prefilled`] was called before, and [`Placement::record_late`].
    pub fn record_end(&mut self, service: &str, id: &str, work: Work, ending: Ending, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_end(id, work, ending, now);
        }
    }
}

/// True where both entries are of one life in one pool.
fn same_entry(one: &Server, other: &Server) -> bool {
    one.id == other.id && one.service == other.service
}
