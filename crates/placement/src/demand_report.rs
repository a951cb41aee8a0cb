//! Demand for a service as exchanged between boxes: by urgency class and by customer.

use crate::{ClassCounts, CustomerReport, CustomerSums, Millis, ShortageSums};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Customers that are listed in the sum over all boxes.
const MAX_CUSTOMERS: usize = 8;

/// Demand for one service, on one box or on all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests of the last five seconds by urgency class.
    pub classes: ClassCounts,
    /// The customers with the most work; empty while no class is short of slots.
    pub customers: CustomerReport,
}

/// Sums the demand of all boxes for one service.
#[derive(Clone, Debug, Default)]
pub struct DemandSums {
    classes: ShortageSums,
    customers: CustomerSums,
}

impl DemandSums {
    /// Records the report of the box `from` in place of its previous one.
    pub fn on_report(&mut self, from: SocketAddr, report: &DemandReport, now: Millis) {
        self.classes.on_report(from, &report.classes, now);
        if report.customers != CustomerReport::default() {
            self.customers.on_report(from, &report.customers, now);
        }
    }

    /// Returns the sum of the reports of the last second.
    pub fn sum(&mut self, now: Millis) -> DemandReport {
        DemandReport { classes: self.classes.sum(now), customers: self.customers.sum(MAX_CUSTOMERS, now) }
    }
}
