//! What it costs to send a request to a server, in milliseconds of a wait.

use crate::member::Member;
use crate::pace::Pace;
use crate::{Ask, Load, Prompt, Work};
use routing::Engine;

/// Prompt tokens that a server reads in a millisecond. From the users' sheets (36.7 and 48.2).
const READ_PER_MS: f64 = 40.0;

/// What reading a thousand shared tokens again costs beyond its time, in milliseconds of a wait. From the
/// sheets' prices: 13,300 tokens cost 1.2 of a request, whose wait of 2,500 ms is worth about one.
const REREAD_MS_PER_K: f64 = 800.0;

/// What fetching a thousand tokens from another server costs, by the same measure (0.32 for 13,300).
const FETCH_MS_PER_K: f64 = 120.0;

/// Fewest missing tokens that are worth fetching: a transfer takes 8 ms to set up.
pub(crate) const FETCH_LEAST: u32 = 1_000;

/// How much a request that runs beside slows each one: 0.15 ms a token and some hundred tokens.
const BESIDE_MS: f64 = 15.0;

/// How much of the time for reading a prompt each request that runs beside is held up.
const HOLD_UP: f64 = 0.15;

/// What a server without a free slot or enough memory costs.
const FULL_MS: f64 = 1_500.0;

/// What sending a kilobyte to another hall costs. From the sheets: 17 KB cost 0.02 to 0.15 of a request, as much as 5
/// to 40 ms of wait for each kilobyte.
const FAR_MS_PER_KB: f64 = 20.0;

/// What the way to another hall costs whatever its size.
const FAR_MS: f64 = 3.0;

/// Cost of a server that failed every time lately.
const FAILING_MS: f64 = 4_000.0;

/// What being late costs, in this order: nothing up to this part of the aim, and all of it where the first event is
/// expected after the aim. From the sheets: a late answer loses about as much as 13,300 tokens read again cost.
const LATE_FROM: f64 = 0.6;
const LATE_MS: f64 = 4_000.0;

/// What a quick answer loses beside a deep prompt, and a deep prompt for each quick answer beside it: a third of them is
/// late. Measured: twice as much serves no better.
const BESIDE_DEEP_MS: f64 = 700.0;
const BESIDE_QUICK_MS: f64 = 500.0;

/// Most deep prompts beside a quick answer that count: it can't be more than late.
const DEEP_MOST: u32 = 3;

/// What it costs a quick answer to run on the deep side, where deep prompts will come. Measured: docs/design/choosing.md.
const DEEP_SIDE_MS: f64 = 400.0;

/// Wait in a plain server's queue for each request above its slots, and below them.
const PLAIN_QUEUE_MS: f64 = 30.0;
const PLAIN_BESIDE_MS: f64 = 2.0;

/// A member that could be chosen, with its cost.
pub(crate) struct Candidate<'a> {
    pub(crate) member: &'a Member,
    pub(crate) cost: f64,
    /// What the request adds there, after a fetch if one is worth it.
    pub(crate) work: Work,
    pub(crate) fetch: bool,
}

/// A server that surely keeps the first `tokens` of a prompt's shared parts.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) member: &'a Member,
    pub(crate) tokens: u32,
}

/// What reading a prompt at some server takes.
struct Reading {
    /// Tokens to read, after a fetch if one is worth it.
    unread: u32,
    fetch: bool,
    /// What it costs besides the time.
    cost: f64,
}

/// What the servers of a pool are weighed by, for one request.
pub(crate) struct Scale<'a> {
    pub(crate) ask: &'a Ask<'a>,
    pub(crate) engine: Option<&'a Engine>,
    pub(crate) pace: Pace,
    /// This box's hall.
    pub(crate) hall: &'a str,
    /// Least share of failures among the servers: only more than that counts against one.
    pub(crate) failing_least: f64,
    /// The servers that are to keep the prompt's shared parts, the first of them first; none without such parts.
    pub(crate) homes: Vec<&'a Member>,
    /// From where these can be fetched.
    pub(crate) source: Option<Source<'a>>,
    /// Ids of the servers where deep prompts are to be read.
    pub(crate) deep_side: Vec<&'a str>,
}

impl Scale<'_> {
    /// A server with its cost.
    pub(crate) fn weigh<'m>(&self, member: &'m Member) -> Candidate<'m> {
        let base = (member.health.failing() - self.failing_least) * FAILING_MS + self.way(member);
        let said = self.ask.opinion(&member.server.id);
        let load = said.map_or_else(|| member.load(self.ask.now), |opinion| opinion.load);
        match self.ask.prompt {
            Some(prompt) => self.weigh_prompt(member, &load, prompt, base),
            None => Candidate { member, cost: base + plain_wait(member, &load), work: Work::default(), fetch: false },
        }
    }

    /// What the way to the server costs.
    fn way(&self, member: &Member) -> f64 {
        if member.server.hall == self.hall {
            return 0.0;
        }
        FAR_MS + FAR_MS_PER_KB * self.ask.bytes as f64 / 1024.0
    }

    fn weigh_prompt<'m>(&self, member: &'m Member, load: &Load, prompt: &Prompt, base: f64) -> Candidate<'m> {
        let reading = self.reading(member, prompt);
        let beside = f64::from(load.running.min(member.server.slots));
        let read_ms = f64::from(reading.unread) / READ_PER_MS;
        let wait = load.unread as f64 / READ_PER_MS + read_ms * (1.0 + HOLD_UP * beside) + beside * BESIDE_MS;
        let work = self.work(prompt, reading.unread);
        let memory = self.engine.map_or(u64::MAX, |engine| engine.memory_tokens);
        let full = load.running >= member.server.slots || load.held + u64::from(work.held) > memory;
        let full = if full { FULL_MS } else { 0.0 };
        let cost = base + wait + self.lateness(wait) + reading.cost + full + self.beside(member, load, work);
        Candidate { member, cost, work, fetch: reading.fetch }
    }

    /// What a wait for the first event costs beyond itself, by how likely it makes the request late.
    fn lateness(&self, wait_ms: f64) -> f64 {
        let part = wait_ms / (self.ask.aim.as_secs_f64() * 1_000.0).max(1.0);
        ((part - LATE_FROM) / (1.0 - LATE_FROM)).clamp(0.0, 1.0) * LATE_MS
    }

    /// What a request adds to the load of a server that has `unread` of its tokens to read.
    fn work(&self, prompt: &Prompt, unread: u32) -> Work {
        Work {
            unread,
            held: prompt.tokens.saturating_add(prompt.out()),
            quick: Pace::new(self.ask.gap_aim, self.engine).quick(),
            deep: self.pace.deep(prompt.tokens, unread),
        }
    }

    /// What quick answers lose beside deep prompts.
    fn beside(&self, member: &Member, load: &Load, work: Work) -> f64 {
        let mut cost = 0.0;
        if work.quick {
            cost += f64::from(load.deep.min(DEEP_MOST)) * BESIDE_DEEP_MS;
            if self.deep_side.contains(&member.server.id.as_str()) {
                cost += DEEP_SIDE_MS;
            }
        }
        if work.deep {
            cost += f64::from(load.quick) * BESIDE_QUICK_MS;
        }
        cost
    }

    fn reading(&self, member: &Member, prompt: &Prompt) -> Reading {
        let shared = prompt.shared_tokens();
        let said = self.ask.opinion(&member.server.id);
        let kept = member.kept.prefix(&prompt.parts).max(said.map_or(0, |opinion| opinion.kept));
        let unread = prompt.tokens.saturating_sub(kept);
        let at_home = self.homes.first().is_some_and(|home| home.server.id == member.server.id);
        if at_home && said.is_none() {
            // Where the owner is not heard, it is taken that other boxes sent the parts there already.
            let unread = unread.min(prompt.tokens.saturating_sub(shared));
            return Reading { unread, fetch: false, cost: 0.0 };
        }
        // What is read at home for the first time is not read again.
        let again = |tokens: u32| if at_home { 0.0 } else { f64::from(tokens) / 1_000.0 * REREAD_MS_PER_K };
        let source = self.source.filter(|source| source.member.server.id != member.server.id);
        if let Some(source) = source.filter(|source| source.tokens >= kept + FETCH_LEAST) {
            let fetched = source.tokens - kept;
            let cost = f64::from(fetched) / 1_000.0 * FETCH_MS_PER_K + again(shared.saturating_sub(source.tokens));
            return Reading { unread: unread.saturating_sub(fetched), fetch: true, cost };
        }
        Reading { unread, fetch: false, cost: again(shared.saturating_sub(kept)) }
    }
}

/// The wait at a plain server.
fn plain_wait(member: &Member, load: &Load) -> f64 {
    let over = load.running.saturating_sub(member.server.slots.saturating_sub(1));
    f64::from(load.running) * PLAIN_BESIDE_MS + f64::from(over) * PLAIN_QUEUE_MS
}
