//! The configuration and the servers as known to this box, with their sources.

use super::codec::{compress, decode, decompress, encode};
use peers::{KnownVersions, Millis};
use relay::{Shared, View};
use routing::{Change, Digests, Directory, Evacuations, Excerpt, Position, Publisher, Subject, Table};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::Notify;

/// Grace period of a server whose entry disappeared while the publisher was away. Live servers are listed again within
/// about 2 s of the publisher's return; on the strictest site, a server that has left must receive nothing after 2 s.
const LAPSE_GRACE_MS: Millis = 1_500;

/// Time that an evacuation is held after the publisher was restored from an older copy that lacks it. Operators write
/// it again as soon as the publisher accepts writes. If it is dropped too early, an evacuated hall receives requests;
/// if too late, a hall that is back in service stays idle.
const EVACUATION_HOLD_TIMEOUT_MS: Millis = 10_000;

/// Time that a server that only an older copy of the list contains is not used while others are available. The entry of
/// a terminated server expires after three missed heartbeats of 1.2 s each.
const UNCONFIRMED_DELAY_MS: Millis = 4_000;

/// The source of an update, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    Publisher,
    Peer,
    /// The end of a grace or hold period in this box.
    Lapse,
}

/// An update that other boxes may not have yet.
pub(super) enum Update {
    Table,
    /// A new full list of servers, announced by heartbeats.
    Directory,
    Changes {
        since: Position,
        until: Position,
        changes: Vec<Change>,
    },
}

/// The newest configuration and servers that this box has received.
pub(super) struct ClusterState {
    shared: Arc<Shared>,
    publisher: Rc<dyn Publisher>,
    state: RefCell<State>,
    /// Notified of every update.
    pub(super) updated: Notify,
}

#[derive(Default)]
struct State {
    /// The configuration in force, and its published form compressed for peers.
    table: Option<(Arc<Table>, Rc<Vec<u8>>)>,
    /// Position of the publisher up to which that configuration is known to be the newest; `NONE` if unknown.
    table_until: Position,
    directory: Directory,
    /// The compressed excerpt of `directory` for a list with these digests; reset when `directory` changes.
    excerpt: Option<(Digests, Rc<Vec<u8>>)>,
    evacuations: Evacuations,
    /// Time since which evacuations are held although the publisher lacks them.
    held_since: Option<Millis>,
    /// Era of the publisher up to which no evacuations are held any more.
    released_era: u64,
    /// Start of the grace period of each lapsed server.
    lapsed_since: HashMap<String, Millis>,
    /// Updates not yet broadcast, in order.
    updates: Vec<Update>,
    /// Time of the last contact with the publisher or a watcher, even without an update.
    last_contact: Option<Millis>,
}

impl State {
    /// Records the start of the grace period of lapsed servers.
    fn record_lapses(&mut self, now: Millis) {
        let in_grace = &self.directory.in_grace;
        self.lapsed_since.retain(|id, _| in_grace.contains(id));
        for id in in_grace {
            self.lapsed_since.entry(id.clone()).or_insert(now);
        }
    }
}

impl ClusterState {
    pub(super) fn new(shared: Arc<Shared>, publisher: Rc<dyn Publisher>) -> Self {
        Self { shared, publisher, state: RefCell::default(), updated: Notify::new() }
    }

    /// Applies a configuration unless the one in force is at least as new. Returns false if it can't be decoded; the
    /// previous one then stays in force.
    pub(super) fn offer_table(&self, bytes: &[u8], origin: Origin) -> bool {
        let table = match self.publisher.decode(bytes) {
            Ok(table) => table,
            Err(why) => {
                telemetry::emit(Event::ReleaseRefused, format_args!("from={origin:?} why=\"{why}\""));
                return false;
            }
        };
        let mut state = self.state.borrow_mut();
        let current = state.table.as_ref().map(|(table, _)| table.version);
        if current.is_some_and(|version| version >= table.version) {
            return true;
        }
        telemetry::emit(
            Event::ReleaseInForce,
            format_args!("version={} routes={} from={origin:?}", table.version, table.len()),
        );
        state.table = Some((Arc::new(table), Rc::new(compress(bytes))));
        state.table_until = Position::NONE;
        self.put_in_force(&state);
        self.queue_update(&mut state, Update::Table);
        true
    }

    /// Records that the configuration in force is the newest at this position of the publisher.
    pub(super) fn confirm_table(&self, position: Position) {
        let mut state = self.state.borrow_mut();
        state.table_until = state.table_until.max(position);
    }

    /// Applies a compressed configuration from another box.
    pub(super) fn offer_compressed_table(&self, compressed: &[u8]) {
        match decompress(compressed) {
            Ok(bytes) => drop(self.offer_table(&bytes, Origin::Peer)),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Merges the evacuated halls, unless those of a later position are known. Evacuations that a restored copy of the
    /// publisher lacks are held until the operator has written again.
    pub(super) fn offer_evacuations(&self, mut evacuations: Evacuations, origin: Origin) {
        let mut state = self.state.borrow_mut();
        if evacuations.position.era <= state.released_era {
            // The hold period has ended in this box, even if other boxes still hold.
            evacuations.held.clear();
        }
        let former = state.evacuations.position;
        let changed = state.evacuations.merge(evacuations);
        if state.evacuations.position.restored_since(former) {
            let held = join_names(state.evacuations.held.iter().cloned());
            let held = format!("held={held}");
            let last_contact = state.last_contact;
            self.log_restored(Subject::Orders, (former, last_contact), state.evacuations.position, &held);
        }
        self.evacuations_changed(&mut state, changed, origin);
    }

    /// Applies evacuations that began (true) or ended (false) up to a position of the publisher.
    pub(super) fn change_evacuations(&self, changes: Vec<(String, bool)>, position: Position) {
        let mut state = self.state.borrow_mut();
        let changed = state.evacuations.apply(changes, position);
        self.evacuations_changed(&mut state, changed, Origin::Publisher);
    }

    fn evacuations_changed(&self, state: &mut State, changed: bool, origin: Origin) {
        let has_held = !state.evacuations.held.is_empty();
        state.held_since = if has_held { state.held_since.or(Some(self.shared.now())) } else { None };
        if !changed {
            return;
        }
        let position = state.evacuations.position;
        let halls = join_names(state.evacuations.evacuated_halls().into_iter());
        telemetry::emit(Event::HallsEvacuated, format_args!("position={position} halls={halls} from={origin:?}"));
        self.put_in_force(state);
        // The next heartbeat carries the evacuations and is sent immediately.
        self.updated.notify_one();
    }

    /// Drops held evacuations at the end of the hold period.
    fn release_held_evacuations(&self) {
        let mut state = self.state.borrow_mut();
        let now = self.shared.now();
        if state.held_since.is_none_or(|since| now < since + EVACUATION_HOLD_TIMEOUT_MS) {
            return;
        }
        state.released_era = state.evacuations.position.era;
        let changed = state.evacuations.drop_held();
        self.evacuations_changed(&mut state, changed, Origin::Lapse);
    }

    /// Logs that the publisher was restored from an older copy.
    fn log_restored(&self, subject: Subject, known: (Position, Option<Millis>), to: Position, kept: &str) {
        let (from, last_contact) = known;
        let age_ms = last_contact.map_or(0, |at| self.shared.now().saturating_sub(at));
        telemetry::emit(
            Event::StoreRestored,
            format_args!("subject={subject:?} from={from} to={to} heard_ms_ago={age_ms} {kept}"),
        );
    }

    /// Applies a full list of servers unless a newer one is known. If the publisher was away recently, entries that the
    /// list lacks may have only lapsed.
    pub(super) fn offer_directory(&self, mut directory: Directory, origin: Origin, was_away: bool) {
        let mut state = self.state.borrow_mut();
        if directory.position < state.directory.position {
            return;
        }
        let restored = directory.position.restored_since(state.directory.position);
        // Servers that this box has expired, or never had, are not restored by a lapse.
        let in_grace: Vec<String> = directory.in_grace.iter().cloned().collect();
        for id in in_grace.iter().filter(|id| !state.directory.servers.contains_key(*id)) {
            directory.expire(id);
        }
        if was_away || restored {
            directory.retain_missing(&state.directory);
        }
        if restored {
            self.mark_unconfirmed(&directory, &state);
        }
        let changed = directory.servers != state.directory.servers;
        let former = std::mem::replace(&mut state.directory, directory);
        state.excerpt = None;
        state.record_lapses(self.shared.now());
        if !changed && former.position.is_known() {
            return;
        }
        self.servers_changed(&state, origin);
        // After a change of era, peers request all differences.
        let update = if restored || !former.position.is_known() {
            Update::Directory
        } else {
            let (since, until) = (former.position, state.directory.position);
            Update::Changes { since, until, changes: state.directory.changes_since(&former) }
        };
        self.queue_update(&mut state, update);
    }

    /// Applies a sample of the servers, to serve with until the full list is known.
    pub(super) fn offer_sample(&self, sample: Directory) {
        let mut state = self.state.borrow_mut();
        if state.directory.position.is_known() {
            return;
        }
        if state.directory.merge_sample(sample) {
            self.servers_changed(&state, Origin::Publisher);
        }
    }

    /// Returns true if only a sample of the servers is known and it has no server for some service of the configuration
    /// in force.
    pub(super) fn lacks_servers(&self) -> bool {
        let state = self.state.borrow();
        let Some((table, _)) = &state.table else { return false };
        let served: HashSet<&str> = state.directory.servers.values().map(|server| server.service.as_str()).collect();
        !state.directory.position.is_known() && table.services.keys().any(|name| !served.contains(name.as_str()))
    }

    /// Returns the digests of the list of servers. A sample counts as empty, so that all boxes without the full list
    /// send the same request.
    pub(super) fn digests(&self) -> Digests {
        let state = self.state.borrow();
        if state.directory.position.is_known() {
            state.directory.digests()
        } else {
            Directory::default().digests()
        }
    }

    /// Marks instances that only an older copy of the list contains as unconfirmed: they may have terminated, and are
    /// not used while others are available until their entries would have expired.
    fn mark_unconfirmed(&self, copy: &Directory, state: &State) {
        let former = &state.directory;
        let unconfirmed = copy.new_instances(former);
        let kept = format!(
            "lapsed={} doubted={}",
            join_names(copy.in_grace.iter().cloned()),
            join_names(unconfirmed.iter().cloned())
        );
        self.log_restored(Subject::Directory, (former.position, state.last_contact), copy.position, &kept);
        self.shared.placement().mark_unconfirmed(&unconfirmed, self.shared.now() + UNCONFIRMED_DELAY_MS);
    }

    /// Returns the compressed entries that a list with these digests lacks; `None` if this box's list isn't newer. The
    /// result is cached, since many boxes that have just started send the same digests.
    pub(super) fn excerpt(&self, digests: &Digests) -> Option<Rc<Vec<u8>>> {
        let mut state = self.state.borrow_mut();
        if let Some((_, compressed)) = state.excerpt.as_ref().filter(|(known, _)| known == digests) {
            return Some(Rc::clone(compressed));
        }
        let compressed = Rc::new(encode(&state.directory.excerpt(digests)?));
        state.excerpt = Some((digests.clone(), Rc::clone(&compressed)));
        Some(compressed)
    }

    /// Applies compressed changes of servers from another box.
    pub(super) fn offer_compressed_changes(&self, compressed: &[u8], until: Position) {
        match decode(compressed) {
            Ok(changes) => self.offer_changes(changes, until, Origin::Peer),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Applies the compressed entries that this box's list lacked, from another box.
    pub(super) fn offer_excerpt(&self, compressed: &[u8]) {
        match decode::<Excerpt>(compressed) {
            Ok(excerpt) => {
                let known = self.directory();
                let known = if known.position.is_known() { known } else { Directory::default() };
                let directory = known.with_excerpt(excerpt);
                // The excerpt was made for a list that has changed since; the next heartbeat leads to a new request.
                let Some(directory) = directory else { return };
                self.offer_directory(directory, Origin::Peer, false);
            }
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Applies changes of servers up to `until`.
    pub(super) fn offer_changes(&self, changes: Vec<Change>, until: Position, origin: Origin) {
        let mut state = self.state.borrow_mut();
        let since = state.directory.position;
        if until.era != since.era {
            // Changes can't be applied to a list of another era.
            return;
        }
        if until <= since {
            // A late response to this box's own watch: the list already has these changes and later ones, which they
            // would revert.
            return;
        }
        self.confirm_instances(&changes);
        let changes = state.directory.changes_to_forward(changes);
        let changed = state.directory.apply(changes.clone(), until);
        state.excerpt = None;
        state.record_lapses(self.shared.now());
        if changed {
            self.servers_changed(&state, origin);
        }
        self.queue_update(&mut state, Update::Changes { since, until, changes });
    }

    /// Confirms instances that have written their entries: they are alive.
    fn confirm_instances(&self, changes: &[Change]) {
        let mut placement = self.shared.placement();
        for change in changes {
            if let Change::Present(server) = change {
                placement.confirm_instance(&server.id);
            }
        }
    }

    /// Removes lapsed servers after their grace period, and drops held evacuations after the hold period.
    pub(super) fn expire(&self) {
        self.release_held_evacuations();
        let now = self.shared.now();
        let mut state = self.state.borrow_mut();
        let expired: Vec<String> =
            state.lapsed_since.iter().filter(|(_, at)| now >= *at + LAPSE_GRACE_MS).map(|(id, _)| id.clone()).collect();
        if expired.is_empty() {
            return;
        }
        for id in &expired {
            state.directory.expire(id);
        }
        state.excerpt = None;
        state.record_lapses(self.shared.now());
        self.servers_changed(&state, Origin::Lapse);
    }

    fn queue_update(&self, state: &mut State, update: Update) {
        state.updates.push(update);
        self.updated.notify_one();
    }

    /// Takes the updates that have not been broadcast yet.
    pub(super) fn take_updates(&self) -> Vec<Update> {
        std::mem::take(&mut self.state.borrow_mut().updates)
    }

    fn servers_changed(&self, state: &State, origin: Origin) {
        let servers = state.directory.servers.len();
        telemetry::emit(
            Event::ServersChanged,
            format_args!("position={} servers={servers} from={origin:?}", state.directory.position),
        );
        self.put_in_force(state);
    }

    fn put_in_force(&self, state: &State) {
        let table = state.table.as_ref().map(|(table, _)| Arc::clone(table));
        let evacuations = state.evacuations.clone();
        self.shared.set_view(View { table, directory: Arc::new(state.directory.clone()), evacuations });
    }

    /// Records a contact with the publisher or a watcher.
    pub(super) fn record_contact(&self) {
        self.state.borrow_mut().last_contact = Some(self.shared.now());
    }

    /// Records that a watcher, which has the list of servers at this position, follows the publisher.
    pub(super) fn on_watcher_contact(&self, directory: Position) {
        self.shared.origins().record_contact(self.shared.now());
        if directory <= self.state.borrow().directory.position {
            self.on_list_complete();
        }
    }

    /// Records that this box has the complete list of servers.
    pub(super) fn on_list_complete(&self) {
        self.shared.on_list_complete(&self.state.borrow().directory.in_grace);
    }

    /// Records that the publisher has answered this box.
    pub(super) fn record_publisher_contact(&self) {
        self.record_contact();
        self.shared.origins().record_contact(self.shared.now());
    }

    /// Returns the time since the last contact with the publisher or a watcher; zero before the first.
    pub(super) fn age(&self) -> Duration {
        self.state.borrow().last_contact.map_or(Duration::ZERO, |at| Duration::from_millis(self.shared.now() - at))
    }

    /// Returns the versions of the state of this box.
    pub(super) fn known_versions(&self) -> KnownVersions {
        let state = self.state.borrow();
        let table = state.table.as_ref().map_or(0, |(table, _)| table.version);
        let evacuations = state.evacuations.clone();
        let suspects = self.shared.quarantine().digest(self.shared.now());
        let notices = self.shared.placement().notices_digest();
        let directory = state.directory.position;
        KnownVersions { table, table_until: state.table_until, directory, evacuations, suspects, notices }
    }

    /// Returns the configuration in force in its published form, compressed.
    pub(super) fn compressed_table(&self) -> Option<Rc<Vec<u8>>> {
        self.state.borrow().table.as_ref().map(|(_, bytes)| Rc::clone(bytes))
    }

    /// Returns the number of known servers.
    pub(super) fn server_count(&self) -> usize {
        self.state.borrow().directory.servers.len()
    }

    /// Returns the known servers.
    pub(super) fn directory(&self) -> Directory {
        self.state.borrow().directory.clone()
    }
}

/// Joins names for the log, whose fields contain no spaces.
fn join_names(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    if names.is_empty() {
        "-".to_owned()
    } else {
        names.join(",")
    }
}
