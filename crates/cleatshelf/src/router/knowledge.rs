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
const LAPSED_MOST: Millis = 1_500;

/// How long an evacuation holds that the publisher, back from an older copy, doesn't have: operators write again what was lost as
/// soon as the publisher takes it. Given up too early, an evacuated hall gets requests; too late, one that was given back stands
/// idle.
const HELD_MOST: Millis = 10_000;

/// How long a server isn't used while others are that only an older copy of the list brings back: its entry ends after three
/// heartbeats that are missing, each 1.2 s on the users' deployments.
const DOUBT: Millis = 4_000;

/// Where news came from, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    Publisher,
    Peer,
    /// Nobody: an entry that lapsed did not come back.
    Lapse,
}

/// What this box learned and others may not know yet.
pub(super) enum News {
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
pub(super) struct Knowledge {
    shared: Arc<Shared>,
    publisher: Rc<dyn Publisher>,
    state: RefCell<State>,
    /// Told whenever there is news.
    pub(super) told: Notify,
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
    held: Option<Millis>,
    /// Era of the publisher up to which nothing is held any more.
    released: u64,
    /// When each of the lapsed servers was noticed.
    lapsed: HashMap<String, Millis>,
    /// What others have not been told yet, in order.
    news: Vec<News>,
    /// When the publisher or a peer last said something, even if nothing new.
    heard: Option<Millis>,
}

impl State {
    /// Notes since when servers are lapsed.
    fn note_lapses(&mut self, now: Millis) {
        let lapsed = &self.directory.in_grace;
        self.lapsed.retain(|id, _| lapsed.contains(id));
        for id in lapsed {
            self.lapsed.entry(id.clone()).or_insert(now);
        }
    }
}

impl Knowledge {
    pub(super) fn new(shared: Arc<Shared>, publisher: Rc<dyn Publisher>) -> Self {
        Self { shared, publisher, state: RefCell::default(), told: Notify::new() }
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
        self.tell(&mut state, News::Table);
        true
    }

    /// The configuration in force was still the newest at this position of the publisher.
    pub(super) fn table_stands(&self, position: Position) {
        let mut state = self.state.borrow_mut();
        state.table_until = state.table_until.max(position);
    }

    /// Takes a configuration as another box packed it.
    pub(super) fn offer_packed(&self, packed: &[u8]) {
        match decompress(packed) {
            Ok(bytes) => drop(self.offer_table(&bytes, Origin::Peer)),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Takes which halls are evacuated, unless that is known of a later position. What an older copy of the publisher lacks is
    /// held until the operator has written again.
    pub(super) fn offer_evacuations(&self, mut evacuations: Evacuations, origin: Origin) {
        let mut state = self.state.borrow_mut();
        if evacuations.position.era <= state.released {
            // This box has waited long enough, whatever others do.
            evacuations.held.clear();
        }
        let former = state.evacuations.position;
        let changed = state.evacuations.merge(evacuations);
        if state.evacuations.position.restored_since(former) {
            let held = list(state.evacuations.held.iter().cloned());
            let held = format!("held={held}");
            let heard = state.heard;
            self.log_restored(Subject::Orders, (former, heard), state.evacuations.position, &held);
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
        let holds = !state.evacuations.held.is_empty();
        state.held = if holds { state.held.or(Some(self.shared.now())) } else { None };
        if !changed {
            return;
        }
        let position = state.evacuations.position;
        let halls = list(state.evacuations.evacuated_halls().into_iter());
        telemetry::emit(Event::HallsEvacuated, format_args!("position={position} halls={halls} from={origin:?}"));
        self.put_in_force(state);
        // The next heartbeat carries them, and is due at once.
        self.told.notify_one();
    }

    /// Gives up what is held against the publisher's word for too long.
    fn release(&self) {
        let mut state = self.state.borrow_mut();
        let now = self.shared.now();
        if state.held.is_none_or(|since| now < since + HELD_MOST) {
            return;
        }
        state.released = state.evacuations.position.era;
        let changed = state.evacuations.drop_held();
        self.evacuations_changed(&mut state, changed, Origin::Lapse);
    }

    /// Logs that the publisher came back from an older copy.
    fn log_restored(&self, subject: Subject, known: (Position, Option<Millis>), to: Position, kept: &str) {
        let (from, heard) = known;
        let age_ms = heard.map_or(0, |at| self.shared.now().saturating_sub(at));
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
        let lapsed: Vec<String> = directory.in_grace.iter().cloned().collect();
        for id in lapsed.iter().filter(|id| !state.directory.servers.contains_key(*id)) {
            directory.expire(id);
        }
        if was_away || restored {
            directory.retain_missing(&state.directory);
        }
        if restored {
            self.doubt(&directory, &state);
        }
        let changed = directory.servers != state.directory.servers;
        let former = std::mem::replace(&mut state.directory, directory);
        state.excerpt = None;
        state.note_lapses(self.shared.now());
        if !changed && former.position.is_known() {
            return;
        }
        self.servers_changed(&state, origin);
        // Of another era others ask for all that differs.
        let news = if restored || !former.position.is_known() {
            News::Directory
        } else {
            let (since, until) = (former.position, state.directory.position);
            News::Changes { since, until, changes: state.directory.changes_since(&former) }
        };
        self.tell(&mut state, news);
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
    fn doubt(&self, copy: &Directory, state: &State) {
        let former = &state.directory;
        let doubted = copy.new_instances(former);
        let kept = format!("lapsed={} doubted={}", list(copy.in_grace.iter().cloned()), list(doubted.iter().cloned()));
        self.log_restored(Subject::Directory, (former.position, state.heard), copy.position, &kept);
        self.shared.placement().mark_unconfirmed(&doubted, self.shared.now() + DOUBT);
    }

    /// What the list of servers with these digests lacks of this box's, packed; none where this box's isn't newer.
    /// Many boxes that have just started ask the same, and get the same.
    pub(super) fn excerpt(&self, theirs: &Digests) -> Option<Rc<Vec<u8>>> {
        let mut state = self.state.borrow_mut();
        if let Some((_, packed)) = state.excerpt.as_ref().filter(|(digests, _)| digests == theirs) {
            return Some(Rc::clone(packed));
        }
        let packed = Rc::new(encode(&state.directory.excerpt(theirs)?));
        state.excerpt = Some((theirs.clone(), Rc::clone(&packed)));
        Some(packed)
    }

    /// Takes what became of servers, as another box packed it.
    pub(super) fn offer_packed_changes(&self, packed: &[u8], until: Position) {
        match decode(packed) {
            Ok(changes) => self.offer_changes(changes, until, Origin::Peer),
            Err(why) => telemetry::emit(Event::ReleaseRefused, format_args!("from=Peer why=\"{why}\"")),
        }
    }

    /// Takes what this box's list of servers lacked, as another box packed it.
    pub(super) fn offer_excerpt(&self, packed: &[u8]) {
        match decode::<Excerpt>(packed) {
            Ok(excerpt) => {
                let known = self.directory();
                let known = if known.position.is_known() { known } else { Directory::default() };
                let list = known.with_excerpt(excerpt);
                // Made for what this box has no more: the next heartbeat leads to another question.
                let Some(list) = list else { return };
                self.offer_directory(list, Origin::Peer, false);
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
        self.trust(&changes);
        let changes = state.directory.changes_to_forward(changes);
        let changed = state.directory.apply(changes.clone(), until);
        state.excerpt = None;
        state.note_lapses(self.shared.now());
        if changed {
            self.servers_changed(&state, origin);
        }
        self.tell(&mut state, News::Changes { since, until, changes });
    }

    /// A server that writes its entry lives.
    fn trust(&self, changes: &[Change]) {
        let mut placement = self.shared.placement();
        for change in changes {
            if let Change::Present(server) = change {
                placement.confirm_instance(&server.id);
            }
        }
    }

    /// Takes servers for gone that lapsed and did not come back in time, and gives up what was held for too long.
    pub(super) fn expire(&self) {
        self.release();
        let now = self.shared.now();
        let mut state = self.state.borrow_mut();
        let over: Vec<String> =
            state.lapsed.iter().filter(|(_, at)| now >= *at + LAPSED_MOST).map(|(id, _)| id.clone()).collect();
        if over.is_empty() {
            return;
        }
        for id in &over {
            state.directory.expire(id);
        }
        state.excerpt = None;
        state.note_lapses(self.shared.now());
        self.servers_changed(&state, Origin::Lapse);
    }

    fn tell(&self, state: &mut State, news: News) {
        state.news.push(news);
        self.told.notify_one();
    }

    /// What others have not been told yet; afterwards it counts as told.
    pub(super) fn take_news(&self) -> Vec<News> {
        std::mem::take(&mut self.state.borrow_mut().news)
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
    pub(super) fn heard(&self) {
        self.state.borrow_mut().heard = Some(self.shared.now());
    }

    /// How long ago the publisher or a watcher was last heard; zero before.
    pub(super) fn age(&self) -> Duration {
        self.state.borrow().heard.map_or(Duration::ZERO, |at| Duration::from_millis(self.shared.now() - at))
    }

    /// How new this box's knowledge is.
    pub(super) fn holding(&self) -> KnownVersions {
        let state = self.state.borrow();
        let table = state.table.as_ref().map_or(0, |(table, _)| table.version);
        let evacuations = state.evacuations.clone();
        let suspects = self.shared.quarantine().digest(self.shared.now());
        let notices = self.shared.placement().notices_digest();
        let directory = state.directory.position;
        KnownVersions { table, table_until: state.table_until, directory, evacuations, suspects, notices }
    }

    /// The configuration in force as it was published, packed.
    pub(super) fn packed(&self) -> Option<Rc<Vec<u8>>> {
        self.state.borrow().table.as_ref().map(|(_, bytes)| Rc::clone(bytes))
    }

    /// How many servers are known.
    pub(super) fn servers(&self) -> usize {
        self.state.borrow().directory.servers.len()
    }

    /// The servers known.
    pub(super) fn directory(&self) -> Directory {
        self.state.borrow().directory.clone()
    }
}

/// Names for the log, where a field holds no blanks.
fn list(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    if names.is_empty() {
        "-".to_owned()
    } else {
        names.join(",")
    }
}
