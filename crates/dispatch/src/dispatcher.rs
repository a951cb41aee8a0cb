//! The dispatcher of the services that this box hands out slots for.

use crate::service::Service;
use crate::{Millis, Reply, ServerSlots, SlotRelease, SlotReply, SlotRequest, Summary};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Hands out the slots of services.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    /// By name. A service without servers stays, so that repeated requests are still recognized; their number is that
    /// of the services ever configured.
    services: BTreeMap<String, Service>,
    stopping: bool,
}

impl Dispatcher {
    /// Sets the servers of a service; without any, its requests are [`SlotReply::Unmanaged`]. Servers that are no longer
    /// listed get no grants; slots in use there stay in use until they are released or lapse.
    #[must_use]
    pub fn set_servers(&mut self, service: &str, servers: &[ServerSlots], now: Millis) -> Vec<Reply> {
        self.services.entry(service.to_owned()).or_default().set_servers(servers, now)
    }

    /// Handles a request; returns the replies to all requests that are decided by now.
    #[must_use]
    pub fn on_request(&mut self, from: SocketAddr, request: SlotRequest, now: Millis) -> Vec<Reply> {
        match self.services.get_mut(&request.service) {
            Some(service) if !self.stopping => service.on_request(from, request, now),
            _ => vec![Reply { to: from, reply: SlotReply::Unmanaged { number: request.number } }],
        }
    }

    /// Handles a release; unknown numbers are ignored.
    #[must_use]
    pub fn on_release(&mut self, from: SocketAddr, release: &SlotRelease, now: Millis) -> Vec<Reply> {
        let service = self.services.get_mut(&release.service);
        service.map_or_else(Vec::new, |service| service.on_release(from, release.number, release.ending, now))
    }

    /// Drops the requests and leases of a box that has left.
    #[must_use]
    pub fn on_box_left(&mut self, address: SocketAddr, now: Millis) -> Vec<Reply> {
        self.services.values_mut().flat_map(|service| service.on_box_left(address, now)).collect()
    }

    /// Refuses requests that can't start in time any more and ends lapsed leases. To be called every 10 ms while
    /// [`Dispatcher::is_idle`] is false.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<Reply> {
        self.services.values_mut().flat_map(|service| service.tick(now)).collect()
    }

    /// True if nothing waits and no slot is in use.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.services.values().all(Service::is_idle)
    }

    /// Answers all waiting requests with [`SlotReply::Unmanaged`], and so all later ones: this box is stopping.
    #[must_use]
    pub fn stop(&mut self) -> Vec<Reply> {
        self.stopping = true;
        self.services.values_mut().flat_map(Service::stop).collect()
    }

    /// Returns the state of each service.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        self.services.iter().map(|(name, service)| service.summary(name)).collect()
    }
}
