//! What this box knows of the configuration and the servers, and where it got it from.

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

/// How long a server stays in use whose entry went while the publisher was away. The platform has those back that live
/// within about 2 s of its return; on the strictest of the users' sites a server that has left must get nothing after 2 s.
const LAPSE_GRACE_MS: Millis = 1_500;

/// How long an evacuation holds that the publisher, back from an older copy, doesn't have: operators write again what was lost as
/// soon as the publisher takes it. Given up too early, an evacuated hall gets requests; too late, one that was given back stands
/// idle.
const EVACUATION_HOLD_TIMEOUT_MS: Millis = 10_000;

/// How long a server isn't used while others are that only an older copy of the list brings back: its entry ends after three
/// heartbeats that are missing, each 1.2 s on the users' deployments.
const UNCONFIRMED_DELAY_MS: Millis = 4_000;

/// Where news came from, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    Publisher,
    Peer,
    /// Nobody: an entry that lapsed did not come back.
    Lapse,
}

/// What this box learned and others may not know yet.
pub(super) enum Update {
    Table,
    /// A first list of servers: heartbeats say that it is there.
    Directory,
    Changes {
        since: Position,
        until: Position,
        changes: Vec<Change>,
    },
}

/// The newest configuration and servers that reached this box.
pub(super) struct ClusterState {
    shared: Arc<Shared>,
    publisher: Rc<dyn Publisher>,
    state: RefCell<State>,
    /// Told whenever there is news.
    pub(super) updated: Notify,
}

#[derive(Default)]
struct State {
    /// The configuration in force, and as it was published, packed for peers.
    table: Option<(Arc<Table>, Rc<Vec<u8>>)>,
    /// Where in the publisher's history that configuration was still the newest; none when this is not known.
    table_until: Position,
    directory: Directory,
    /// What a list with these digests lacks of the list above, packed; none once that has changed.
    excerpt: Option<(Digests, Rc<Vec<u8>>)>,
    evacuations: Evacuations,
    /// When some of them began to be held against the publisher's word; none while none are.
    held_since: Option<Millis>,
    /// Era of the publisher up to which nothing is held any more.
    released_era: u64,
    /// When each of the lapsed servers was noticed.
    lapsed_since: HashMap<String, Millis>,
    /// What others have not been told yet, in order.
    updates: Vec<Update>,
    /// When the publisher or a peer last said something, even if nothing new.
    last_contact: Option<Millis>,
}

impl State {
    /// Notes since when servers are lapsed.
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

    /// Takes a configuration; an older one than that in force is ignored. False when it can't be read, and the former
    /// one stays.
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

    /// The configuration in force was still the newest at this position of the publisher.
    pub(super) fn confirm_table(&self, position: Position) {
        let mut state = self.state.borrow_mut();
        state.table_until = state.table_until.max(position);
    }

    /// Takes a configuration as another box packed it.
    pub(super) fn offer_compressed_table(&self, compressed: &[u8]) {
        match decompress(compressed) {
            Ok(bytes) => drop(self.offer_table(&bytes, Origin::Peer)),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Takes which halls are evacuated, unless that is known of a later position. What an older copy of the publisher lacks is
    /// held until the operator has written again.
    pub(super) fn offer_evacuations(&self, mut evacuations: Evacuations, origin: Origin) {
        let mut state = self.state.borrow_mut();
        if evacuations.position.era <= state.released_era {
            // This box has waited long enough, whatever others do.
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

    /// Takes which evacuations began (true) or ended up to a position of the publisher, on top of what is known.
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
        // The next heartbeat carries them, and is due at once.
        self.updated.notify_one();
    }

    /// Gives up what is held against the publisher's word for too long.
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

    /// Logs that the publisher came back from an older copy.
    fn log_restored(&self, subject: Subject, known: (Position, Option<Millis>), to: Position, kept: &str) {
        let (from, last_contact) = known;
        let age_ms = last_contact.map_or(0, |at| self.shared.now().saturating_sub(at));
        telemetry::emit(
            Event::StoreRestored,
            format_args!("subject={subject:?} from={from} to={to} heard_ms_ago={age_ms} {kept}"),
        );
    }

    /// Takes a whole list of servers, unless a newer one is known. Right after the publisher was away, what the list lacks
    /// may have only lapsed.
    pub(super) fn offer_directory(&self, mut directory: Directory, origin: Origin, was_away: bool) {
        let mut state = self.state.borrow_mut();
        if directory.position < state.directory.position {
            return;
        }
        let restored = directory.position.restored_since(state.directory.position);
        // What this box has let go, or never had, doesn't come back for having lapsed.
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
        // Of another era others ask for all that differs.
        let update = if restored || !former.position.is_known() {
            Update::Directory
        } else {
            let (since, until) = (former.position, state.directory.position);
            Update::Changes { since, until, changes: state.directory.changes_since(&former) }
        };
        self.queue_update(&mut state, update);
    }

    /// Takes some of the servers, to serve with until the whole list is known.
    pub(super) fn offer_sample(&self, sample: Directory) {
        let mut state = self.state.borrow_mut();
        if state.directory.position.is_known() {
            return;
        }
        if state.directory.merge_sample(sample) {
            self.servers_changed(&state, Origin::Publisher);
        }
    }

    /// True while the configuration in force has services of which this box knows no server, and others that it doesn't know may be
    /// theirs.
    pub(super) fn lacks_servers(&self) -> bool {
        let state = self.state.borrow();
        let Some((table, _)) = &state.table else { return false };
        let served: HashSet<&str> = state.directory.servers.values().map(|server| server.service.as_str()).collect();
        !state.directory.position.is_known() && table.services.keys().any(|name| !served.contains(name.as_str()))
    }

    /// What this box's list of servers says, in brief. A sample counts as nothing: all boxes that lack the list ask the same.
    pub(super) fn digests(&self) -> Digests {
        let state = self.state.borrow();
        if state.directory.position.is_known() {
            state.directory.digests()
        } else {
            Directory::default().digests()
        }
    }

    /// Lives that only an older copy of the list has may have ended: they wait until their entries have had the time to go.
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

    /// What the list of servers with these digests lacks of this box's, packed; none where this box's isn't newer.
    /// Many boxes that have just started ask the same, and get the same.
    pub(super) fn excerpt(&self, digests: &Digests) -> Option<Rc<Vec<u8>>> {
        let mut state = self.state.borrow_mut();
        if let Some((_, compressed)) = state.excerpt.as_ref().filter(|(known, _)| known == digests) {
            return Some(Rc::clone(compressed));
        }
        let compressed = Rc::new(encode(&state.directory.excerpt(digests)?));
        state.excerpt = Some((digests.clone(), Rc::clone(&compressed)));
        Some(compressed)
    }

    /// Takes what became of servers, as another box packed it.
    pub(super) fn offer_compressed_changes(&self, compressed: &[u8], until: Position) {
        match decode(compressed) {
            Ok(changes) => self.offer_changes(changes, until, Origin::Peer),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Takes what this box's list of servers lacked, as another box packed it.
    pub(super) fn offer_excerpt(&self, compressed: &[u8]) {
        match decode::<Excerpt>(compressed) {
            Ok(excerpt) => {
                let known = self.directory();
                let known = if known.position.is_known() { known } else { Directory::default() };
                let directory = known.with_excerpt(excerpt);
                // Made for what this box has no more: the next heartbeat leads to another question.
                let Some(directory) = directory else { return };
                self.offer_directory(directory, Origin::Peer, false);
            }
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Takes what became of servers up to `until`.
    pub(super) fn offer_changes(&self, changes: Vec<Change>, until: Position, origin: Origin) {
        let mut state = self.state.borrow_mut();
        let since = state.directory.position;
        if until.era != since.era {
            // On top of another era's list they would be another list.
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

    /// A server that writes its entry lives.
    fn confirm_instances(&self, changes: &[Change]) {
        let mut placement = self.shared.placement();
        for change in changes {
            if let Change::Present(server) = change {
                placement.confirm_instance(&server.id);
            }
        }
    }

    /// Takes servers for gone that lapsed and did not come back in time, and gives up what was held for too long.
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

    /// What others have not been told yet; afterwards it counts as told.
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

    /// Notes that the publisher or a watcher was heard.
    pub(super) fn record_contact(&self) {
        self.state.borrow_mut().last_contact = Some(self.shared.now());
    }

    /// How long ago the publisher or a watcher was last heard; zero before.
    pub(super) fn age(&self) -> Duration {
        self.state.borrow().last_contact.map_or(Duration::ZERO, |at| Duration::from_millis(self.shared.now() - at))
    }

    /// How new this box's knowledge is.
    pub(super) fn known_versions(&self) -> KnownVersions {
        let state = self.state.borrow();
        let table = state.table.as_ref().map_or(0, |(table, _)| table.version);
        let evacuations = state.evacuations.clone();
        let suspects = self.shared.quarantine().digest(self.shared.now());
        let notices = self.shared.placement().notices_digest();
        let directory = state.directory.position;
        KnownVersions { table, table_until: state.table_until, directory, evacuations, suspects, notices }
    }

    /// The configuration in force as it was published, packed.
    pub(super) fn compressed_table(&self) -> Option<Rc<Vec<u8>>> {
        self.state.borrow().table.as_ref().map(|(_, bytes)| Rc::clone(bytes))
    }

    /// How many servers are known.
    pub(super) fn server_count(&self) -> usize {
        self.state.borrow().directory.servers.len()
    }

    /// The servers known.
    pub(super) fn directory(&self) -> Directory {
        self.state.borrow().directory.clone()
    }
}

/// Names for the log, where a field holds no blanks.
fn join_names(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    if names.is_empty() {
        "-".to_owned()
    } else {
        names.join(",")
    }
}
