//! Requests for data that another box has, and responses to such requests.

use super::Peers;
use crate::{Action, Heartbeat, Message, Millis, Subject};
use routing::{Evacuations, Position};
use std::net::SocketAddr;

/// Minimum interval between two requests for the same subject.
const REQUEST_INTERVAL: Millis = 300;

/// Request interval for the first list of servers. Sending some tens of kilobytes to each of a hundred boxes
/// takes seconds on a small link, and a box that repeats its request meanwhile would receive the list twice.
const FIRST_LIST_REQUEST_INTERVAL: Millis = 2_500;

/// Request interval for the known boxes. While some hundred boxes start, sending a list to each would fill a
/// small link, and nothing depends on a quick response.
const MEMBERS_REQUEST_INTERVAL: Millis = 1_500;

/// Request interval for suspect requests and server notices. They are broadcast as they are found, and are
/// only requested where a broadcast was lost.
const EXCHANGE_INTERVAL: Millis = 1_000;

impl Peers {
    /// Requests data of which another box has a newer version.
    pub(super) fn request_newer(
        &mut self,
        from: SocketAddr,
        table: u64,
        directory: Position,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if table > self.known.table {
            self.request(from, Subject::Table, now, actions);
        }
        if directory > self.known.directory {
            self.request(from, Subject::Directory, now, actions);
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.record_contact(from, &heartbeat.profile, now, actions);
        if let Some(member) = self.members.get_mut(&from).filter(|member| member.is_alive()) {
            member.last_heartbeat = Some(now);
            member.last_watching = heartbeat.watches.then_some(now);
            member.reading_since =
                if !heartbeat.directory.is_known() { member.reading_since.or(Some(now)) } else { None };
        }
        self.request_newer(from, heartbeat.table, heartbeat.directory, now, actions);
        if heartbeat.table == self.known.table && heartbeat.table_until > self.known.table_until {
            actions.push(Action::TableUntil(heartbeat.table_until));
        }
        self.on_evacuations(heartbeat.evacuations, actions);
        if heartbeat.suspects != self.known.suspects {
            self.request(from, Subject::Suspects, now, actions);
        }
        if heartbeat.notices != self.known.notices {
            self.request(from, Subject::Notices, now, actions);
        }
        if heartbeat.members == self.digest {
            self.compare_digest(heartbeat.members, now);
        } else {
            self.request(from, Subject::Members, now, actions);
        }
    }

    pub(super) fn on_evacuations(&self, evacuations: Evacuations, actions: &mut Vec<Action>) {
        let known = &self.known.evacuations;
        let held_differs = evacuations.position == known.position && evacuations.held != known.held;
        if evacuations.position > known.position || held_differs {
            actions.push(Action::Evacuations(evacuations));
        }
    }

    pub(super) fn request(&mut self, from: SocketAddr, subject: Subject, now: Millis, actions: &mut Vec<Action>) {
        let last = self.last_requested.get(&(subject as u8)).copied();
        let interval = match subject {
            Subject::Members => MEMBERS_REQUEST_INTERVAL,
            Subject::Directory if !self.known.directory.is_known() => FIRST_LIST_REQUEST_INTERVAL,
            Subject::Directory | Subject::Table => REQUEST_INTERVAL,
            Subject::Suspects | Subject::Notices => EXCHANGE_INTERVAL,
        };
        if last.is_none_or(|at| now >= at + interval) {
            self.last_requested.insert(subject as u8, now);
            actions.push(match subject {
                Subject::Directory => Action::RequestDirectory(from),
                Subject::Suspects => Action::SyncSuspects(from),
                Subject::Notices => Action::SyncNotices(from),
                Subject::Table | Subject::Members => Action::Send(from, Message::Want(subject)),
            });
        }
    }

    pub(super) fn on_want(&self, to: SocketAddr, subject: Subject, actions: &mut Vec<Action>) {
        actions.push(match subject {
            Subject::Table => Action::SendTable(to),
            // Requested by separate messages that contain the requester's state.
            Subject::Directory | Subject::Suspects | Subject::Notices => return,
            Subject::Members => Action::Send(to, Message::Members(self.roster())),
        });
    }

    pub(super) fn on_changes(
        &mut self,
        from: SocketAddr,
        since: Position,
        until: Position,
        packed: Vec<u8>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if until <= self.known.directory {
            return;
        }
        if since > self.known.directory {
            self.request(from, Subject::Directory, now, actions);
        } else {
            actions.push(Action::Changes(packed, until));
        }
    }
}
