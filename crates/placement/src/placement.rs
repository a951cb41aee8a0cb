//! Placement for all services of a box.

use crate::admission::AdmissionSummary;
use crate::lives::Lives;
use crate::notices::Notices;
use crate::pool::Pool;
use crate::{
    Choice, ColdAllowance, DemandReport, Doubt, Ending, Limit, LimitUpdate, Loss, Millis, PlacementRequest, Prompt,
    Refusal, RetryBudget, ServerStatus, Work,
};
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use routing::{Directory, Evacuations, HallRegions, Server, Table, Version};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Number of boxes assumed before others are known: that of a small deployment, so that a box that has just started
/// takes no more than its share of the budget.
const INITIAL_BOX_COUNT: usize = 8;

/// The published state that this box applies.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The configuration.
    pub table: &'a Table,
    /// The servers.
    pub directory: &'a Directory,
    /// The evacuated halls.
    pub evacuations: &'a Evacuations,
}

/// Chooses servers and keeps the records that the choices are based on.
#[derive(Clone, Debug)]
pub struct Placement {
    /// This box's hall.
    pub(crate) hall: String,
    /// Template for the budget of second sends; each service has a budget of its own.
    budget: RetryBudget,
    budgets: HashMap<String, RetryBudget>,
    /// By service.
    pub(crate) pools: HashMap<String, Pool>,
    /// The servers known to pools and notices, by name.
    listed: OrdMap<String, Arc<Server>>,
    /// The evacuated halls known to the pools.
    evacuated: BTreeSet<String>,
    /// Notices by server instances.
    notices: Notices,
    /// Which of them may have ended.
    lives: Lives,
    /// Boxes that share the budget, including this one.
    boxes: usize,
    /// The requests that all boxes together may send to a cold server.
    allowance: ColdAllowance,
    /// Regions of halls.
    pub(crate) regions: HallRegions,
    /// Boxes in this box's region, including this one; 0 until they are known.
    pub(crate) region_boxes: usize,
    /// Differs from box to box.
    seed: u64,
}

impl Placement {
    /// Creates a placement for a box in `hall`, whose services may get second sends within `budget`.
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
            lives: Lives::default(),
            boxes: INITIAL_BOX_COUNT,
            allowance: ColdAllowance::default(),
            regions: HallRegions::new(),
            region_boxes: 0,
            seed: 0,
        }
    }

    /// Sets the allowance for cold servers.
    #[must_use]
    pub fn with_allowance(self, allowance: ColdAllowance) -> Self {
        Self { allowance, ..self }
    }

    /// Sets the seed by which servers with equal costs are ordered.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the regions of halls.
    #[must_use]
    pub fn with_regions(self, regions: HallRegions) -> Self {
        Self { regions, ..self }
    }

    /// Applies a new published state. The time taken depends on the differences to the former one.
    pub fn update(&mut self, snapshot: &Snapshot<'_>, now: Millis) {
        let Snapshot { table, directory, evacuations } = snapshot;
        for name in table.services.keys() {
            self.pools.entry(name.clone()).or_insert_with(|| Pool::new(self.seed));
        }
        for (name, pool) in &mut self.pools {
            Self::configure(pool, name, table, &self.allowance);
            pool.set_boxes(self.boxes);
        }
        self.apply_servers(table, &directory.servers, evacuations, now);
        if self.evacuated != evacuations.evacuated_halls() {
            self.evacuated = evacuations.evacuated_halls();
            let members = self.pools.values_mut().flat_map(Pool::members_mut);
            members.for_each(|member| member.apply_halls(evacuations, &self.regions, now));
        }
        self.notices.expire(now);
    }

    /// Applies the configuration of a pool.
    fn configure(pool: &mut Pool, name: &str, table: &Table, allowance: &ColdAllowance) {
        let service = table.services.get(name);
        pool.set_gap_limit(table.min_gap_target(name).map_or(0.0, |gap| gap.as_secs_f64() * 1e3));
        pool.set_engine(service.and_then(|service| service.engine.clone()));
        pool.set_cold(service.and_then(|service| service.cold_start), allowance);
    }

    /// Applies the listed servers; drops the records of others.
    fn apply_servers(
        &mut self,
        table: &Table,
        listed: &OrdMap<String, Arc<Server>>,
        evacuations: &Evacuations,
        now: Millis,
    ) {
        let former = std::mem::replace(&mut self.listed, listed.clone());
        // All removals come before all additions: an instance may have changed its name or service.
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

    /// Removes an instance that is no longer listed.
    fn remove(&mut self, server: &Server, now: Millis) {
        self.notices.on_unlisted(&server.id, now);
        self.lives.on_unlisted(&server.id);
        if let Some(pool) = self.pools.get_mut(&server.service) {
            pool.remove(&server.id);
        }
    }

    /// Notifies the pools that the notices of an instance have changed.
    fn notify_pools(&mut self, instance: &str) {
        self.pools.values_mut().for_each(|pool| pool.apply_notices(instance, &self.notices));
    }

    /// Returns the listed entry of an instance.
    #[must_use]
    pub fn listed(&self, instance: &str) -> Option<&Arc<Server>> {
        self.pools.values().find_map(|pool| pool.server(instance))
    }

    /// Records that an instance is leaving: it gets nothing any more. `listed` is what its entry shows, if there is
    /// one. True if this was new.
    pub fn record_leaving(&mut self, instance: &str, listed: Option<bool>, now: Millis) -> bool {
        let is_new = self.notices.record_leaving(instance, listed, now);
        if is_new {
            self.notify_pools(instance);
        }
        is_new
    }

    /// Records that an instance asked this box to back off until then.
    pub fn record_back_off(&mut self, instance: &str, until: Millis) {
        self.notices.record_back_off(instance, until);
        self.notify_pools(instance);
    }

    /// Records a limit from the answer to a request that was sent to the instance at `sent`. Returns the update for
    /// all other boxes if this was new.
    #[must_use]
    pub fn record_limit(&mut self, instance: &str, limit: Limit, sent: Millis, now: Millis) -> Option<LimitUpdate> {
        let update = self.notices.record_limit(instance, limit, sent, now);
        if update.is_some() {
            self.limit_changed(instance);
        }
        update
    }

    /// Notifies the pools of an instance's limit. Other boxes are notified only while the instance is listed.
    fn limit_changed(&mut self, instance: &str) {
        if let Some(server) = self.listed(instance).cloned() {
            self.notices.on_listed(&server);
        }
        self.notify_pools(instance);
    }

    /// Applies another box's update of a limit. True if this was new.
    pub fn on_limit_update(&mut self, update: &LimitUpdate, now: Millis) -> bool {
        let is_new = self.notices.on_limit_update(update, now);
        if is_new {
            self.limit_changed(&update.instance);
        }
        is_new
    }

    /// Returns the limits of all listed instances that have ever named one.
    #[must_use]
    pub fn limit_updates(&self) -> Vec<LimitUpdate> {
        self.notices.limit_updates()
    }

    /// Records that a permit for a server with a limit was denied to a request of this urgency, and that none is
    /// granted until then.
    pub fn record_denial(&mut self, service: &str, id: &str, urgency: u8, until: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_denial(id, urgency, until);
        }
    }

    /// Records that a server of the service said, to this box or to another one, that it falls over if it turns too many
    /// requests away. From then on requests are sent only where a slot is known to be free. Returns true if the other
    /// boxes should be told.
    #[must_use]
    pub fn record_brittle(&mut self, service: &str, now: Millis) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.record_brittle(now))
    }

    /// True while the servers of a service are brittle.
    #[must_use]
    pub fn is_brittle(&self, service: &str, now: Millis) -> bool {
        self.pools.get(service).is_some_and(|pool| pool.is_brittle(now))
    }

    /// Marks instances that only an older copy of the list has as possibly terminated: until then they get requests
    /// only if no other server is available.
    pub fn mark_unconfirmed(&mut self, instances: &[String], until: Millis) {
        self.notices.mark_unconfirmed(instances, until);
        instances.iter().for_each(|instance| self.notify_pools(instance));
    }

    /// Records that an instance has not terminated: it has written its entry.
    pub fn confirm_instance(&mut self, instance: &str) {
        if self.notices.confirm(instance) {
            self.notify_pools(instance);
        }
    }

    /// Returns the listed instances that are leaving though their entries don't show it.
    #[must_use]
    pub fn leaving(&self) -> Vec<String> {
        self.notices.unpublished().iter().cloned().collect()
    }

    /// Returns the instances that asked this box to back off, each with the milliseconds left.
    #[must_use]
    pub fn backing_off(&self, now: Millis) -> BTreeMap<String, Millis> {
        self.notices.backing_off(now)
    }

    /// Returns a digest that is equal on boxes with the same notices, as far as these concern all boxes.
    #[must_use]
    pub fn notices_digest(&self) -> u64 {
        self.notices.digest()
    }

    /// False if a request must not be sent to this server any more: since it was chosen, it may have given a notice
    /// or been removed. `permitted` is true if a permit was granted.
    #[must_use]
    pub fn may_send(&self, service: &str, id: &str, permitted: bool, now: Millis) -> bool {
        let Some(pool) = self.pools.get(service) else { return true };
        let open = pool.admission_state(id, now).is_some_and(|state| !state.is_blocked());
        open && (permitted || !pool.is_limited(id))
    }

    /// Records that an instance was seen to end at `at`. If a later life may have its id, it isn't known any more who answers
    /// in its name, nor which software version, until the list tells. Returns true if that is new.
    pub fn record_ended(&mut self, instance: &str, at: Millis) -> bool {
        if !self.may_return(instance) {
            return false;
        }
        let is_new = self.lives.record_ended(instance, at);
        if is_new {
            self.set_doubted(instance, true);
        }
        is_new
    }

    /// Returns the listed instances that may have ended, for a box that has just got the list.
    #[must_use]
    pub fn doubts(&self, now: Millis) -> Vec<Doubt> {
        let doubted = self.lives.doubted();
        doubted.map(|(server, at, _)| Doubt { server: server.to_owned(), ago: now.saturating_sub(at) }).collect()
    }

    /// True if a later life of a listed instance may have its id.
    fn may_return(&self, instance: &str) -> bool {
        self.listed(instance).is_some_and(|server| server.id != server.name)
    }

    /// Records an answer of the instance, at `now`, on a connection that was opened at `opened`. Returns true if this proves
    /// that the instance has not ended as it was seen to.
    #[must_use]
    pub fn record_answer(&mut self, instance: &str, opened: Millis, now: Millis) -> bool {
        let is_alive = self.lives.record_answer(instance, opened, now);
        if is_alive {
            self.set_doubted(instance, false);
        }
        is_alive
    }

    /// Records another box's proof that the instance was alive at `at`. Returns true if it was in doubt.
    pub fn record_alive(&mut self, instance: &str, at: Millis) -> bool {
        if !self.may_return(instance) {
            return false;
        }
        let is_alive = self.lives.record_alive(instance, at);
        if is_alive {
            self.set_doubted(instance, false);
        }
        is_alive
    }

    /// Records that the list of servers is complete at `now`, except for `lapsed`, the names of servers that are kept
    /// although their entries are gone. Returns the instances that this proves not to have ended, each with the time at which
    /// it was alive.
    #[must_use]
    pub fn record_listed(&mut self, lapsed: &BTreeSet<String>, now: Millis) -> Vec<(String, Millis)> {
        let pools = &self.pools;
        let has_entry = |instance: &str| {
            let server = pools.values().find_map(|pool| pool.server(instance));
            server.is_some_and(|server| !lapsed.contains(&server.name))
        };
        let alive = self.lives.record_listed(has_entry, now);
        for (instance, _) in &alive {
            self.set_doubted(instance, false);
        }
        alive
    }

    /// Returns the listed instances that may have ended.
    #[must_use]
    pub fn doubted(&self) -> Vec<Arc<Server>> {
        self.lives.doubted().filter_map(|(instance, ..)| self.listed(instance).cloned()).collect()
    }

    /// Returns those of them at whose address no server was found since.
    #[must_use]
    pub fn unreached(&self) -> Vec<Arc<Server>> {
        let unreached = self.lives.doubted().filter(|(.., is_reached)| !is_reached);
        unreached.filter_map(|(instance, ..)| self.listed(instance).cloned()).collect()
    }

    /// True if the instance was in doubt and is known to have lived on.
    #[must_use]
    pub fn is_proved(&self, instance: &str) -> bool {
        self.lives.is_proved(instance)
    }

    fn set_doubted(&mut self, instance: &str, is_doubted: bool) {
        self.pools.values_mut().for_each(|pool| pool.set_doubted(instance, is_doubted));
    }

    /// True if it is known which instance answers in the name of this one.
    #[must_use]
    pub fn is_identified(&self, instance: &str) -> bool {
        !self.lives.is_doubted(instance)
    }

    /// True if a listed server of the service runs this software version and accepts new requests.
    #[must_use]
    pub fn has_version(&self, service: &str, version: &Version) -> bool {
        let mut servers = self.pools.get(service).into_iter().flat_map(Pool::servers);
        servers.any(|server| server.version == *version && !server.draining)
    }

    /// Sets the number of boxes that share the budget, including this one.
    pub fn set_box_count(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
        self.pools.values_mut().for_each(|pool| pool.set_boxes(boxes));
    }

    /// Decides whether a new request is shed, and records it; to be called once per request. `customer` is a hash of the
    /// customer's name, and `draw` is uniform in 0..1.
    ///
    /// # Errors
    /// [`Refusal::Shed`] if a more urgent class is short of slots, [`Refusal::CustomerShare`] if its own class is and the
    /// customer is beyond its fair share.
    pub fn admit(&mut self, request: &PlacementRequest<'_>, customer: u64, draw: f64) -> Result<(), Refusal> {
        self.pools.get_mut(request.service).map_or(Ok(()), |pool| pool.admit(request, customer, draw))
    }

    /// True if the slots of a service's engines are short, as far as owners reported. False for plain servers.
    pub fn is_short(&mut self, service: &str, now: Millis) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.is_short(now))
    }

    /// Records that a request, passed to [`Placement::admit`] before, got nothing.
    pub fn record_lost(&mut self, service: &str, urgency: u8, loss: Loss, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_lost(urgency, loss, now);
        }
    }

    /// Returns what is held back of each service with engines.
    #[must_use]
    pub fn admission_summaries(&self, now: Millis) -> Vec<(String, AdmissionSummary)> {
        let summaries = self.pools.iter().map(|(service, pool)| (service, pool.admission_summary(now)));
        summaries.filter_map(|(service, summary)| Some((service.clone(), summary?))).collect()
    }

    /// Returns the demand for a service that this box counted, for queries to owners.
    #[must_use]
    pub fn demand_report(&self, service: &str, now: Millis) -> DemandReport {
        self.pools.get(service).map_or_else(DemandReport::default, |pool| pool.demand_report(now))
    }

    /// Returns the servers whose owners should be queried before a choice, the most likely choice first.
    #[must_use]
    pub fn servers_to_query(&mut self, request: &PlacementRequest<'_>, max: usize) -> Vec<Arc<Server>> {
        self.pools.get_mut(request.service).map_or_else(Vec::new, |pool| {
            let region = self.regions.get(&self.hall).map(String::as_str);
            pool.servers_to_query(request, &self.hall, region, max)
        })
    }

    /// Returns further servers whose owners should be queried since none of those that answered has room.
    #[must_use]
    pub fn further_servers_to_query(&mut self, request: &PlacementRequest<'_>, max: usize) -> Vec<Arc<Server>> {
        self.pools
            .get_mut(request.service)
            .map_or_else(Vec::new, |pool| pool.further_servers_to_query(request, &self.hall, max))
    }

    /// Records the result of a query of further owners, whose statuses `request` holds.
    pub fn record_search(&mut self, request: &PlacementRequest<'_>) {
        if let Some(pool) = self.pools.get_mut(request.service) {
            if pool.has_room(request, &self.hall) {
                pool.record_found();
            }
        }
    }

    /// Returns the tokens of parts that a server of this service can cache.
    #[must_use]
    pub fn cache_capacity(&self, service: &str) -> u64 {
        self.pools.get(service).map_or(0, Pool::cache_capacity)
    }

    /// Records the status of a server that its owner reported.
    pub fn on_status(&mut self, service: &str, id: &str, status: ServerStatus, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_status(id, status, now);
        }
    }

    /// Records that the owner of a server didn't answer a query in time.
    pub fn record_missed_status(&mut self, service: &str, id: &str, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_missed_status(id, now);
        }
    }

    /// Chooses a server.
    ///
    /// # Errors
    /// [`Refusal`] if no server may be used.
    pub fn choose(&mut self, request: &PlacementRequest<'_>) -> Result<Choice, Refusal> {
        self.pools.get_mut(request.service).ok_or(Refusal::NoServer)?.choose(request, &self.hall)
    }

    /// Records a request for a service; to be called once per request.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        self.budget_of(service).record_request(now);
    }

    /// Takes a second send from the service's budget; false if it is used up.
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

    /// Records that a request is being sent.
    pub fn record_sent(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_sent(id, work);
        }
    }

    /// Records that a request's prompt has been read: its first event came, or it ended.
    pub fn record_prefilled(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_prefilled(id, work);
        }
    }

    /// Records that a gap has made a request's answer late.
    pub fn record_late(&mut self, service: &str, id: &str, work: Work) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_late(id, work);
        }
    }

    /// Records that a server has answered a prompt, so that it has the prompt's parts in its cache.
    pub fn record_cached(&mut self, service: &str, id: &str, prompt: &Prompt) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_cached(id, prompt);
        }
    }

    /// Records a failed send whose end has not been recorded as a failure.
    pub fn record_ending(&mut self, service: &str, id: &str, ending: Ending, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_ending(id, ending, now);
        }
    }

    /// Records the end of a send; [`Placement::record_prefilled`] and [`Placement::record_late`] must have been
    /// called before.
    pub fn record_end(&mut self, service: &str, id: &str, work: Work, ending: Ending, now: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_end(id, work, ending, now);
        }
    }
}

/// True if both entries are of one instance in one pool.
fn same_entry(one: &Server, other: &Server) -> bool {
    one.id == other.id && one.service == other.service
}
