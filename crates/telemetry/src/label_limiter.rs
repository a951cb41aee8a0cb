//! A bound on the number of metric series that customers can make.

use std::collections::HashSet;

/// The label of every customer beyond the bound.
const OTHER: &str = "other";

/// Names that may become a metric label; all further names share one label.
///
/// 28,000 customers times three histograms would be more than a scrape can carry.
#[derive(Clone, Debug)]
pub struct LabelLimiter {
    /// Never holds more than `bound` names.
    named: HashSet<String>,
    /// The most names that get a label of their own.
    bound: usize,
}

impl LabelLimiter {
    /// A set that gives at most `bound` names a label of their own.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self { named: HashSet::new(), bound }
    }

    /// The label for `name`: itself while there is room, then `other`.
    pub fn label(&mut self, name: &str) -> String {
        if self.named.contains(name) {
            return name.to_owned();
        }
        if self.named.len() >= self.bound {
            return OTHER.to_owned();
        }
        self.named.insert(name.to_owned());
        name.to_owned()
    }
}
