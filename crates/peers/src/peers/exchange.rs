//! What a box asks for, since another knows it, and what it gives.

use super::Peers;
use crate::{Action, Heartbeat, Message, Millis, Roster, Subject};
use routing::{Evacuations, Position};
use std::net::SocketAddr;

/// Pause between two questions for the same thing.
const WANT_EVERY: Millis = 300;

/// The same for a first list of servers: some tens of kilobytes for each of a hundred boxes take a small link
/// seconds, and whoever asks again meanwhile gets all of it twice.
const FIRST_LIST_EVERY: Millis = 2_500;

/// The same for the boxes known: a list for each of some hundred boxes fills a small link while all start,
/// and nothing waits for it.
const MEMBERS_EVERY: Millis = 1_500;

/// The same for requests that end servers, and for servers that leave: each box is told of them as they are
/// found, and asks only where that was lost.
const TOLD_EVERY: Millis = 1_000;

impl Peers {
    /// Asks for what another box knows and this one doesn't.
    pub(super) fn take_holdings(
        &mut self,
        from: SocketAddr,
        table: u64,
        directory: Position,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if table > self.holding.table {
            self.want(from, Subject::Table, now, actions);
        }
        if directory > self.holding.directory {
            self.want(from, Subject::Directory, now, actions);
        }
    }

    pub(super) fn take_heartbeat(&mut self, from: SocketAddr, beat: Heartbeat, now: Millis, actions: &mut Vec<Action>) {
        self.hear(from, &beat.profile, now, actions);
        if let Some(member) = self.members.get_mut(&from) {
            member.tried = Some(now);
            member.watched = beat.watches.then_some(now);
            member.begins = if !beat.directory.is_known() { member.begins.or(Some(now)) } else { None };
        }
        self.take_holdings(from, beat.table, beat.directory, now, actions);
        if beat.table == self.holding.table && beat.table_until > self.holding.table_until {
            actions.push(Action::TableUntil(beat.table_until));
        }
        self.take_evacuations(beat.evacuations, actions);
        if beat.suspects != self.holding.suspects {
            self.want(from, Subject::Suspects, now, actions);
        }
        if beat.notices != self.holding.notices {
            self.want(from, Subject::Notices, now, actions);
        }
        if beat.members == self.digest {
            self.compare(beat.members, now);
        } else {
            self.want(from, Subject::Members, now, actions);
        }
    }

    pub(super) fn take_evacuations(&self, evacuations: Evacuations, actions: &mut Vec<Action>) {
        let known = &self.holding.evacuations;
        let more = evacuations.position == known.position && evacuations.held != known.held;
        if evacuations.position > known.position || more {
            actions.push(Action::Evacuations(evacuations));
        }
    }

    pub(super) fn want(&mut self, from: SocketAddr, subject: Subject, now: Millis, actions: &mut Vec<Action>) {
        let last = self.wanted.get(&(subject as u8)).copied();
        let pause = match subject {
            Subject::Members => MEMBERS_EVERY,
            Subject::Directory if !self.holding.directory.is_known() => FIRST_LIST_EVERY,
            Subject::Directory | Subject::Table => WANT_EVERY,
            Subject::Suspects | Subject::Notices => TOLD_EVERY,
        };
        if last.is_none_or(|at| now >= at + pause) {
            self.wanted.insert(subject as u8, now);
            actions.push(match subject {
                Subject::Directory => Action::RequestDirectory(from),
                Subject::Suspects => Action::SyncSuspects(from),
                Subject::Notices => Action::SyncNotices(from),
                Subject::Table | Subject::Members => Action::Send(from, Message::Want(subject)),
            });
        }
    }

    pub(super) fn give(&self, to: SocketAddr, subject: Subject, actions: &mut Vec<Action>) {
        actions.push(match subject {
            Subject::Table => Action::SendTable(to),
            // Asked for with what the asker has, in messages of their own.
            Subject::Directory | Subject::Suspects | Subject::Notices => return,
            Subject::Members => Action::Send(to, Message::Members(Roster::new(self.members()))),
        });
    }

    pub(super) fn take_changes(
        &mut self,
        from: SocketAddr,
        since: Position,
        until: Position,
        packed: Vec<u8>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if until <= self.holding.directory {
            return;
        }
        if since > self.holding.directory {
            self.want(from, Subject::Directory, now, actions);
        } else {
            actions.push(Action::Changes(packed, until));
        }
    }
}
