//! The servers of one service.

use crate::{Ask, Choice, Ending, Health, Kept, Load, Millis, Opinion, Part, Prompt, Refusal, Work};
use routing::{Engine, Server};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Prompt tokens that a server reads in a millisecond. From the users' sheets (36.7 and 48.2).
const READ_PER_MS: f64 = 40.0;

/// What reading a thousand shared tokens again costs beyond its time, in milliseconds of a wait. From the
/// sheets' prices: 13,300 tokens cost 1.2 of a request, whose wait of 2,500 ms is worth about one.
const REREAD_MS_PER_K: f64 = 800.0;

/// What fetching a thousand tokens from another server costs, by the same measure (0.32 for 13,300).
const FETCH_MS_PER_K: f64 = 120.0;

/// Fewest missing tokens that are worth fetching: a transfer takes 8 ms to set up.
const FETCH_LEAST: u32 = 1_000;

/// How much a request that runs beside slows each one: 0.15 ms a token and some hundred tokens.
const BESIDE_MS: f64 = 15.0;

/// How much of the time for reading a prompt each request that runs beside is held up.
const HOLD_UP: f64 = 0.15;

/// What a server without a free slot or enough memory costs.
const FULL_MS: f64 = 1_500.0;

/// What sending a kilobyte to another hall costs. From the sheets: 17 KB cost 0.02 to 0.15 of a request.
const FAR_MS_PER_KB: f64 = 6.0;

/// What the way to another hall costs whatever its size.
const FAR_MS: f64 = 3.0;

/// How long what an owner said of a server's load is better than what this box has there itself.
const HEARD_MOST: Millis = 400;

/// Cost of a server that failed every time lately.
const FAILING_MS: f64 = 4_000.0;

/// Wait in a plain server's queue for each request above its slots, and below them.
const PLAIN_QUEUE_MS: f64 = 30.0;
const PLAIN_BESIDE_MS: f64 = 2.0;

/// Part of a server's memory that kept parts are expected to fill at most.
const KEPT_SHARE: f64 = 0.8;

/// A server and what is known of it.
#[derive(Clone, Debug)]
struct Member {
    server: Arc<Server>,
    /// What this box has running there.
    own: Load,
    kept: Kept,
    health: Health,
    /// What its owner said last, and when.
    heard: Option<(Opinion, Millis)>,
}

impl Member {
    /// What runs there: what its owner said lately, else what this box has there.
    fn load(&self, now: Millis) -> Load {
        let heard = self.heard.as_ref().filter(|(_, at)| now < at + HEARD_MOST);
        heard.map_or(self.own, |(opinion, _)| opinion.load)
    }

    fn paused(&self, now: Millis) -> bool {
        let heard = self.heard.as_ref().filter(|(_, at)| now < at + HEARD_MOST);
        self.health.paused(now) || heard.is_some_and(|(opinion, _)| opinion.paused)
    }
}

/// All servers of a service that aren't draining, and their records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    engine: Option<Engine>,
    /// By id. Draining servers stay while they are listed, since requests may still run there.
    members: HashMap<String, Member>,
}

/// A member that could be chosen, with its cost.
struct Candidate<'a> {
    member: &'a Member,
    cost: f64,
    /// Tokens to read there, after a fetch if one is worth it.
    unread: u32,
    fetch: bool,
}

/// A server that surely keeps the first `tokens` of a prompt's shared parts.
#[derive(Clone, Copy)]
struct Source<'a> {
    member: &'a Member,
    tokens: u32,
}

impl Pool {
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Tokens of parts that one server is expected to keep at most.
    pub(crate) fn memory(&self) -> u64 {
        self.engine.as_ref().map_or(0.0, |e| e.memory_tokens as f64 * KEPT_SHARE) as u64
    }

    /// Takes the listed servers; records of others are dropped.
    pub(crate) fn set_servers(&mut self, servers: &[Arc<Server>]) {
        self.members.retain(|id, _| servers.iter().any(|s| s.id == *id));
        for server in servers {
            let fresh = || Member {
                server: Arc::clone(server),
                own: Load::default(),
                kept: Kept::default(),
                health: Health::default(),
                heard: None,
            };
            let member = self.members.entry(server.id.clone()).or_insert_with(fresh);
            member.server = Arc::clone(server);
        }
    }

    /// Servers whose owners are worth asking, the most likely one first.
    pub(crate) fn plan(&self, ask: &Ask<'_>, hall: &str, most: usize) -> Vec<Arc<Server>> {
        let among = self.among(ask);
        let homes = ask.prompt.map_or_else(Vec::new, |prompt| homes(&among, prompt));
        let likely: Vec<&Member> = if homes.len() > 1 { homes[..2].to_vec() } else { Vec::new() };
        let source = self.source(ask);
        let mut candidates: Vec<_> =
            among.iter().map(|m| self.weigh(m, ask, hall, 0.0, homes.first().copied(), source)).collect();
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let cheap = candidates.iter().map(|c| c.member).filter(|m| !likely.iter().any(|l| l.server.id == m.server.id));
        likely.iter().copied().chain(cheap).take(most).map(|m| Arc::clone(&m.server)).collect()
    }

    /// The server that surely has read the most of the prompt's shared parts, as far as this box has heard.
    fn source(&self, ask: &Ask<'_>) -> Option<Source<'_>> {
        let shared = ask.prompt?.shared();
        let read = |m: &Member| m.kept.read_prefix(shared).max(ask.opinion(&m.server.id).map_or(0, |o| o.read));
        let best = self.members.values().filter(|m| !m.paused(ask.now)).max_by_key(|m| read(m))?;
        let tokens = read(best).min(ask.prompt?.shared_tokens());
        (tokens > 0).then_some(Source { member: best, tokens })
    }

    /// Takes what the owner of a server said.
    pub(crate) fn hear(&mut self, id: &str, opinion: Opinion, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard = Some((opinion, now));
        }
    }

    fn among(&self, ask: &Ask<'_>) -> Vec<&Member> {
        let open: Vec<&Member> =
            self.members.values().filter(|m| !m.server.draining && !ask.tried.contains(&m.server.id)).collect();
        let sound: Vec<&Member> = open.iter().copied().filter(|m| !m.paused(ask.now)).collect();
        if sound.is_empty() {
            soonest(&open)
        } else {
            sound
        }
    }

    /// The server with the least cost. `hall` is this box's.
    pub(crate) fn choose(&mut self, ask: &Ask<'_>, hall: &str) -> Result<Choice, Refusal> {
        let among = self.among(ask);
        let least = among.iter().map(|m| m.health.failing()).fold(1.0, f64::min);
        let home = ask.prompt.and_then(|prompt| homes(&among, prompt).first().copied());
        let source = self.source(ask);
        // A server whose owner wasn't heard looks idle: where some were heard, only those are compared.
        let heard = |m: &&&Member| ask.opinions.is_empty() || ask.opinion(&m.server.id).is_some();
        let candidates = among.iter().filter(heard).map(|m| self.weigh(m, ask, hall, least, home, source));
        let Some(best) = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Err(Refusal::NoServer);
        };
        let choice = Choice {
            server: Arc::clone(&best.member.server),
            fetch: if best.fetch { source.map(|s| s.member.server.address) } else { None },
            unread: best.unread,
            cost_ms: best.cost as u32,
            load: best.member.load(ask.now),
            candidates: among.len(),
        };
        self.chosen(&choice, ask);
        Ok(choice)
    }

    /// Notes what a choice changes: a try after a pause, and the parts that will be kept.
    fn chosen(&mut self, choice: &Choice, ask: &Ask<'_>) {
        let most = self.memory();
        let Some(member) = self.members.get_mut(&choice.server.id) else { return };
        if member.health.on_trial(ask.now) {
            member.health.try_now(ask.now);
        }
        if let Some(prompt) = ask.prompt {
            member.kept.touch(&prompt.parts, most, ask.now);
        }
    }

    fn weigh<'a>(
        &self,
        member: &'a Member,
        ask: &Ask<'_>,
        hall: &str,
        least: f64,
        home: Option<&Member>,
        source: Option<Source<'_>>,
    ) -> Candidate<'a> {
        let far = member.server.hall != hall;
        let mut cost = (member.health.failing() - least) * FAILING_MS;
        if far {
            cost += FAR_MS + FAR_MS_PER_KB * ask.bytes as f64 / 1024.0;
        }
        let load = ask.opinion(&member.server.id).map_or_else(|| member.load(ask.now), |opinion| opinion.load);
        let Some(prompt) = ask.prompt else {
            let over = load.running.saturating_sub(member.server.slots.saturating_sub(1));
            cost += f64::from(load.running) * PLAIN_BESIDE_MS + f64::from(over) * PLAIN_QUEUE_MS;
            return Candidate { member, cost, unread: 0, fetch: false };
        };
        let (unread, fetch, reading) = self.reading(member, ask, prompt, home, source);
        let beside = f64::from(load.running.min(member.server.slots));
        let read_ms = f64::from(unread) / READ_PER_MS;
        cost += load.unread as f64 / READ_PER_MS + read_ms * (1.0 + HOLD_UP * beside) + beside * BESIDE_MS + reading;
        let need = u64::from(prompt.tokens + prompt.out());
        let memory = self.engine.as_ref().map_or(u64::MAX, |e| e.memory_tokens);
        if load.running >= member.server.slots || load.held + need > memory {
            cost += FULL_MS;
        }
        Candidate { member, cost, unread, fetch }
    }

    /// Tokens to read at a member, whether to fetch the missing ones, and what that costs besides time.
    fn reading(
        &self,
        member: &Member,
        ask: &Ask<'_>,
        prompt: &Prompt,
        home: Option<&Member>,
        source: Option<Source<'_>>,
    ) -> (u32, bool, f64) {
        let shared = prompt.shared_tokens();
        let said = ask.opinion(&member.server.id);
        let kept = member.kept.prefix(&prompt.parts).max(said.map_or(0, |opinion| opinion.kept));
        let unread = prompt.tokens.saturating_sub(kept);
        let at_home = home.is_some_and(|home| home.server.id == member.server.id);
        if at_home && said.is_none() {
            // Where the owner is not heard, it is taken that other boxes sent the parts there already.
            return (unread.min(prompt.tokens.saturating_sub(shared)), false, 0.0);
        }
        if let Some(source) = source.filter(|source| source.member.server.id != member.server.id) {
            let fetched = source.tokens.saturating_sub(kept);
            if fetched >= FETCH_LEAST {
                let rest = if at_home { 0 } else { shared.saturating_sub(source.tokens) };
                let cost = f64::from(fetched) / 1000.0 * FETCH_MS_PER_K + f64::from(rest) / 1000.0 * REREAD_MS_PER_K;
                return (unread - fetched, true, cost);
            }
        }
        let lacking = if at_home { 0 } else { shared.saturating_sub(kept) };
        (unread, false, f64::from(lacking) / 1000.0 * REREAD_MS_PER_K)
    }

    pub(crate) fn begin(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.begin(work);
        }
    }

    pub(crate) fn read(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.read(work);
        }
    }

    pub(crate) fn confirm(&mut self, id: &str, prompt: &Prompt) {
        if let Some(member) = self.members.get_mut(id) {
            member.kept.confirm(&prompt.parts);
        }
    }

    pub(crate) fn note(&mut self, id: &str, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.note(ending, now);
        }
    }

    pub(crate) fn end(&mut self, id: &str, work: Work, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.end(work);
            member.health.note(ending, now);
        }
    }
}

/// Of servers that are all paused, the one whose pause ends first.
fn soonest<'a>(paused: &[&'a Member]) -> Vec<&'a Member> {
    paused.iter().copied().min_by_key(|m| m.health.pause_until()).into_iter().collect()
}

/// The servers in the order in which every box would have them keep a prompt's last shared part; none without one.
fn homes<'a>(among: &[&'a Member], prompt: &Prompt) -> Vec<&'a Member> {
    let Some(last) = prompt.shared().last() else { return Vec::new() };
    let mut ranked: Vec<(u64, &Member)> = among.iter().map(|m| (rank(last, &m.server.id), *m)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Equal on every box: the highest ranked server keeps the part.
fn rank(part: &Part, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.id.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
