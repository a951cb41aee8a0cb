//! A limit on the number of metric series that customers can create.

use std::collections::HashSet;

/// The shared label of all names beyond the limit.
const OTHER_LABEL: &str = "other";

/// Assigns metric labels to names; names beyond a limit share one label.
///
/// A scrape can't carry three histograms for each of 28,000 customers.
#[derive(Clone, Debug)]
pub struct LabelLimiter {
    /// Names with a label of their own, at most `max_labels`.
    labelled: HashSet<String>,
    max_labels: usize,
}

impl LabelLimiter {
    /// Creates a limiter that gives at most `max_labels` names a label of their own.
    #[must_use]
    pub fn new(max_labels: usize) -> Self {
        Self { labelled: HashSet::new(), max_labels }
    }

    /// Returns the label for `name`: the name itself while the limit is not reached, otherwise `other`.
    pub fn label(&mut self, name: &str) -> String {
        if self.labelled.contains(name) {
            return name.to_owned();
        }
        if self.labelled.len() >= self.max_labels {
            return OTHER_LABEL.to_owned();
        }
        self.labelled.insert(name.to_owned());
        name.to_owned()
    }
}
