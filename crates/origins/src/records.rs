//! Origins of single streams.

use crate::{Millis, Origin, Record, Stream};
use std::collections::{HashMap, HashSet};

/// Most records, at about 150 bytes each: more than a box began or was told in a minute on the largest fleet.
const MAX_RECORDS: usize = 32_768;

/// Share of the records that is dropped when there are too many: those whose callers may come back for the shortest
/// time. Their streams don't go on then.
const EVICTED_SHARE: usize = 4;

/// Interval between removals of records whose callers come back no more.
const EXPIRE_INTERVAL: Millis = 1_000;

/// The origins of streams whose callers may still come back.
#[derive(Clone, Debug, Default)]
pub struct Records {
    entries: HashMap<Stream, Entry>,
    /// Streams that began at this box and of which no other box was told, by route.
    untold: HashMap<String, Vec<Stream>>,
    expire_at: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if two origins were recorded, so that neither counts.
    origin: Option<Origin>,
    expires: Millis,
    /// The stream began at this box, or went on here.
    began_here: bool,
}

impl Records {
    /// Records that a stream of this route began at this box. Its caller may come back until `expires`.
    pub fn begin(&mut self, stream: Stream, route: &str, origin: &Origin, expires: Millis, now: Millis) {
        self.insert(stream, origin, expires, now);
        if let Some(entry) = self.entries.get_mut(&stream) {
            entry.began_here = true;
        }
        match self.untold.get_mut(route) {
            Some(streams) => streams.push(stream),
            None => drop(self.untold.insert(route.to_owned(), vec![stream])),
        }
    }

    /// Applies another box's record.
    pub fn on_record(&mut self, record: &Record, now: Millis) {
        let expires = now.saturating_add(record.left_ms.into());
        self.insert(record.stream, &record.origin, expires, now);
    }

    fn insert(&mut self, stream: Stream, origin: &Origin, expires: Millis, now: Millis) {
        self.expire(now);
        if self.entries.len() >= MAX_RECORDS && !self.entries.contains_key(&stream) {
            self.evict();
        }
        let entry = self.entries.entry(stream).or_insert_with(|| Entry {
            origin: Some(origin.clone()),
            expires,
            began_here: false,
        });
        entry.expires = entry.expires.max(expires);
        if entry.origin.as_ref() != Some(origin) {
            entry.origin = None;
        }
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: Stream, now: Millis) -> Option<&Origin> {
        self.entries.get(&stream).filter(|entry| entry.expires > now)?.origin.as_ref()
    }

    /// Takes the records of streams that began at this box on routes for which `is_due` holds, and of which no other box
    /// was told.
    pub fn take_untold(&mut self, is_due: impl Fn(&str) -> bool, now: Millis) -> Vec<Record> {
        self.expire(now);
        let mut due = Vec::new();
        for (route, streams) in &mut self.untold {
            if !streams.is_empty() && is_due(route) {
                due.append(streams);
            }
        }
        due.into_iter().filter_map(|stream| self.record(stream, now)).collect()
    }

    /// Returns the records of which other boxes were told, or which they told this one.
    #[must_use]
    pub fn told(&self, now: Millis) -> Vec<Record> {
        self.told_where(|_| true, now)
    }

    /// Returns the records of streams that began at this box and of which it told others.
    #[must_use]
    pub fn told_by_me(&self, now: Millis) -> Vec<Record> {
        self.told_where(|entry| entry.began_here, now)
    }

    fn told_where(&self, is_wanted: impl Fn(&Entry) -> bool, now: Millis) -> Vec<Record> {
        let untold: HashSet<&Stream> = self.untold.values().flatten().collect();
        let told = self.entries.iter().filter(|(stream, entry)| is_wanted(entry) && !untold.contains(stream));
        told.filter_map(|(stream, _)| self.record(*stream, now)).collect()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record(&self, stream: Stream, now: Millis) -> Option<Record> {
        let entry = self.entries.get(&stream)?;
        let left_ms = u32::try_from(entry.expires.checked_sub(now)?).unwrap_or(u32::MAX);
        Some(Record { stream, origin: entry.origin.clone()?, left_ms })
    }

    fn expire(&mut self, now: Millis) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRE_INTERVAL;
        self.entries.retain(|_, entry| entry.expires > now);
        self.drop_unrecorded();
    }

    /// Drops streams without a record from those to be told.
    fn drop_unrecorded(&mut self) {
        let entries = &self.entries;
        self.untold.retain(|_, streams| {
            streams.retain(|stream| entries.contains_key(stream));
            !streams.is_empty()
        });
    }

    fn evict(&mut self) {
        let mut times: Vec<Millis> = self.entries.values().map(|entry| entry.expires).collect();
        let (_, threshold, _) = times.select_nth_unstable(MAX_RECORDS / EVICTED_SHARE);
        let threshold = *threshold;
        self.entries.retain(|_, entry| entry.expires > threshold);
        self.drop_unrecorded();
    }
}
