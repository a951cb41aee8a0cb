//! Which listed instances may have ended.
//!
//! An instance whose address refuses connections has probably ended, and a later life may answer under its name and at its
//! address. A refusal proves neither: it may come from the network, and an answer doesn't tell its life. So an instance
//! that was seen to end is in doubt, until the list shows another one or proves that it is still the same.
//!
//! A later life writes its entry when it starts. If a server accepts connections and the list, as of a while later, still
//! has the old entry, the instance has not ended.

use crate::Millis;
use std::collections::HashMap;

/// Time after which the list shows an instance that accepts connections: servers write their entries about every 1.2 s,
/// and a box hears of changes at most some tenths of a second after the watchers.
const ENTRY_DELAY: Millis = 2_000;

/// Time after an observed end from which an answer on an older connection disproves it. Data sent before the end may be read
/// late, by a box that had no processor time for some tenths of a second.
const LATE_READ_LIMIT: Millis = 1_000;

/// Instances whose end was reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lives {
    /// By instance id. Only listed instances.
    reported: HashMap<String, Report>,
}

/// What is known of an instance whose end was reported.
#[derive(Clone, Debug)]
enum Report {
    /// It may have ended.
    Doubted {
        /// Time of the last observation of its end.
        since: Millis,
        /// When a server first accepted a connection at its address after that.
        accepted: Option<Millis>,
    },
    /// It was alive at this time.
    Alive(Millis),
}

impl Lives {
    /// Records that the instance was seen to end at `at`. Returns true if it is in doubt from now on.
    pub(crate) fn record_ended(&mut self, instance: &str, at: Millis) -> bool {
        let doubted = Report::Doubted { since: at, accepted: None };
        match self.reported.get_mut(instance) {
            None => {
                self.reported.insert(instance.to_owned(), doubted);
                true
            }
            Some(Report::Alive(alive_at)) if at <= *alive_at => false,
            Some(report @ Report::Alive(_)) => {
                *report = doubted;
                true
            }
            Some(Report::Doubted { since, accepted }) => {
                *since = at.max(*since);
                *accepted = accepted.filter(|accepted| *accepted > *since);
                false
            }
        }
    }

    /// Records an answer of the instance, at `now`, on a connection that was opened at `opened`. Returns true if this proves
    /// that it has not ended.
    pub(crate) fn record_answer(&mut self, instance: &str, opened: Millis, now: Millis) -> bool {
        let Some(report) = self.reported.get_mut(instance) else { return false };
        match report {
            Report::Doubted { since, .. } if now < *since + LATE_READ_LIMIT => false,
            Report::Doubted { since, accepted } if opened > *since => {
                accepted.get_or_insert(now);
                false
            }
            // Its connection is older than the observed end.
            Report::Doubted { .. } => {
                *report = Report::Alive(now);
                true
            }
            Report::Alive(_) => false,
        }
    }

    /// Records another box's proof that the instance was alive at `at`. Returns true if it is no longer in doubt.
    pub(crate) fn record_alive(&mut self, instance: &str, at: Millis) -> bool {
        match self.reported.get_mut(instance) {
            Some(report @ Report::Doubted { .. }) if report.is_disproved_by(at) => {
                *report = Report::Alive(at);
                true
            }
            Some(Report::Alive(alive_at)) => {
                *alive_at = at.max(*alive_at);
                false
            }
            Some(Report::Doubted { .. }) => false,
            None => {
                // The report of the end may arrive later.
                self.reported.insert(instance.to_owned(), Report::Alive(at));
                false
            }
        }
    }

    /// Records that the list is complete at `now`. Returns the instances that this proves to be alive, each with the time at
    /// which it was. `has_entry` is false for instances that are kept in the list although their entries are gone.
    pub(crate) fn record_listed(&mut self, has_entry: impl Fn(&str) -> bool, now: Millis) -> Vec<(String, Millis)> {
        let mut alive = Vec::new();
        for (instance, report) in &mut self.reported {
            if let Report::Doubted { accepted: Some(accepted), .. } = *report {
                if accepted + ENTRY_DELAY <= now && has_entry(instance) {
                    *report = Report::Alive(accepted);
                    alive.push((instance.clone(), accepted));
                }
            }
        }
        alive
    }

    /// Forgets an instance that is no longer listed.
    pub(crate) fn on_unlisted(&mut self, instance: &str) {
        self.reported.remove(instance);
    }

    /// True if the instance may have ended.
    pub(crate) fn is_doubted(&self, instance: &str) -> bool {
        self.reported.get(instance).is_some_and(Report::is_doubt)
    }

    /// True if the instance was proved to be alive after its end was reported.
    pub(crate) fn is_proved(&self, instance: &str) -> bool {
        matches!(self.reported.get(instance), Some(Report::Alive(_)))
    }

    /// Iterates over the instances that may have ended, each with the time at which it was last seen to, and true if a
    /// server accepts connections at its address.
    pub(crate) fn doubted(&self) -> impl Iterator<Item = (&str, Millis, bool)> {
        self.reported.iter().filter_map(|(instance, report)| match report {
            Report::Doubted { since, accepted } => Some((instance.as_str(), *since, accepted.is_some())),
            Report::Alive(_) => None,
        })
    }
}

impl Report {
    fn is_doubt(&self) -> bool {
        matches!(self, Self::Doubted { .. })
    }

    /// True if the instance can't have ended when it was seen to, since it was alive at `at`.
    fn is_disproved_by(&self, at: Millis) -> bool {
        matches!(self, Self::Doubted { since, .. } if at > *since)
    }
}
