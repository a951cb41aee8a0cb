//! Services whose slots a dispatcher assigns.

use crate::member::Member;
use crate::placement::Placement;
use crate::pool::Pool;
use crate::{AdmissionState, Choice, Millis, PlacementRequest, Refusal};

/// A server whose slots a dispatcher assigns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainServer {
    /// Id of the instance.
    pub id: String,
    /// Number of requests that it may have at a time: those that it runs, and some that wait there.
    pub slots: u32,
    /// True if any suitable request may be sent to it.
    pub usable: bool,
}

/// Slots of a server for each request that may wait there. Between the end of a request and the start of the next one lie
/// four messages, some milliseconds in which the slot of a server that answers within 15 ms would be idle for a quarter
/// of the time.
const SLOTS_PER_WAITING: u32 = 4;

impl Placement {
    /// Sets the number of boxes in this box's region, including this one; 0 if the region isn't known. Slots of a plain
    /// service are assigned by a dispatcher where a region has more boxes than the service has slots there.
    pub fn set_region_boxes(&mut self, boxes: usize) {
        self.region_boxes = boxes;
    }

    /// True if a hall is in this box's region. Without configured regions all halls are one region.
    #[must_use]
    pub fn shares_region(&self, hall: &str) -> bool {
        self.regions.is_empty() || (self.regions.contains_key(hall) && self.regions.get(hall) == self.region())
    }

    /// Returns the region of this box's hall, if known.
    #[must_use]
    pub fn region(&self) -> Option<&String> {
        self.regions.get(&self.hall)
    }

    /// Returns the servers of a plain service in a region; none for other services. `None` stands for halls without a
    /// region.
    #[must_use]
    pub fn plain_servers(&self, service: &str, region: Option<&str>, now: Millis) -> Vec<PlainServer> {
        let pool = self.pools.get(service).filter(|pool| pool.is_plain());
        let members = pool.into_iter().flat_map(|pool| pool.members_in(region));
        let to_server = |member: &Member| PlainServer {
            id: member.server.id.clone(),
            slots: member.server.slots + member.server.slots.div_ceil(SLOTS_PER_WAITING),
            usable: member.admission_state(now) == AdmissionState::Open,
        };
        members.map(to_server).collect()
    }

    /// True if a dispatcher assigns the slots for this request in this box's region.
    #[must_use]
    pub fn assigns_slots(&self, request: &PlacementRequest<'_>) -> bool {
        let pool = self.pools.get(request.service);
        request.prompt.is_none()
            && request.allows_region(self.region().map(String::as_str))
            && pool.is_some_and(|pool| self.needs_dispatcher(pool, request.now))
    }

    /// Returns the services whose slots a dispatcher assigns in this box's region.
    #[must_use]
    pub fn assigned_services(&self, now: Millis) -> Vec<String> {
        let assigned = self.pools.iter().filter(|(_, pool)| self.needs_dispatcher(pool, now));
        assigned.map(|(name, _)| name.clone()).collect()
    }

    /// True if a dispatcher assigns the slots of the pool: they are scarce, or its servers must not turn requests away.
    fn needs_dispatcher(&self, pool: &Pool, now: Millis) -> bool {
        (pool.is_plain() && pool.is_brittle(now)) || self.has_scarce_slots(pool, now)
    }

    /// True if the pool is plain and has fewer slots in this box's region than the region has boxes. Servers that get
    /// nothing from any box don't count. A pool without slots has no use for a dispatcher.
    fn has_scarce_slots(&self, pool: &Pool, now: Millis) -> bool {
        if !pool.is_plain() {
            return false;
        }
        let members = pool.members_in(self.region().map(String::as_str));
        let mut slots = 0;
        // Stops early: a service may have thousands of servers, and this is evaluated for each request.
        for member in members.filter(|member| !member.admission_state(now).is_closed()) {
            slots += member.server.slots as usize;
            if slots >= self.region_boxes {
                return false;
            }
        }
        slots > 0
    }

    /// Returns the ids of the service's servers that must not go on with the request's stream.
    #[must_use]
    pub fn other_versions(&self, request: &PlacementRequest<'_>) -> Vec<String> {
        if request.version.is_none() {
            return Vec::new();
        }
        let servers = self.pools.get(request.service).into_iter().flat_map(Pool::servers);
        servers.filter(|server| !request.allows_version(server)).map(|server| server.id.clone()).collect()
    }

    /// Returns the choice of the server at which a dispatcher has assigned a slot to this request.
    ///
    /// # Errors
    /// [`Refusal`] if the request must not be sent there, for example because the server has announced since that it
    /// is leaving.
    pub fn choose_server(&mut self, request: &PlacementRequest<'_>, id: &str) -> Result<Choice, Refusal> {
        self.pools.get_mut(request.service).ok_or(Refusal::NoServer)?.choose_server(request, id, &self.hall)
    }
}
