//! Boxes in three halls under a randomised network: few watch, and all hear of news in time.

use peers::{Action, KnownVersions, Message, Peers, Profile, WatchRole};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Directory, Evacuations, Position};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Pause between two looks at what is due, as the program makes it.
const TICK: u64 = 100;

/// Longest way of a message.
const DELAY_MOST: u64 = 20;

/// Bound within which all boxes that are in touch must have news. The shortest of the users' sites.
const NEWS_BOUND: u64 = 2_000;

struct Box {
    peers: Peers,
    holding: KnownVersions,
    /// When its watch began; news of the publisher reach it some ms later.
    watching: bool,
    frozen: bool,
    /// False while the publisher turns it away.
    reached: bool,
}

struct World {
    boxes: BTreeMap<SocketAddr, Box>,
    mail: Vec<(u64, SocketAddr, SocketAddr, Message)>,
    /// The publisher's position, and the version of its configuration there.
    published: Position,
    version: u64,
    /// Versions of the configuration by position.
    versions: BTreeMap<Position, u64>,
    now: u64,
    rng: ChaCha8Rng,
    /// Halls that are cut off from the others.
    cut: HashSet<String>,
    calls: u64,
    /// Bytes of all messages that were sent, but for what lists of servers hold.
    bytes: usize,
}

/// What a box may send on average within [`CONTACT`] after a drill, in bytes: 4 kB a second, as for all its
/// control.
const BYTES_MOST: usize = 12_000;

/// How long what is known may take to reach a box that nothing disturbs, in milliseconds.
const CONTACT: u64 = 3_000;

fn address(hall: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, hall as u8, 0, index as u8], 8000))
}

/// The halls that are evacuated at a position: others at each.
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

fn suspects(holding: &mut KnownVersions) -> &mut u64 {
    &mut holding.suspects
}

fn notices(holding: &mut KnownVersions) -> &mut u64 {
    &mut holding.notices
}

impl World {
    fn new(seed: u64, halls: usize, each: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..halls.min(3)).map(|hall| address(hall, 1)).collect();
        let all = (0..halls).flat_map(|hall| (1..=each).map(move |index| address(hall, index)));
        let boxes = all.map(|me| {
            let profile = Profile { hall: hall_of(&me), capacity: 250 };
            let peers = Peers::new(me, profile, &seeds);
            (me, Box { peers, holding: KnownVersions::default(), watching: false, frozen: false, reached: true })
        });
        Self {
            boxes: boxes.collect(),
            mail: Vec::new(),
            published: Position::new(0, 1),
            version: 1,
            versions: BTreeMap::from([(Position::new(0, 1), 1)]),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cut: HashSet::new(),
            calls: 0,
            bytes: 0,
        }
    }

    /// Another configuration, other servers and other evacuations are published.
    fn publish(&mut self) {
        self.published.revision += 1;
        self.version += 1;
        self.versions.insert(self.published, self.version);
    }

    /// The publisher comes back from an older copy, and all is written again.
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
            if self.now.is_multiple_of(TICK) {
                self.tick();
            }
        }
    }

    /// Watchers that are reached learn of what is published.
    fn watch(&mut self) {
        for one in self.boxes.values_mut().filter(|b| b.watching && b.reached && !b.frozen) {
            if one.holding.directory < self.published {
                self.calls += 1;
                let mut known = one.holding.evacuations.clone();
                known.merge(evacuations(self.published));
                one.holding = KnownVersions {
                    table: self.version,
                    table_until: self.published,
                    directory: self.published,
                    evacuations: known,
                    suspects: one.holding.suspects,
                    notices: one.holding.notices,
                };
                one.peers.set_known_versions(one.holding.clone());
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.mail.drain(..).partition(|(at, ..)| *at <= now);
        self.mail = later;
        let due: Vec<(u64, SocketAddr, SocketAddr, Message)> = due;
        for (at, from, to, message) in due {
            let halls = (hall_of(&from), hall_of(&to));
            if halls.0 != halls.1 && (self.cut.contains(&halls.0) || self.cut.contains(&halls.1)) {
                continue;
            }
            let Some(target) = self.boxes.get_mut(&to) else { continue };
            if target.frozen {
                self.mail.push((at + 50, from, to, message));
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
            one.peers.set_publisher_reachable(one.watching && one.reached);
            let actions = one.peers.tick(self.now);
            self.carry_out(me, actions);
        }
    }

    fn carry_out(&mut self, me: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            let one = self.boxes.get_mut(&me).expect("a box");
            match action {
                Action::TableUntil(until) => {
                    one.holding.table_until = one.holding.table_until.max(until);
                    let newest = self.versions[&one.holding.table_until];
                    assert!(newest <= one.holding.table, "{me} would miss a configuration");
                }
                Action::Send(to, message) => self.post(me, to, message),
                Action::SendTable(to) => {
                    let version = one.holding.table.to_string().into_bytes();
                    self.post(me, to, Message::Table(version));
                }
                Action::RequestDirectory(to) => {
                    let list = Directory { position: one.holding.directory, ..Directory::default() };
                    self.post(me, to, Message::Lacking(list.digests()));
                }
                Action::SendDirectory(to, digests) => {
                    let position = one.holding.directory;
                    if position > digests.position {
                        self.post(me, to, Message::Excerpt(text(position)));
                    }
                }
                Action::SyncSuspects(to) => self.share(me, to, suspects),
                Action::SyncNotices(to) => self.share(me, to, notices),
                Action::SetWatching(watching) => one.watching = watching,
                Action::Table(bytes) => {
                    let version: u64 = String::from_utf8(bytes).expect("text").parse().expect("a version");
                    one.holding.table = one.holding.table.max(version);
                }
                Action::Excerpt(bytes) => {
                    one.holding.directory = one.holding.directory.max(position(bytes));
                }
                Action::Evacuations(newer) => drop(one.holding.evacuations.merge(newer)),
                Action::Changes(_, until) => one.holding.directory = one.holding.directory.max(until),
            }
            let one = self.boxes.get_mut(&me).expect("a box");
            one.peers.set_known_versions(one.holding.clone());
        }
    }

    /// Both know afterwards what either knew; here the digest is all that there is to know, and grows.
    fn share(&mut self, one: SocketAddr, other: SocketAddr, digest: fn(&mut KnownVersions) -> &mut u64) {
        let known = [one, other].map(|address| self.boxes.get_mut(&address).map_or(0, |b| *digest(&mut b.holding)));
        for address in [one, other] {
            if let Some(one) = self.boxes.get_mut(&address).filter(|b| !b.frozen) {
                *digest(&mut one.holding) = known[0].max(known[1]);
            }
        }
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        self.bytes += bincode::serde::encode_to_vec(&message, bincode::config::standard()).expect("bytes").len();
        let delay = self.rng.random_range(1..=DELAY_MOST);
        self.mail.push((self.now + delay, from, to, message));
    }

    fn watchers(&self) -> usize {
        self.boxes.values().filter(|b| b.watching).count()
    }

    fn behind(&self) -> Vec<SocketAddr> {
        let behind = |b: &Box| {
            let evacuated = b.holding.evacuations.halls == evacuations(self.published).halls;
            !b.frozen && (b.holding.directory < self.published || b.holding.table < self.version || !evacuated)
        };
        self.boxes.iter().filter(|(_, b)| behind(b)).map(|(a, _)| *a).collect()
    }
}

#[test]
fn few_boxes_watch_once_all_know_each_other() {
    for (halls, each, most) in [(3, 2, 3), (4, 2, 4), (3, 24, 6)] {
        let mut world = World::new(1, halls, each);
        world.run(10_000);
        assert_eq!(world.watchers(), most, "{halls} halls of {each}");
        assert!(world.boxes.values().all(|b| b.peers.box_count() == halls * each));
    }
}

#[test]
fn news_reach_every_box_in_time_whatever_happens_to_the_watchers() {
    for seed in 0..60 {
        let mut world = World::new(seed, 3, 1 + (seed as usize % 9));
        world.run(9_000);
        for _ in 0..8 {
            disturb(&mut world);
            world.publish();
            world.run(NEWS_BOUND);
            assert_eq!(world.behind(), Vec::<SocketAddr>::new(), "seed {seed} at {} ms", world.now);
            calm(&mut world);
            world.run(1_500);
        }
    }
}

#[test]
fn what_one_box_knows_of_suspects_reaches_every_box_and_those_that_come_later() {
    reaches_every_box(suspects);
}

#[test]
fn what_one_box_heard_of_servers_reaches_every_box_and_those_that_come_later() {
    reaches_every_box(notices);
}

fn reaches_every_box(digest: fn(&mut KnownVersions) -> &mut u64) {
    for seed in 0..30 {
        let mut world = World::new(seed, 3, 1 + (seed as usize % 9));
        world.run(9_000);
        let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
        let knows = addresses[world.rng.random_range(0..addresses.len())];
        let comes = addresses[world.rng.random_range(0..addresses.len())];
        for (known, address) in [(7, knows), (0, comes)] {
            let one = world.boxes.get_mut(&address).expect("a box");
            *digest(&mut one.holding) = known;
            one.peers.set_known_versions(one.holding.clone());
            world.run(CONTACT);
            let known = |one: &mut Box| *digest(&mut one.holding) == 7;
            let behind: Vec<_> = world.boxes.iter_mut().filter_map(|(a, b)| (!known(b)).then_some(*a)).collect();
            assert_eq!(behind, Vec::<SocketAddr>::new(), "seed {seed} at {} ms", world.now);
        }
    }
}

#[test]
fn boxes_of_different_eras_come_together_once_they_meet() {
    drills(2, 2, 20, 3);
    drills(4, 10, 3, 3);
}

#[test]
fn boxes_of_different_eras_come_together_at_size() {
    drills(3, 100, 1, 1);
}

/// Drills, two in a row among them, within a cut, a freeze or while the publisher turns boxes away.
fn drills(halls: usize, each: usize, seeds: u64, drills: usize) {
    for seed in 0..seeds {
        let mut world = World::new(seed, halls, each);
        world.run(4_000);
        (0..8).for_each(|_| world.publish());
        for drill in 0..drills {
            cut_off(&mut world, halls);
            world.restore();
            world.run(700);
            if drill == 1 {
                world.restore();
                world.run(300);
            }
            world.publish();
            calm(&mut world);
            let bytes = world.bytes;
            world.run(CONTACT);
            let behind = world.behind();
            assert_eq!(behind, Vec::<SocketAddr>::new(), "{halls} halls of {each}, seed {seed}, drill {drill}");
            let sent = (world.bytes - bytes) / (halls * each);
            assert!(sent < BYTES_MOST, "{sent} bytes a box, {halls} halls of {each}");
        }
    }
}

/// One hall, or some boxes, don't hear of a drill.
fn cut_off(world: &mut World, halls: usize) {
    let hall = format!("hall-{}", world.rng.random_range(0..halls));
    let way = world.rng.random_range(0..3);
    if way == 0 {
        world.cut.insert(hall.clone());
    }
    for address in world.boxes.keys().copied().collect::<Vec<_>>() {
        let unlucky = match way {
            0 => hall_of(&address) == hall,
            _ => world.rng.random_bool(0.4),
        };
        let one = world.boxes.get_mut(&address).expect("a box");
        one.reached &= way == 1 || !unlucky;
        one.frozen |= way == 1 && unlucky;
    }
}

/// Freezes a watcher, turns some boxes away from the publisher, or cuts a hall off, one of them at a time.
fn disturb(world: &mut World) {
    let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
    match world.rng.random_range(0..4) {
        0 => {
            let watchers: Vec<SocketAddr> = addresses.into_iter().filter(|a| world.boxes[a].watching).collect();
            let unlucky = watchers[world.rng.random_range(0..watchers.len())];
            world.boxes.get_mut(&unlucky).expect("a box").frozen = true;
        }
        1 => {
            for address in addresses {
                let turned_away = world.rng.random_bool(0.33);
                world.boxes.get_mut(&address).expect("a box").reached = !turned_away;
            }
        }
        2 => {
            let hall = world.rng.random_range(0..3);
            world.cut.insert(format!("hall-{hall}"));
        }
        _ => {}
    }
    // A third of a hall turned away may be all of it, and nobody else is reached then only if the hall is cut.
    if world.boxes.values().all(|b| !b.reached) {
        calm(world);
    }
}

fn calm(world: &mut World) {
    world.cut.clear();
    for one in world.boxes.values_mut() {
        one.frozen = false;
        one.reached = true;
    }
}

#[test]
fn few_boxes_take_over_when_a_hall_loses_its_watchers() {
    let mut world = World::new(5, 3, 40);
    // Long enough for boxes to have said nothing for a while to all that don't watch.
    world.run(15_000);
    let watchers: Vec<SocketAddr> = world.boxes.iter().filter(|(_, b)| b.watching).map(|(a, _)| *a).collect();
    for watcher in &watchers {
        world.boxes.get_mut(watcher).expect("a box").reached = false;
    }
    let mut took_over = HashSet::new();
    for _ in 0..30 {
        world.run(100);
        took_over.extend(world.boxes.iter().filter(|(a, b)| b.watching && !watchers.contains(a)).map(|(a, _)| *a));
    }
    assert!(took_over.len() <= 12, "{} boxes took over from {}", took_over.len(), watchers.len());
}

/// What a server says that all boxes must know was told to all of them by each box that heard it from the
/// server: 584 links and frames of a small box for each of some hundred servers that leave together. Returns
/// what a box sent at most, and all of them.
fn tell_all(world: &World, knows: SocketAddr) -> (usize, usize) {
    let mut told = HashSet::from([knows]);
    let mut sent = BTreeMap::new();
    let mut queue = vec![(None, knows)];
    while let Some((from, me)) = queue.pop() {
        let to = world.boxes[&me].peers.forward_targets(from, world.now);
        *sent.entry(me).or_insert(0) += to.len();
        let news = to.into_iter().filter(|to| !world.cut.contains(&hall_of(to)) || hall_of(to) == hall_of(&me));
        queue.extend(news.filter(|to| told.insert(*to)).map(|to| (Some(me), to)).collect::<Vec<_>>());
    }
    let reachable = |address: &&SocketAddr| !world.cut.contains(&hall_of(address));
    let missed: Vec<&SocketAddr> = world.boxes.keys().filter(reachable).filter(|box_| !told.contains(box_)).collect();
    assert!(missed.is_empty(), "{missed:?} are not told");
    (sent.values().copied().max().unwrap_or(0), sent.values().sum())
}

#[test]
fn what_all_boxes_must_know_at_once_is_told_by_few_of_a_large_fleet() {
    let mut world = World::new(9, 5, 20);
    world.run(10_000);
    let watches = |world: &World, address: &SocketAddr| world.boxes[address].watching;
    let addresses: Vec<SocketAddr> = world.boxes.keys().copied().collect();
    for knows in &addresses {
        let (most, all) = tell_all(&world, *knows);
        // A watcher tells its hall and the watchers elsewhere; each box of a hall hears both of its watchers.
        assert!(most <= 20 + 10 && all <= 2 * 100 + 2 * 10 + 10, "{most} by one box, {all} by all");
        let own = world.boxes[knows].peers.forward_targets(None, world.now).len();
        assert!(watches(&world, knows) || own == 2, "{own} by the one that heard it");
    }
    world.cut.insert("hall-3".to_owned());
    world.run(2_000);
    tell_all(&world, addresses[0]);
    // A small fleet goes no way round.
    let mut small = World::new(9, 3, 6);
    small.run(10_000);
    assert_eq!(tell_all(&small, address(1, 2)), (17, 17));
}

/// Each watcher of a hall called the publisher as often as if it were alone: two thirds of what a small hall
/// spent while nothing happened. The second one may wait longer, as long as it notices when the first is
/// gone.
#[test]
fn a_hall_relies_on_one_watcher_first_and_on_the_other_once_that_one_is_not_heard() {
    let mut world = World::new(6, 3, 6);
    world.run(10_000);
    let as_what = |world: &World, watch: WatchRole| -> Vec<SocketAddr> {
        world
            .boxes
            .iter()
            .filter(|(_, b)| !b.frozen && b.peers.watch_role(world.now) == watch)
            .map(|(a, _)| *a)
            .collect()
    };
    let (first, second) = (as_what(&world, WatchRole::Primary), as_what(&world, WatchRole::Secondary));
    assert_eq!((first.len(), second.len()), (3, 3));
    assert!(first.iter().zip(&second).all(|(first, second)| hall_of(first) == hall_of(second)));
    // One stands still, the publisher turns another away.
    world.boxes.get_mut(&first[0]).expect("a box").frozen = true;
    world.boxes.get_mut(&first[1]).expect("a box").reached = false;
    world.run(1_500);
    let now_first = as_what(&world, WatchRole::Primary);
    assert!(now_first.contains(&second[0]) && now_first.contains(&second[1]), "{now_first:?}");
    assert!(!now_first.contains(&second[2]));
}

#[test]
fn a_leaving_watcher_is_replaced_at_once() {
    let mut world = World::new(3, 3, 6);
    world.run(10_000);
    let leaver = *world.boxes.iter().find(|(_, b)| b.watching).expect("a watcher").0;
    let actions = world.boxes[&leaver].peers.leave();
    world.carry_out(leaver, actions);
    world.boxes.get_mut(&leaver).expect("a box").frozen = true;
    world.publish();
    world.run(900);
    assert_eq!(world.behind(), Vec::<SocketAddr>::new());
}

#[test]
fn a_box_that_the_publisher_turns_away_from_the_start_hears_from_others() {
    let mut world = World::new(4, 3, 3);
    let late = address(2, 3);
    world.boxes.get_mut(&late).expect("a box").reached = false;
    world.run(3_000);
    assert_eq!(world.behind(), Vec::<SocketAddr>::new());
}

#[test]
fn a_message_of_its_own_changes_nothing() {
    let me = address(0, 1);
    let mut peers = Peers::new(me, Profile { hall: "hall-0".to_owned(), capacity: 1 }, &[me]);
    assert!(peers.handle(me, Message::Leave, 0).is_empty());
    assert_eq!(peers.box_count(), 1);
}
