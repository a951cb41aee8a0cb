//! What a box knows about the origins of streams.

use crate::{Answer, History, Millis, Origin, Record, Records, Stream};
use routing::{Directory, Table};

/// Records of single streams, and the versions that were listed lately.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    records: Records,
    history: History,
}

impl Origins {
    /// Records contact with the publisher, directly or through a box that watches it.
    pub fn record_contact(&mut self, now: Millis) {
        self.history.record_contact(now);
    }

    /// Applies the configuration and the servers in force from now on.
    pub fn update(&mut self, table: Option<&Table>, directory: &Directory, now: Millis) {
        self.history.update(table, directory, now);
    }

    /// Records that a stream of this route began at this box, or went on there. Its caller may come back until `expires`.
    pub fn begin(&mut self, stream: Stream, route: &str, origin: &Origin, expires: Millis, now: Millis) {
        self.records.begin(stream, route, origin, expires, now);
    }

    /// Applies another box's record.
    pub fn on_record(&mut self, record: &Record, now: Millis) {
        self.records.on_record(record, now);
    }

    /// Takes the records that other boxes must have: those of routes of which this box can't prove that all streams have
    /// one origin. Once it can't, that includes streams that began before.
    pub fn take_untold(&mut self, now: Millis) -> Vec<Record> {
        let history = &self.history;
        self.records.take_untold(|route| history.sole(route, now).is_none(), now)
    }

    /// Returns the records that other boxes were told, here or by others. A box that leaves hands them on.
    #[must_use]
    pub fn told(&self, now: Millis) -> Vec<Record> {
        self.records.told(now)
    }

    /// Returns the records that this box has told others, for those that may lack them since.
    #[must_use]
    pub fn told_by_me(&self, now: Millis) -> Vec<Record> {
        self.records.told_by_me(now)
    }

    /// Returns what this box knows about a stream of this route. `None` stands for a stream that its caller doesn't name.
    #[must_use]
    pub fn answer(&self, stream: Option<Stream>, route: &str, now: Millis) -> Answer {
        let recorded = stream.and_then(|stream| self.records.get(stream, now)).cloned();
        Answer { recorded, sole: self.history.sole(route, now) }
    }

    /// Returns the origin of a stream of this route from what this box and others know; `None` if it is unknown.
    ///
    /// `asked` is the number of boxes that were asked. While all of them are silent, this box may be cut off, and the list
    /// on which its own proof rests may be outdated.
    #[must_use]
    pub fn find(&self, route: &str, own: &Answer, others: &[Answer], asked: usize, now: Millis) -> Option<Origin> {
        let answers = || std::iter::once(own).chain(others);
        let mut recorded = answers().filter_map(|answer| answer.recorded.as_ref());
        if let Some(origin) = recorded.next() {
            return recorded.all(|other| other == origin).then(|| origin.clone());
        }
        if asked > 0 && others.is_empty() {
            return None;
        }
        let mut proved = answers().filter_map(|answer| answer.sole.as_ref());
        let origin = proved.next()?;
        let is_sole = proved.all(|other| other == origin) && !self.history.contradicts(route, origin, now);
        is_sole.then(|| origin.clone())
    }
}
