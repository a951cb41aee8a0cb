//! Simulation of boxes in several halls with a randomised network: few boxes watch, and all receive updates
//! in time.

use peers::{Action, KnownVersions, Message, Peers, Profile, WatchRole};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Directory, Evacuations, Position};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// Interval between ticks, as in the program.
const TICK_INTERVAL_MS: u64 = 100;

/// Maximum delay of a message.
const MAX_DELAY_MS: u64 = 20;

/// Time within which all connected boxes must have an update: the shortest bound among the users' sites.
const MAX_UPDATE_MS: u64 = 2_000;

struct Box {
    peers: Peers,
    known: KnownVersions,
    /// It watches the publisher.
    watching: bool,
    frozen: bool,
    /// False while the publisher rejects its calls.
    reachable: bool,
}

struct World {
    boxes: BTreeMap<SocketAddr, Box>,
    messages: Vec<(u64, SocketAddr, SocketAddr, Message)>,
    /// The publisher's position, and the version of its configuration there.
    published: Position,
    version: u64,
    /// Versions of the configuration by position.
    versions: BTreeMap<Position, u64>,
    now: u64,
    rng: ChaCha8Rng,
    /// Halls that are partitioned from the others.
    partitioned: HashSet<String>,
    calls: u64,
    /// Bytes of all messages sent, except the contents of lists of servers.
    bytes: usize,
}

/// Average number of bytes that a box may send within [`MAX_CONVERGENCE_MS`] after a restore: 4 kB per
/// second, the limit for all its control traffic.
const MAX_SENT_BYTES: usize = 12_000;

/// Time within which data must reach all boxes when there are no faults.
const MAX_CONVERGENCE_MS: u64 = 3_000;

fn address(hall: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, hall as u8, 0, index as u8], 8000))
}

/// The evacuated halls at a position, which are different at each.
fn evacuations(position: Position) -> Evacuations {
    Evacuations::new(position, [format!("evacuated-{position}")].into())
}

fn text(position: Position) -> Vec<u8> {
    position.to_string().into_bytes()
}

fn position(text: Vec<u8>) -> Position {
    let text = String::from_utf8(text).expect("text");
    let (era, revision) = text.split_once(':').expect("a position");
    Position::new(era.parse().expect("an era"), revision.parse().expect("a revision"))
}

fn hall_of(address: &SocketAddr) -> String {
    format!("hall-{}", address.to_string().split('.').nth(1).expect("a hall"))
}

fn suspects(known: &mut KnownVersions) -> &mut u64 {
    &mut known.suspects
}

fn notices(known: &mut KnownVersions) -> &mut u64 {
    &mut known.notices
}

impl Box {
    fn new(me: SocketAddr, seeds: &[SocketAddr], incarnation: u64) -> Self {
        let profile = Profile { hall: hall_of(&me), capacity: 250, tunnel_port: 0, incarnation };
        let peers = Peers::new(me, profile, seeds);
        Self { peers, known: KnownVersions::default(), watching: false, frozen: false, reachable: true }
    }

    /// Returns the addresses of the boxes that it counts on, itself included.
    fn counted(&self) -> BTreeSet<SocketAddr> {
        self.peers.members().into_iter().map(|(address, _)| address).collect()
    }
}

impl World {
    fn new(seed: u64, halls: usize, each: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..halls.min(3)).map(|hall| address(hall, 1)).collect();
        let all = (0..halls).flat_map(|hall| (1..=each).map(move |index| address(hall, index)));
        let boxes = all.map(|me| (me, Box::new(me, &seeds, 1)));
        Self {
            boxes: boxes.collect(),
            messages: Vec::new(),
            published: Position::new(0, 1),
            version: 1,
            versions: BTreeMap::from([(Position::new(0, 1), 1)]),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            partitioned: HashSet::new(),
            calls: 0,
            bytes: 0,
        }
    }

    /// Publishes a new configuration, list of servers and set of evacuated halls.
    fn publish(&mut self) {
        self.published.revision += 1;
        self.version += 1;
        self.versions.insert(self.published, self.version);
    }

    /// Restores the publisher from an older backup, and publishes all data again.
    fn restore(&mut self) {
        let lost = self.rng.random_range(0..=5).min(self.published.revision - 1);
        self.published = Position::new(self.published.era + 1, self.published.revision - lost);
        self.versions.insert(self.published, self.version);
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5;
            self.watch();
            self.deliver();
            if self.now.is_multiple_of(TICK_INTERVAL_MS) {
                self.tick();
            }
        }
    }

    /// Updates the watchers that the publisher answers.
    fn watch(&mut self) {
        for one in self.boxes.values_mut().filter(|b| b.watching && b.reachable && !b.frozen) {
            if one.known.directory < self.published {
                self.calls += 1;
                let mut known = one.known.evacuations.clone();
                known.merge(evacuations(self.published));
                one.known = KnownVersions {
                    table: self.version,
                    table_until: self.published,
                    directory: self.published,
                    evacuations: known,
                    suspects: one.known.suspects,
                    notices: one.known.notices,
                };
                one.peers.set_known_versions(one.known.clone());
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.messages.drain(..).partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<(u64, SocketAddr, SocketAddr, Message)> = due;
        for (at, from, to, message) in due {
            let halls = (hall_of(&from), hall_of(&to));
            if halls.0 != halls.1 && (self.partitioned.contains(&halls.0) || self.partitioned.contains(&halls.1)) {
                continue;
            }
            let Some(target) = self.boxes.get_mut(&to) else { continue };
            if target.frozen {
                self.messages.push((at + 50, from, to, message));
                continue;
            }
            let actions = target.peers.handle(from, message, now);
            self.carry_out(to, actions);
        }
    }

    fn tick(&mut self) {
        let addresses: Vec<SocketAddr> = self.boxes.keys().copied().collect();
        for me in addresses {
            let one = self.boxes.get_mut(&me).expect("a box");
            if one.frozen {
                continue;
            }
            one.peers.set_publisher_reachable(one.watching && one.reachable);
            let actions = one.peers.tick(self.now);
            self.carry_out(me, actions);
        }
    }

    fn carry_out(&mut self, me: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            let one = self.boxes.get_mut(&me).expect("a box");
            match action {
                Action::TableUntil(until) => {
                    one.known.table_until = one.known.table_until.max(until);
                    let newest = self.versions[&one.known.table_until];
                    assert!(newest <= one.known.table, "{me} would miss a configuration");
                }
                Action::Send(to, message) => self.post(me, to, message),
                Action::SendTable(to) => {
                    let version = one.known.table.to_string().into_bytes();
                    self.post(me, to, Message::Table(version));
                }
                Action::RequestDirectory(to) => {
                    let list = Directory { position: one.known.directory, ..Directory::default() };
                    self.post(me, to, Message::Lacking(list.digests()));
                }
                Action::SendDirectory(to, digests) => {
                    let position = one.known.directory;
                    if position > digests.position {
                        self.post(me, to, Message::Excerpt(text(position)));
                    }
                }
                Action::SyncSuspects(to) => self.share(me, to, suspects),
                Action::SyncNotices(to) => self.share(me, to, notices),
                Action::SetWatching(watching) => one.watching = watching,
                Action::Table(bytes) => {
                    let version: u64 = String::from_utf8(bytes).expect("text").parse().expect("a version");
                    one.known.table = one.known.table.max(version);
                }
                Action::Excerpt(bytes) => {
                    one.known.directory = one.known.directory.max(position(bytes));
                }
                Action::Evacuations(newer) => drop(one.known.evacuations.merge(newer)),
                Action::Changes(_, until) => one.known.directory = one.known.directory.max(until),
            }
            let one = self.boxes.get_mut(&me).expect("a box");
            one.peers.set_known_versions(one.known.clone());
        }
    }

    /// Synchronises two boxes. The digest, which only increases, stands for the data.
    fn share(&mut self, one: SocketAddr, other: SocketAddr, digest: fn(&mut KnownVersions) -> &mut u64) {
        let known = [one, other].map(|address| self.boxes.get_mut(&address).map_or(0, |b| *digest(&mut b.known)));
        for address in [one, other] {
            if let Some(one) = self.boxes.get_mut(&address).filter(|b| !b.frozen) {
                *digest(&mut one.known) = known[0].max(known[1]);
            }
        }
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        self.bytes += bincode::serde::encode_to_vec(&message, bincode::config::standard()).expect("bytes").len();
        let delay = self.rng.random_range(1..=MAX_DELAY_MS);
        self.messages.push((self.now + delay, from, to, message));
    }

    /// Starts the planned shutdown of a box. It runs on until it is removed.
    fn leave(&mut self, leaver: SocketAddr) {
        let actions = self.boxes.get_mut(&leaver).expect("a box").peers.leave(self.now);
        self.carry_out(leaver, actions);
    }

    /// Starts a box that knows these seeds.
    fn start(&mut self, me: SocketAddr, seeds: &[SocketAddr]) {
        self.boxes.insert(me, Box::new(me, seeds, self.now));
    }

    /// Returns the boxes that count on others than these.
    fn mistaken(&self, expected: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let mistaken = |(address, one): &(&SocketAddr, &Box)| expected.contains(address) && one.counted() != *expected;
        self.boxes.iter().filter(mistaken).map(|(address, _)| *address).collect()
    }

    fn watchers(&self) -> usize {
        self.boxes.values().filter(|b| b.watching).count()
    }

    fn behind(&self) -> Vec<SocketAddr> {
        let behind = |b: &Box| {
            let evacuated = b.known.evacuations.halls == evacuations(self.published).halls;
            !b.frozen && (b.known.directory < self.published || b.known.table < self.version || !evacuated)
        };
        self.boxes.iter().filter(|(_, b)| behind(b)).map(|(a, _)| *a).collect()
    }
}

#[test]
fn few_boxes_watch_once_all_know_each_other() {
    for (halls, each, expected) in [(3, 2, 3), (4, 2, 4), (3, 24, 6)] {
        let mut world = World::new(1, halls, each);
        world.run(10_000);
        assert_eq!(world.watchers(), expected, "{halls} halls of {each}");
        assert!(world.boxes.values().all(|b| b.peers.box_count() == halls * each));
    }
}

#[test]
fn updates_reach_every_box_in_time_despite_faults_of_watchers() {
    for seed in 0..60 {
        let mut world = World::new(seed, 3, 1 + (seed as usize % 9));
        world.run(9_000);
        for _ in 0..8 {
            inject_fault(&mut world);
            world.publish();
            world.run(MAX_UPDATE_MS);
            assert_eq!(world.behind(), Vec::<SocketAddr>::new(), "seed {seed} at {} ms", world.now);
            clear_faults(&mut world);
            world.run(1_500);
        }
    }
}

#[test]
fn suspects_known_to_one_box_reach_every_box_and_later_ones() {
    reaches_every_box(suspects);
}

#[test]
fn server_notices_known_to_one_box_reach_every_box_and_later_ones() {
    reaches_every_box(notices);
}

fn reaches_every_box(digest: fn(&mut KnownVersions) -> &mut u64) {
    for seed in 0..30 {
        let mut world = World::new(seed, 3, 1 + (seed as usize % 9));
        world.run(9_000);
        let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
        let source = addresses[world.rng.random_range(0..addresses.len())];
        let restarted = addresses[world.rng.random_range(0..addresses.len())];
        for (value, address) in [(7, source), (0, restarted)] {
            let one = world.boxes.get_mut(&address).expect("a box");
            *digest(&mut one.known) = value;
            one.peers.set_known_versions(one.known.clone());
            world.run(MAX_CONVERGENCE_MS);
            let known = |one: &mut Box| *digest(&mut one.known) == 7;
            let behind: Vec<_> = world.boxes.iter_mut().filter_map(|(a, b)| (!known(b)).then_some(*a)).collect();
            assert_eq!(behind, Vec::<SocketAddr>::new(), "seed {seed} at {} ms", world.now);
        }
    }
}

#[test]
fn boxes_of_different_eras_converge_once_they_are_connected() {
    run_restores(2, 2, 20, 3);
    run_restores(4, 10, 3, 3);
}

#[test]
fn boxes_of_different_eras_converge_in_a_large_fleet() {
    run_restores(3, 100, 1, 1);
}

/// Restores the publisher, also twice in a row, during a partition, a freeze or while it rejects some boxes.
fn run_restores(halls: usize, each: usize, seeds: u64, restores: usize) {
    for seed in 0..seeds {
        let mut world = World::new(seed, halls, each);
        world.run(4_000);
        (0..8).for_each(|_| world.publish());
        for restore in 0..restores {
            isolate(&mut world, halls);
            world.restore();
            world.run(700);
            if restore == 1 {
                world.restore();
                world.run(300);
            }
            world.publish();
            clear_faults(&mut world);
            let bytes = world.bytes;
            world.run(MAX_CONVERGENCE_MS);
            let behind = world.behind();
            assert_eq!(behind, Vec::<SocketAddr>::new(), "{halls} halls of {each}, seed {seed}, restore {restore}");
            let sent = (world.bytes - bytes) / (halls * each);
            assert!(sent < MAX_SENT_BYTES, "{sent} bytes per box, {halls} halls of {each}");
        }
    }
}

/// Keeps one hall, or some boxes, from learning of a restore.
fn isolate(world: &mut World, halls: usize) {
    let hall = format!("hall-{}", world.rng.random_range(0..halls));
    let fault = world.rng.random_range(0..3);
    if fault == 0 {
        world.partitioned.insert(hall.clone());
    }
    for address in world.boxes.keys().copied().collect::<Vec<_>>() {
        let affected = match fault {
            0 => hall_of(&address) == hall,
            _ => world.rng.random_bool(0.4),
        };
        let one = world.boxes.get_mut(&address).expect("a box");
        one.reachable &= fault == 1 || !affected;
        one.frozen |= fault == 1 && affected;
    }
}

/// Injects one fault at a time: freezes a watcher, makes the publisher reject some boxes, or partitions a hall.
fn inject_fault(world: &mut World) {
    let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
    match world.rng.random_range(0..4) {
        0 => {
            let watchers: Vec<SocketAddr> = addresses.into_iter().filter(|a| world.boxes[a].watching).collect();
            let frozen = watchers[world.rng.random_range(0..watchers.len())];
            world.boxes.get_mut(&frozen).expect("a box").frozen = true;
        }
        1 => {
            for address in addresses {
                let rejected = world.rng.random_bool(0.33);
                world.boxes.get_mut(&address).expect("a box").reachable = !rejected;
            }
        }
        2 => {
            let hall = world.rng.random_range(0..3);
            world.partitioned.insert(format!("hall-{hall}"));
        }
        _ => {}
    }
    // By chance, all boxes may be rejected, and then no update could arrive.
    if world.boxes.values().all(|b| !b.reachable) {
        clear_faults(world);
    }
}

fn clear_faults(world: &mut World) {
    world.partitioned.clear();
    for one in world.boxes.values_mut() {
        one.frozen = false;
        one.reachable = true;
    }
}

#[test]
fn few_boxes_take_over_when_a_hall_loses_its_watchers() {
    let mut world = World::new(5, 3, 40);
    // Long enough for each box to count as silent to all boxes that don't watch.
    world.run(15_000);
    let watchers: Vec<SocketAddr> = world.boxes.iter().filter(|(_, b)| b.watching).map(|(a, _)| *a).collect();
    for watcher in &watchers {
        world.boxes.get_mut(watcher).expect("a box").reachable = false;
    }
    let mut took_over = HashSet::new();
    for _ in 0..30 {
        world.run(100);
        took_over.extend(world.boxes.iter().filter(|(a, b)| b.watching && !watchers.contains(a)).map(|(a, _)| *a));
    }
    assert!(took_over.len() <= 12, "{} boxes took over from {}", took_over.len(), watchers.len());
}

/// Guards against a box that sends a server's notice to all other boxes by itself, which takes 584 links and
/// frames of a small box for each of some hundred servers that leave together. Returns the maximum number of
/// messages sent by one box, and the total.
fn broadcast_from(world: &World, source: SocketAddr) -> (usize, usize) {
    let mut reached = HashSet::from([source]);
    let mut sent = BTreeMap::new();
    let mut queue = vec![(None, source)];
    while let Some((from, me)) = queue.pop() {
        let to = world.boxes[&me].peers.forward_targets(from, world.now);
        *sent.entry(me).or_insert(0) += to.len();
        let delivered =
            to.into_iter().filter(|to| !world.partitioned.contains(&hall_of(to)) || hall_of(to) == hall_of(&me));
        queue.extend(delivered.filter(|to| reached.insert(*to)).map(|to| (Some(me), to)).collect::<Vec<_>>());
    }
    let reachable = |address: &&SocketAddr| !world.partitioned.contains(&hall_of(address));
    let missed: Vec<&SocketAddr> =
        world.boxes.keys().filter(reachable).filter(|box_| !reached.contains(box_)).collect();
    assert!(missed.is_empty(), "{missed:?} received no message");
    (sent.values().copied().max().unwrap_or(0), sent.values().sum())
}

#[test]
fn urgent_messages_are_forwarded_by_few_boxes_of_a_large_fleet() {
    let mut world = World::new(9, 5, 20);
    world.run(10_000);
    let watches = |world: &World, address: &SocketAddr| world.boxes[address].watching;
    let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
    for source in &addresses {
        let (max, total) = broadcast_from(&world, *source);
        // A watcher sends to its hall and to other halls' watchers; each box receives messages of both
        // watchers of its hall.
        assert!(max <= 20 + 10 && total <= 2 * 100 + 2 * 10 + 10, "{max} by one box, {total} by all");
        let own = world.boxes[source].peers.forward_targets(None, world.now).len();
        assert!(watches(&world, source) || own == 2, "{own} by the originating box");
    }
    world.partitioned.insert("hall-3".to_owned());
    world.run(2_000);
    broadcast_from(&world, addresses[0]);
    // In a small fleet, the originating box sends to all others directly.
    let mut small = World::new(9, 3, 6);
    small.run(10_000);
    assert_eq!(broadcast_from(&small, address(1, 2)), (17, 17));
}

/// If each watcher of a hall called the publisher as often as a single one, that would be two thirds of the
/// traffic of an idle small hall. The secondary watcher may poll less often as long as it notices the loss of
/// the primary.
#[test]
fn the_secondary_watcher_becomes_primary_once_the_primary_is_lost() {
    let mut world = World::new(6, 3, 6);
    world.run(10_000);
    let with_role = |world: &World, role: WatchRole| -> Vec<SocketAddr> {
        world
            .boxes
            .iter()
            .filter(|(_, b)| !b.frozen && b.peers.watch_role(world.now) == role)
            .map(|(a, _)| *a)
            .collect()
    };
    let (primary, secondary) = (with_role(&world, WatchRole::Primary), with_role(&world, WatchRole::Secondary));
    assert_eq!((primary.len(), secondary.len()), (3, 3));
    assert!(primary.iter().zip(&secondary).all(|(one, other)| hall_of(one) == hall_of(other)));
    // One primary freezes, and the publisher rejects another.
    world.boxes.get_mut(&primary[0]).expect("a box").frozen = true;
    world.boxes.get_mut(&primary[1]).expect("a box").reachable = false;
    world.run(1_500);
    let now_primary = with_role(&world, WatchRole::Primary);
    assert!(now_primary.contains(&secondary[0]) && now_primary.contains(&secondary[1]), "{now_primary:?}");
    assert!(!now_primary.contains(&secondary[2]));
}

#[test]
fn a_leaving_watcher_is_replaced_at_once() {
    let mut world = World::new(3, 3, 6);
    world.run(10_000);
    let leaver = *world.boxes.iter().find(|(_, b)| b.watching).expect("a watcher").0;
    let now = world.now;
    let actions = world.boxes.get_mut(&leaver).expect("a box").peers.leave(now);
    world.carry_out(leaver, actions);
    world.boxes.get_mut(&leaver).expect("a box").frozen = true;
    world.publish();
    world.run(900);
    assert_eq!(world.behind(), Vec::<SocketAddr>::new());
}

#[test]
fn a_box_that_the_publisher_rejects_from_the_start_receives_data_from_others() {
    let mut world = World::new(4, 3, 3);
    let late = address(2, 3);
    world.boxes.get_mut(&late).expect("a box").reachable = false;
    world.run(3_000);
    assert_eq!(world.behind(), Vec::<SocketAddr>::new());
}

#[test]
fn a_box_ignores_messages_from_its_own_address() {
    let me = address(0, 1);
    let mut peers =
        Peers::new(me, Profile { hall: "hall-0".to_owned(), capacity: 1, tunnel_port: 0, incarnation: 1 }, &[me]);
    assert!(peers.handle(me, Message::Leave { incarnation: 1 }, 0).is_empty());
    assert_eq!(peers.box_count(), 1);
}

/// Time within which all boxes must know that one has left: the shortest `contactMs` of the users' sites.
const MAX_DEPARTURE_MS: u64 = 3_000;

/// Replaces all boxes twice, some at a time, by boxes at other addresses.
fn replace_all(halls: usize, each: usize, at_once: usize) -> World {
    let mut world = World::new(11, halls, each);
    world.run(10_000);
    for round in 1..=2 {
        let former: Vec<SocketAddr> = world.boxes.keys().copied().collect();
        for group in former.chunks(at_once) {
            let seeds: Vec<SocketAddr> = world.boxes.keys().filter(|a| !group.contains(a)).take(2).copied().collect();
            for leaver in group {
                world.leave(*leaver);
                let index = usize::from(leaver.port()) - 8000 + 1;
                let mut newcomer = *leaver;
                newcomer.set_port(8000 + index as u16);
                world.start(newcomer, &seeds);
            }
            world.run(700);
            group.iter().for_each(|leaver| drop(world.boxes.remove(leaver)));
            world.run(300);
        }
        world.run(MAX_DEPARTURE_MS);
        let expected: BTreeSet<SocketAddr> = world.boxes.keys().copied().collect();
        assert_eq!(expected.len(), halls * each);
        assert_eq!(world.mistaken(&expected), Vec::<SocketAddr>::new(), "{halls} halls of {each}, round {round}");
    }
    world
}

/// Guards against boxes that stay members after they have left: what others keep was told to them, and what they own
/// was asked of them, for as long as any box ran.
#[test]
fn boxes_that_are_replaced_are_no_longer_counted_on() {
    replace_all(2, 2, 1);
    replace_all(4, 10, 2);
}

/// Guards against state and rosters that grow with every restart.
#[test]
fn what_is_known_of_replaced_boxes_is_dropped_in_time() {
    let mut world = replace_all(2, 3, 1);
    world.run(700_000);
    // Seeds are never forgotten. Each box was given two.
    let most = world.boxes.values().map(|one| one.peers.known_count()).max();
    assert!(most <= Some(6 - 1 + 2), "{most:?} other boxes are known of 5");
}

#[test]
fn a_large_fleet_is_replaced() {
    replace_all(3, 100, 30);
}

#[test]
fn two_boxes_that_are_left_of_many_count_on_each_other_only() {
    for (halls, each) in [(3, 3), (3, 30)] {
        let mut world = World::new(12, halls, each);
        world.run(10_000);
        let leavers: Vec<SocketAddr> = world.boxes.keys().skip(2).copied().collect();
        for group in leavers.chunks(each / 3) {
            group.iter().for_each(|leaver| world.leave(*leaver));
            world.run(200);
        }
        world.run(MAX_DEPARTURE_MS);
        let gone = |world: &World| {
            let first = &world.boxes.values().next().expect("a box").peers;
            leavers.iter().filter(|leaver| first.is_gone(leaver, world.now)).count()
        };
        assert_eq!(gone(&world), 0, "they may still serve");
        let left: BTreeSet<SocketAddr> = world.boxes.keys().take(2).copied().collect();
        assert_eq!(world.mistaken(&left), Vec::<SocketAddr>::new(), "{halls} halls of {each}");
        leavers.iter().for_each(|leaver| drop(world.boxes.remove(leaver)));
        world.run(30_000);
        assert_eq!(gone(&world), leavers.len(), "links to them are closed");
    }
}

/// A box that is killed says nothing. Those that are frozen or cut off for less than the stated time stay members.
#[test]
fn a_killed_box_is_dropped_after_its_silence_and_a_frozen_one_comes_back() {
    let mut world = World::new(13, 3, 6);
    world.run(10_000);
    let all: BTreeSet<SocketAddr> = world.boxes.keys().copied().collect();
    let (killed, frozen) = (address(0, 3), address(1, 1));
    world.boxes.remove(&killed);
    world.boxes.get_mut(&frozen).expect("a box").frozen = true;
    world.run(15_000);
    let mut expected = all.clone();
    expected.remove(&killed);
    assert!(world.boxes[&address(2, 2)].counted().contains(&killed), "it may come back");
    world.run(15_000);
    expected.remove(&frozen);
    assert_eq!(world.mistaken(&expected), Vec::<SocketAddr>::new());
    world.boxes.get_mut(&frozen).expect("a box").frozen = false;
    // Hellos are sent every three seconds.
    world.run(2 * MAX_DEPARTURE_MS);
    expected.insert(frozen);
    assert_eq!(world.mistaken(&expected), Vec::<SocketAddr>::new(), "the frozen box is back");
    // The killed box starts again at its address with a clock that was set back.
    world.boxes.insert(killed, Box::new(killed, &[address(0, 1)], 0));
    world.run(2 * MAX_DEPARTURE_MS);
    assert_eq!(world.mistaken(&all), Vec::<SocketAddr>::new(), "the killed box is back");
}

#[test]
fn halls_that_are_cut_off_from_each_other_for_minutes_count_on_each_other_again() {
    for seed in 0..4 {
        let mut world = World::new(seed, 3, 4);
        world.run(10_000);
        let all: BTreeSet<SocketAddr> = world.boxes.keys().copied().collect();
        world.partitioned.insert("hall-1".to_owned());
        world.run(240_000);
        assert_eq!(world.mistaken(&all), Vec::<SocketAddr>::new(), "seed {seed}, while cut off");
        // One box leaves meanwhile, which the other side learns later.
        world.leave(address(1, 2));
        world.run(2_000);
        world.boxes.remove(&address(1, 2));
        world.partitioned.clear();
        world.run(MAX_DEPARTURE_MS);
        let expected: BTreeSet<SocketAddr> = world.boxes.keys().copied().collect();
        assert_eq!(world.mistaken(&expected), Vec::<SocketAddr>::new(), "seed {seed}, connected again");
    }
}
