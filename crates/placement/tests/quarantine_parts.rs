//! Parts of prompts that crash servers, in drawn traffic: they are found soon, and others aren't held for them.

use placement::{Fingerprint, Quarantine, Scope, Termination, Trait, Verdict};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

const STEP_MS: u64 = 10;

/// Interval between looks for sound parts that are held.
const HELD_CHECK_MS: u64 = 50;

/// Drawn days of each kind.
const SEEDS: u64 = 8;

const END_MS: u64 = 30_000;

/// When requests with the crashing parts begin to come.
const BEGIN_MS: u64 = 10_000;

const SERVERS: usize = 12;
const DOWN_MS: u64 = 2_000;

/// Time until all boxes know of a termination or a survival, and until a request that lost its server is sent again.
const NEWS_MS: u64 = 20;
const RESEND_MS: u64 = 30;

/// The platform's rule: so long after the fifth termination, at most three requests with the part may be sent.
const CONTACT_MS: u64 = 3_000;
const MAX_LATER_SENDS: usize = 3;

/// Servers that may terminate under one part, without those under requests that were there before it was held.
const MAX_ENDS: usize = 5;

/// Part of the sound requests that must be served from twice that time after the last termination, of the part that was
/// served before.
const MIN_SERVED_RATIO: f64 = 0.9;

/// Numbers of different parts at each position of the prompts of three kinds of requests, as at the users.
const CHAINS: [&[u64]; 3] = [&[89], &[4, 41], &[20, 100]];

struct Job {
    parts: Vec<u64>,
    request: u64,
    sent: u64,
    /// When it begins to answer, and when it ends.
    answers: u64,
    ends: u64,
    sends: u32,
}

impl Job {
    fn traits(&self) -> Vec<Trait> {
        let parts = self.parts.iter().enumerate().map(|(position, id)| Trait::part(1, *id, position));
        parts.chain([Trait { fingerprint: Fingerprint(self.request | 1 << 60), scope: Scope::Whole }]).collect()
    }
}

#[derive(Default)]
struct Server {
    life: u64,
    down_until: u64,
    jobs: Vec<Job>,
}

enum News {
    Ended(Trait, Termination),
    Survived(Trait),
}

#[derive(Debug, Default)]
struct Report {
    /// Times at which servers terminated under a crashing part.
    ends: Vec<u64>,
    /// Number of these under requests that had been sent before all crashing parts were held.
    in_flight: usize,
    /// Since when all crashing parts are held; `None` before.
    all_held: Option<u64>,
    /// Times at which requests with such a part were sent.
    sends: Vec<u64>,
    /// Sound requests by time of arrival, and whether they were sent.
    sound: Vec<(u64, bool)>,
    /// Sound parts that were held at some time.
    held: usize,
}

/// What crashes servers, and what else happens.
struct Scenario {
    /// Chain and position of each crashing part.
    crashing: &'static [(usize, usize)],
    per_s: f64,
    loses_halls: bool,
}

struct World {
    rng: ChaCha8Rng,
    quarantine: Quarantine,
    servers: Vec<Server>,
    news: Vec<(u64, News)>,
    /// Requests that lost their server, with the time of their next send.
    lost: Vec<(u64, Job)>,
    report: Report,
    next_request: u64,
    held: HashSet<u64>,
}

/// Returns the id of a part, which depends on its chain and position.
fn part_id(chain: usize, position: usize, thing: u64) -> u64 {
    (chain as u64) << 20 | (position as u64) << 16 | thing
}

fn crashing_id(chain: usize, position: usize) -> u64 {
    part_id(chain, position, 0xffff)
}

fn is_crashing(job: &Job) -> bool {
    job.parts.iter().any(|id| id & 0xffff == 0xffff)
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            news: Vec::new(),
            lost: Vec::new(),
            report: Report::default(),
            next_request: 0,
            held: HashSet::new(),
        }
    }

    fn run(mut self, scenario: &Scenario) -> Report {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.hear(now);
            self.note_held(scenario, now);
            if scenario.loses_halls && now % 13_000 == 5_000 {
                let hall = self.rng.random_range(0..3);
                (0..SERVERS).filter(|server| server % 3 == hall).for_each(|server| self.terminate(server, now));
            }
            self.advance_servers(now);
            let (due, later) = std::mem::take(&mut self.lost).into_iter().partition(|(at, _)| *at <= now);
            self.lost = later;
            let due: Vec<(u64, Job)> = due;
            for (_, job) in due {
                self.send(job.parts, job.request, job.sends, now);
            }
            self.arrive(scenario, now);
        }
        self.report.held = self.held.len();
        self.report
    }

    fn hear(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.news).into_iter().partition(|(at, _)| *at <= now);
        self.news = later;
        let due: Vec<(u64, News)> = due;
        for (at, news) in due {
            match news {
                News::Ended(one, end) => {
                    let late = now + NEWS_MS - at;
                    let end = Termination { sent: end.sent + late, ago: end.ago + late, ..end };
                    self.quarantine.record_termination_of(one, end, now);
                }
                News::Survived(one) => drop(self.quarantine.record_survival(one.fingerprint, now)),
            }
        }
        if !now.is_multiple_of(HELD_CHECK_MS) {
            return;
        }
        for (chain, things) in CHAINS.iter().enumerate() {
            for (position, things) in things.iter().enumerate() {
                for id in (0..*things).map(|thing| part_id(chain, position, thing)) {
                    if self.quarantine.verdict(Trait::part(1, id, position).fingerprint, false, now) != Verdict::Free {
                        self.held.insert(id);
                    }
                }
            }
        }
    }

    fn note_held(&mut self, scenario: &Scenario, now: u64) {
        let is_held = |(chain, position): &(usize, usize)| {
            let one = Trait::part(1, crashing_id(*chain, *position), *position);
            self.quarantine.verdict(one.fingerprint, false, now) != Verdict::Free
        };
        if self.report.all_held.is_none() && scenario.crashing.iter().all(is_held) {
            self.report.all_held = Some(now);
        }
    }

    fn advance_servers(&mut self, now: u64) {
        for index in 0..SERVERS {
            let server = &mut self.servers[index];
            if now < server.down_until {
                continue;
            }
            let crashing = server.jobs.iter().find(|job| is_crashing(job) && now >= job.answers);
            if let Some(sent) = crashing.map(|job| job.sent) {
                self.report.ends.push(now);
                self.report.in_flight +=
                    usize::from(self.report.all_held.is_some_and(|held| sent < held && now > held));
                self.terminate(index, now);
                continue;
            }
            let mut survived = Vec::new();
            for job in server.jobs.iter().filter(|job| now >= job.answers + 300 && now < job.answers + 300 + STEP_MS) {
                survived.extend(job.traits().into_iter().filter(|one| one.scope != Scope::Whole));
            }
            survived.extend(server.jobs.iter().filter(|job| now >= job.ends).flat_map(Job::traits));
            server.jobs.retain(|job| now < job.ends);
            self.news.extend(survived.into_iter().map(|one| (now + NEWS_MS, News::Survived(one))));
        }
    }

    fn terminate(&mut self, index: usize, now: u64) {
        let server = &mut self.servers[index];
        server.down_until = now + DOWN_MS;
        server.life += 1;
        let name = format!("s{index}-{}", server.life);
        for job in std::mem::take(&mut server.jobs) {
            let end = Termination { server: name.clone(), sent: now - job.sent, ago: 0 };
            let survived = now >= job.answers + 300;
            let suspects = job.traits().into_iter().filter(|one| one.scope == Scope::Whole || !survived);
            self.news.extend(suspects.map(|one| (now + NEWS_MS, News::Ended(one, end.clone()))));
            if job.sends < 2 {
                self.lost.push((now + RESEND_MS, job));
            }
        }
    }

    /// Sends a request unless one of its traits is held. Returns whether it was sent.
    fn send(&mut self, parts: Vec<u64>, request: u64, sends: u32, now: u64) -> bool {
        let answers = now + self.rng.random_range(20..300);
        let ends = answers + self.rng.random_range(200..2_000);
        let job = Job { parts, request, sent: now, answers, ends, sends: sends + 1 };
        let traits = job.traits();
        // One of several boxes may try a held trait.
        let may_try = self.rng.random_bool(0.2);
        let verdicts: Vec<(Trait, Verdict)> =
            traits.iter().map(|one| (*one, self.quarantine.verdict(one.fingerprint, may_try, now))).collect();
        if verdicts.iter().any(|(_, verdict)| matches!(verdict, Verdict::Held { .. })) {
            return false;
        }
        let up: Vec<usize> = (0..SERVERS).filter(|index| now >= self.servers[*index].down_until).collect();
        if up.is_empty() {
            return false;
        }
        for (one, _) in verdicts.iter().filter(|(_, verdict)| *verdict == Verdict::Trial) {
            self.quarantine.begin_trial(one.fingerprint, now);
        }
        if is_crashing(&job) {
            self.report.sends.push(now);
        }
        let server = up[self.rng.random_range(0..up.len())];
        self.servers[server].jobs.push(job);
        true
    }

    fn draw_parts(&mut self, chain: usize) -> Vec<u64> {
        let things = CHAINS[chain].iter().enumerate();
        things.map(|(position, things)| part_id(chain, position, self.rng.random_range(0..*things))).collect()
    }

    fn arrive(&mut self, scenario: &Scenario, now: u64) {
        let step_s = STEP_MS as f64 / 1e3;
        if self.rng.random_bool(24.0 * step_s) {
            let chain = self.rng.random_range(0..CHAINS.len());
            let parts = self.draw_parts(chain);
            self.next_request += 1;
            let sent = self.send(parts, self.next_request, 0, now);
            self.report.sound.push((now, sent));
        }
        for (chain, position) in scenario.crashing {
            if now >= BEGIN_MS && self.rng.random_bool(scenario.per_s * step_s) {
                let mut parts = self.draw_parts(*chain);
                parts[*position] = crashing_id(*chain, *position);
                self.next_request += 1;
                self.send(parts, self.next_request, 0, now);
            }
        }
    }
}

fn served_ratio(report: &Report, from: u64, until: u64) -> f64 {
    let sound: Vec<bool> =
        report.sound.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, sent)| *sent).collect();
    sound.iter().filter(|sent| **sent).count() as f64 / sound.len().max(1) as f64
}

fn check(name: &str, scenario: &Scenario) {
    let parts = scenario.crashing.len();
    let (mut most_ends, mut most_in_flight, mut most_later, mut held, mut least_served) = (0, 0, 0, 0, 1.0_f64);
    for seed in 0..SEEDS {
        let report = World::new(seed).run(scenario);
        let fifth = report.ends.get(MAX_ENDS * parts - 1).copied();
        let later = fifth.map_or(0, |fifth| report.sends.iter().filter(|at| **at > fifth + CONTACT_MS).count());
        let last = report.ends.last().copied().unwrap_or(BEGIN_MS);
        let served = served_ratio(&report, last + 2 * CONTACT_MS, END_MS) / served_ratio(&report, 0, BEGIN_MS);
        assert!(later <= MAX_LATER_SENDS * parts, "{name}, seed {seed}: sent {later} times later");
        assert!(served >= MIN_SERVED_RATIO, "{name}, seed {seed}: {served:.2} served");
        most_ends = most_ends.max(report.ends.len() - report.in_flight);
        most_in_flight = most_in_flight.max(report.in_flight);
        most_later = most_later.max(later);
        held += report.held;
        least_served = least_served.min(served);
    }
    println!("{name}: at most {most_ends} ends and {most_in_flight} in flight, {most_later} later sends, {held} sound parts held in {SEEDS} runs, {least_served:.2} served");
    assert!(most_ends <= MAX_ENDS * parts, "{name}: {most_ends} servers terminated");
}

/// Guards against a crashing part that is not found at some position of the prompt, and against a first part that all
/// requests share being held for it.
#[test]
fn one_crashing_part_is_held_at_each_position() {
    for position in [(0, 0), (1, 0), (1, 1), (2, 0), (2, 1)] {
        for per_s in [1.0, 3.0] {
            let crashing: &'static [(usize, usize)] = Box::leak(Box::new([position]));
            check(&format!("{position:?}, {per_s} a second"), &Scenario { crashing, per_s, loses_halls: false });
        }
    }
}

/// Guards against the terminations of one part explaining those of another.
#[test]
fn two_crashing_parts_are_held() {
    check("two", &Scenario { crashing: &[(1, 1), (2, 0)], per_s: 2.0, loses_halls: false });
}

/// Guards against sound parts being held since halls were lost.
#[test]
fn lost_halls_hold_no_part() {
    let lost = Scenario { crashing: &[], per_s: 0.0, loses_halls: true };
    let held: usize = (0..SEEDS).map(|seed| World::new(seed).run(&lost).held).sum();
    assert_eq!(held, 0, "sound parts were held");
    check("beside lost halls", &Scenario { crashing: &[(2, 1)], per_s: 2.0, loses_halls: true });
}
