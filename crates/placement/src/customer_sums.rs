//! Work of customers over all boxes.

use crate::customers::{keep_heaviest, CustomerReport, CustomerWork};
use crate::shedding::LastReports;
use crate::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which a sum is reused. At 585 boxes, a sum takes about 0.1 ms, too long for every query that an owner
/// answers.
const SUM_TTL: Millis = 50;

/// Sums the reports of boxes on the customers of a service, at the owner of a server.
#[derive(Clone, Debug, Default)]
pub struct CustomerSums {
    /// The last report of each box, normalized.
    reports: LastReports<CustomerReport>,
    /// The last sum, the `max` that it was made for, and its time.
    last: Option<(Millis, usize, CustomerReport)>,
}

impl CustomerSums {
    /// Records the report of the box `from`. It counts for one second or until its next report.
    pub fn on_report(&mut self, from: SocketAddr, report: &CustomerReport, now: Millis) {
        self.reports.record(from, report.normalized(), now);
    }

    /// Returns the work over all boxes, with at most `max` of the heaviest customers. A sum is up to 50 ms old.
    pub fn sum(&mut self, max: usize, now: Millis) -> CustomerReport {
        if let Some((at, listed, sum)) = &self.last {
            if *listed == max && (*at..at.saturating_add(SUM_TTL)).contains(&now) {
                return sum.clone();
            }
        }
        let sum = self.compute(max, now);
        self.last = Some((now, max, sum.clone()));
        sum
    }

    /// A box lists its heaviest customers only. The work that a customer has at the other boxes is estimated, since it
    /// would otherwise count less the more boxes don't list it.
    fn compute(&self, max: usize, now: Millis) -> CustomerReport {
        let mut total = 0_u32;
        // The callers of most customers are spread over many boxes, so the counts of boxes can't be added up.
        let mut count = 0.0_f64;
        let mut works: HashMap<u64, Listings> = HashMap::new();
        for report in self.reports.recent(now) {
            total = total.saturating_add(report.total);
            count = count.max(report.unlisted().count + report.heaviest.len() as f64);
            for listed in &report.heaviest {
                works.entry(listed.customer).or_default().work += f64::from(listed.work);
            }
        }
        count = count.max(works.len() as f64);
        let mut everywhere = Listings::default();
        for report in self.reports.recent(now) {
            let unlisted = count - report.heaviest.len() as f64;
            let mean = if unlisted > 0.0 { report.unlisted().work / unlisted } else { 0.0 };
            let lightest = report.heaviest.last().map_or(0.0, |lightest| f64::from(lightest.work));
            let bound = lightest.min(report.unlisted().work);
            everywhere.add_box(mean, bound);
            for listed in &report.heaviest {
                works.entry(listed.customer).or_default().add_box(mean, bound);
            }
        }
        let listed = works.iter().map(|(customer, listings)| CustomerWork {
            customer: *customer,
            work: listings.estimate(&everywhere).round() as u32,
        });
        let mut heaviest = listed.collect();
        keep_heaviest(&mut heaviest, max);
        CustomerReport { total, count: count.round() as u16, heaviest }
    }
}

/// The boxes that list a customer, or all boxes.
#[derive(Clone, Copy, Debug, Default)]
struct Listings {
    /// Work of the customer there.
    work: f64,
    /// Number of the boxes.
    boxes: f64,
    /// Sum of the mean work of customers that these boxes don't list.
    means: f64,
    /// Sum of the greatest work that a customer can have there without being listed.
    bounds: f64,
}

impl Listings {
    fn add_box(&mut self, mean: f64, bound: f64) {
        self.boxes += 1.0;
        self.means += mean;
        self.bounds += bound;
    }

    /// Returns the work of the customer at all boxes. At those that don't list it, it is taken to have the mean of
    /// unlisted customers, or more if many others list it: in a Zipf load, the mean alone gives half the work of the
    /// sixth to eighth customer.
    fn estimate(&self, everywhere: &Self) -> f64 {
        let by_bounds = unlisted_ratio(self.boxes / everywhere.boxes) * (everywhere.bounds - self.bounds);
        self.work + by_bounds.max(everywhere.means - self.means).max(0.0)
    }
}

/// Returns the expected work of a customer at a box that doesn't list it, relative to the least work that is listed, if
/// this share of boxes lists the customer and its work at boxes is distributed exponentially. From 0 to 0.5.
fn unlisted_ratio(listed_ratio: f64) -> f64 {
    // Tends to 0.5, but as the difference of two large numbers.
    if listed_ratio > 0.999 {
        return 0.5;
    }
    -1.0 / listed_ratio.ln() - listed_ratio / (1.0 - listed_ratio)
}
