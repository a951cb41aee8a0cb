//! One request, from its head to its outcome.

use crate::answer::{self, strip_hop};
use crate::attempt::{self, Answer, Claim, Message, Sent};
use crate::connections::Connections;
use crate::consult::{self, Asked};
use crate::crash::{Broken, Crashes};
use crate::dialect::{Call, Dispatch};
use crate::outcome::Outcome;
use crate::shared::Shared;
use crate::timing::Timing;
use crate::Body;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{header, request, HeaderValue, Response, StatusCode};
use placement::{Ask, Choice, Ending, Fingerprint, Millis, Opinion, Prompt, Refusal, Verdict};
use rand::Rng;
use routing::{Customer, Kind, Route};
use std::cell::{Cell, OnceCell};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::watch;
use tokio::time::Instant;

/// Most servers that are tried without a connection for one request. They don't count as sends.
const UNREACHED_MOST: usize = 6;

/// When a refused caller is asked to come back: a crashed server's place is taken by others within that.
const COME_BACK: Duration = Duration::from_millis(400);

/// Shortest time after which a caller is asked back where all places are taken: as long as an answer of seconds takes, so
/// that others have ended. Up to twice the time, by chance, so that those who were refused don't come back together.
const CROWD_LEAST: Duration = Duration::from_secs(1);

/// The same where all servers are cold: some of them are warm again within that, or their owners give leave.
const COLD_LEAST: Duration = Duration::from_millis(600);

/// Less time than this is not worth a send: the way to a server and back, and its shortest work.
const TIME_LEAST: Duration = Duration::from_millis(8);

/// How many servers' owners are asked for one request: the three that are to keep its parts first, and two cheap
/// ones.
const OWNERS_ASKED: usize = 9;

/// Longest wait for owners. They are a few milliseconds away; a slow one must not make requests late.
const OPINION_MOST: Duration = Duration::from_millis(25);

/// Longest wait for whether the server of a send that broke off has ended, before the next: some ways there and back. Without
/// it a request ends a fourth server, as the next send is faster than the news.
const LOOK_MOST: Duration = Duration::from_millis(25);

/// Longest time from a cold server's owner's leave to the send: the span in which the owner counts arrivals is longer than
/// a second by twice this, the rest being for the way. By the clock that counts while the machine is suspended: the owner's
/// second does, too.
const LEAVE_MOST: Millis = 100;

/// How many aims long a server of repeatable requests may be silent before another is asked: the longest work on the
/// users' sheets takes one and a half.
const SILENT_AIMS: u32 = 3;

/// A request that may pass, and what became of its sends.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connections: Connections,
    pub(crate) crashes: Crashes,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) service: String,
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// When its time is over, for the caller or for the route, whichever is first.
    pub(crate) deadline: Instant,
    /// The same by the clock that counts while the machine is suspended: what servers are told, and whether it is sent again.
    pub(crate) ends: Millis,
    pub(crate) began: Instant,
    /// What it is known by when it comes again; made when it is first asked for.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// Ids of servers that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<String>,
    /// Closes when it is known whether the server of the last send, which broke off, has ended.
    pub(crate) looking: Option<watch::Receiver<()>>,
    /// Sends that reached a server.
    pub(crate) sends: u32,
    /// Sends that found no server.
    pub(crate) unreached: usize,
    /// Until when the send that was last claimed may leave this box; none where the server isn't cold.
    pub(crate) leave_until: Option<Millis>,
    /// True when a send that has ended may have run.
    pub(crate) may_have_run: bool,
    /// True while the last send may run or have run. Stands beside `may_have_run`, since a send that is dropped when the
    /// time is over can't say how it ended.
    pub(crate) under_way: Cell<bool>,
    /// True once its one outcome is known.
    pub(crate) concluded: bool,
    /// When its events came, if it is a stream.
    pub(crate) timing: Timing,
    /// What was decided, for the log.
    pub(crate) trail: String,
}

/// What a send brought.
enum Got {
    Stream(Box<Answer>),
    Whole(Box<http::response::Parts>, Bytes),
    Nothing(Sent),
}

/// Why a request is not sent.
pub(crate) enum Withheld {
    /// No server may be tried.
    Refused(Refusal),
    /// Its time is over.
    Late,
    /// Servers ended under it, again and again.
    Held {
        /// When its caller is asked back, in milliseconds.
        back_ms: Millis,
    },
}

impl From<Refusal> for Withheld {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// What follows a send that brought no answer.
enum Next {
    Again,
    GiveUp,
}

impl Exchange {
    /// Sends the request until there is an outcome, or the beginning of a stream.
    pub(crate) async fn run(&mut self) -> Reply {
        if let Verdict::Held { back_ms } = self.verdict() {
            return Reply::Whole(self.not_sent(&Withheld::Held { back_ms }));
        }
        let now = self.shared.now();
        self.shared.placement().first_send(&self.service, now);
        loop {
            match tokio::time::timeout_at(self.deadline, self.step()).await {
                Ok(Some(reply)) => return reply,
                Ok(None) => {}
                Err(_) => return Reply::Whole(self.too_late()),
            }
        }
    }

    /// One send. None asks for another.
    async fn step(&mut self) -> Option<Reply> {
        let (choice, mut claim) = match self.choose().await {
            Ok(chosen) => chosen,
            Err(why) => return Some(Reply::Whole(self.not_sent(&why))),
        };
        let got = match self.patience(&choice) {
            Some(patience) => tokio::time::timeout(patience, self.get(&choice))
                .await
                .unwrap_or_else(|_| Got::Nothing(Sent::Broken("silent".to_owned()))),
            None => self.get(&choice).await,
        };
        match got {
            Got::Stream(answer) => Some(Reply::Stream(answer, claim)),
            Got::Whole(parts, bytes) => {
                claim.read();
                self.whole(*parts, bytes, claim)
            }
            Got::Nothing(sent) => self.after(sent, claim),
        }
    }

    /// Sends, and reads the answer unless it is a stream.
    async fn get(&mut self, choice: &Choice) -> Got {
        match self.send(choice, self.call.last_event).await {
            Sent::Answer(answer) if self.route.kind.streams() && answer.parts.status.is_success() => {
                Got::Stream(answer)
            }
            Sent::Answer(answer) => match answer.collect(&self.connections).await {
                Ok((parts, bytes)) => Got::Whole(Box::new(parts), bytes),
                Err(why) => Got::Nothing(Sent::Broken(why)),
            },
            sent => Got::Nothing(sent),
        }
    }

    /// How long a server may be silent before another is asked. Only where there is one and it may be done; elsewhere
    /// silence is no reason to end a request sooner.
    fn patience(&self, choice: &Choice) -> Option<Duration> {
        let another = self.route.kind == Kind::Idempotent && self.sends + 1 < self.route.attempts;
        let patience = self.route.aim * SILENT_AIMS;
        let left = self.left();
        (another && choice.candidates > 1 && patience < left).then_some(patience)
    }

    /// Chooses a server, and claims a place there.
    pub(crate) async fn choose(&mut self) -> Result<(Choice, Claim), Withheld> {
        let opinions = self.consult().await;
        if let Some(mut looking) = self.looking.take() {
            // Closed or late: what is known by then is gone by.
            let _ = tokio::time::timeout(LOOK_MOST, looking.changed()).await;
        }
        let mut denied = Vec::new();
        loop {
            let choice = self.shared.placement().choose(&self.ask(&opinions, &denied))?;
            let leave_until = self.shared.now() + LEAVE_MOST;
            let Some(most) = choice.leave else {
                return self.claim(choice, None);
            };
            if consult::leave(&self.shared, &choice.server, most, Instant::now() + OPINION_MOST).await {
                return self.claim(choice, Some(leave_until));
            }
            denied.push(choice.server.id.clone());
        }
    }

    /// Takes a place at the chosen server, unless servers ended under the request meanwhile, here or elsewhere.
    fn claim(&mut self, choice: Choice, leave_until: Option<Millis>) -> Result<(Choice, Claim), Withheld> {
        if self.left().is_zero() {
            // The machine was suspended: its timers don't know yet.
            return Err(Withheld::Late);
        }
        match self.verdict() {
            Verdict::Free => {}
            Verdict::Trial => self.shared.begin_trial(self.fingerprint()),
            Verdict::Held { back_ms } => return Err(Withheld::Held { back_ms }),
        }
        self.leave_until = leave_until;
        self.log_choice(&choice);
        let claim = Claim::new(&self.shared, &self.service, &choice, self.call.prompt.as_ref());
        Ok((choice, claim))
    }

    fn ask<'a>(&'a self, opinions: &'a [(String, Opinion)], denied: &'a [String]) -> Ask<'a> {
        Ask {
            service: &self.service,
            prompt: self.call.prompt.as_ref(),
            aim: self.route.aim,
            gap_aim: self.route.gap_aim,
            urgency: self.urgency(),
            bytes: self.body.len(),
            tried: &self.tried,
            denied,
            homes: [self.route.homes.as_ref(), self.customer.as_ref().and_then(|customer| customer.homes.as_ref())],
            opinions,
            now: self.shared.now(),
        }
    }

    /// Asks the owners of the likeliest servers; nobody for requests that are no prompts.
    async fn consult(&self) -> Vec<(String, Opinion)> {
        let Some(prompt) = &self.call.prompt else { return Vec::new() };
        let planned = self.shared.placement().plan(&self.ask(&[], &[]), OWNERS_ASKED);
        let gap_ms = self.route.gap_aim.map_or(0, |gap| gap.as_millis() as u32);
        let asked: Vec<Asked> =
            planned.iter().filter_map(|server| Asked::new(&self.shared, server, prompt, gap_ms)).collect();
        let until = Instant::now() + OPINION_MOST;
        let mut opinions = Vec::new();
        for asked in asked {
            opinions.extend(asked.wait(&self.shared, &self.service, until).await);
        }
        opinions
    }

    /// What it is known by when it comes again.
    fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.parts.headers.get(header::HOST).map_or(&b""[..], HeaderValue::as_bytes);
            let target = self.parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
            let method = self.parts.method.as_str();
            let fields = [method.as_bytes(), host, target.as_bytes(), customer.as_bytes(), &self.body];
            Fingerprint::of(self.shared.secret, &fields)
        })
    }

    /// Whether it may be sent, as far as servers ended under it before.
    fn verdict(&self) -> Verdict {
        if self.shared.quarantine().is_empty() {
            return Verdict::Free;
        }
        self.shared.verdict(self.fingerprint())
    }

    /// The answer that was claimed broke off: its connection has ended, or its server has.
    pub(crate) fn broke(&mut self, claim: &Claim) {
        let broken = Broken { request: self.fingerprint(), sent: claim.sent, at: self.shared.now() };
        self.looking = Some(self.crashes.broke(&self.shared, &self.connections, &claim.server, broken));
    }

    fn log_choice(&self, choice: &Choice) {
        let Choice { expected, work, load, .. } = choice;
        let prompt = self.call.prompt.as_ref();
        telemetry::emit(
            Event::ServerChosen,
            format_args!(
                "id={} server={} cost={:.3} expected_ms={:.0} stalled={:.2} others={:.2} split={:.2} unread={} fetch={} among={} \
                 running={} ahead={} held={} prompt={} shared={} read_ms={:.1} pair_ms={:.2} stall_ms={:.0} stall_depth_ms={:.1}",
                self.call.id,
                choice.server.id,
                expected.cost,
                expected.wait_ms,
                expected.stalled,
                expected.others,
                expected.split,
                work.reading.tokens,
                choice.fetch.map_or_else(|| "-".to_owned(), |f| f.to_string()),
                choice.candidates,
                load.running,
                load.reading.tokens,
                load.held,
                prompt.map_or(0, |p| p.tokens),
                prompt.map_or(0, Prompt::shared_tokens),
                expected.speed.read_ms,
                expected.speed.pair_ms,
                expected.speed.stall_ms,
                expected.speed.stall_depth_ms,
            ),
        );
    }

    /// Sends to the chosen server, with what time is left.
    pub(crate) async fn send(&mut self, choice: &Choice, last_event: Option<u64>) -> Sent {
        let server = Arc::clone(&choice.server);
        if self.may_have_run && !self.route.kind.repeatable() {
            telemetry::emit(Event::SecondSendBroken, format_args!("id={} trail=\"{}\"", self.call.id, self.trail));
            return Sent::Broken("not sent a second time".to_owned());
        }
        let at = self.began.elapsed().as_millis();
        let _ = write!(self.trail, " +{at}:{}@{}", server.id, server.address);
        self.tried.push(server.id.clone());
        let dispatch = Dispatch {
            name: &server.name,
            customer: self.customer.as_ref().map(|c| c.name.as_str()),
            time: self.left(),
            urgency: self.call.prompt.as_ref().map(|_| self.urgency()),
            fetch: choice.fetch,
            last_event,
        };
        let leave_until = self.leave_until;
        let message = Message { id: &self.call.id, parts: &self.parts, body: &self.body, leave_until };
        attempt::send(&self.shared, &self.connections, &server, &message, &dispatch, &self.under_way).await
    }

    fn urgency(&self) -> u8 {
        self.route.urgency(self.customer.as_deref())
    }

    /// A whole answer: passed on, unless it is a failure that another server may mend.
    fn whole(&mut self, parts: http::response::Parts, bytes: Bytes, claim: Claim) -> Option<Reply> {
        self.sends += 1;
        let status = parts.status;
        let _ = write!(self.trail, "={}", status.as_u16());
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            claim.ended(Ending::Failed);
            self.may_have_run = true;
            if self.route.kind.repeatable() && self.may_send_again() {
                return None;
            }
        } else {
            claim.ended(Ending::Good);
        }
        Some(Reply::Whole(self.pass_on(parts, bytes)))
    }

    fn pass_on(&mut self, mut parts: http::response::Parts, bytes: Bytes) -> Response<Body> {
        let promise = [408, 421, 429, 503];
        if promise.contains(&parts.status.as_u16()) {
            // Such a status says to callers that the request has not run, and this server doesn't say so.
            return self.unknown("the server failed");
        }
        strip_hop(&mut parts.headers);
        let outcome = if parts.status.is_success() { Outcome::Answered } else { Outcome::Unknown };
        self.conclude(outcome);
        Response::from_parts(parts, answer::body(bytes))
    }

    /// A send without an answer: again, or the end.
    fn after(&mut self, sent: Sent, claim: Claim) -> Option<Reply> {
        match self.judge(sent, claim) {
            Next::Again => None,
            Next::GiveUp if self.may_have_run => Some(Reply::Whole(self.unknown("no answer"))),
            Next::GiveUp => Some(Reply::Whole(self.refuse("no server took the request"))),
        }
    }

    fn judge(&mut self, sent: Sent, claim: Claim) -> Next {
        let (ending, why) = match sent {
            Sent::Unreached(why) => (Ending::Unreached, why),
            Sent::NotRun(why) => (Ending::NotRun, why),
            Sent::Broken(why) => (Ending::Broken, why),
            Sent::Expired => (Ending::Left, "no connection within the leave".to_owned()),
            Sent::Answer(_) => (Ending::Broken, "an answer out of place".to_owned()),
        };
        let _ = write!(self.trail, "={ending:?}({why})");
        if ending == Ending::Broken {
            self.broke(&claim);
        }
        claim.ended(ending);
        if matches!(ending, Ending::Unreached | Ending::Left) {
            self.unreached += 1;
            return if self.unreached <= UNREACHED_MOST && self.time_left() { Next::Again } else { Next::GiveUp };
        }
        self.sends += 1;
        self.may_have_run |= ending == Ending::Broken;
        let allowed = !self.may_have_run || self.route.kind.repeatable();
        if allowed && self.may_send_again() {
            Next::Again
        } else {
            Next::GiveUp
        }
    }

    /// True when another send is within the route's attempts, the time and the shared budget.
    pub(crate) fn may_send_again(&mut self) -> bool {
        if self.sends >= self.route.attempts || !self.time_left() {
            return false;
        }
        let now = self.shared.now();
        let taken = self.shared.placement().second_send(&self.service, now);
        if !taken {
            self.trail.push_str(" budget used up");
        }
        taken
    }

    fn time_left(&self) -> bool {
        self.left() > TIME_LEAST
    }

    /// What is left of its time.
    fn left(&self) -> Duration {
        Duration::from_millis(self.ends.saturating_sub(self.shared.now()))
    }

    /// A further send of a stream that broke: its answer, if a server goes on with it.
    pub(crate) async fn resume(&mut self, last_event: Option<u64>) -> Option<(Answer, Claim)> {
        loop {
            let (choice, claim) = self.choose().await.ok()?;
            match self.send(&choice, last_event).await {
                Sent::Answer(answer) if answer.parts.status.is_success() => return Some((*answer, claim)),
                sent => {
                    if let Next::GiveUp = self.judge(sent, claim) {
                        return None;
                    }
                }
            }
        }
    }

    fn not_sent(&mut self, why: &Withheld) -> Response<Body> {
        if self.may_have_run {
            return self.unknown("no other server");
        }
        match *why {
            Withheld::Refused(Refusal::NoServer) => self.refuse("no server"),
            Withheld::Refused(Refusal::Cold) => {
                let after = COLD_LEAST.mul_f64(rand::rng().random_range(1.0..2.0));
                self.refuse_until("all servers are cold", after)
            }
            Withheld::Late => self.refuse("its time is over"),
            Withheld::Held { back_ms } => {
                self.trail.push_str("held");
                self.refuse_until("servers ended under this request", Duration::from_millis(back_ms))
            }
            Withheld::Refused(Refusal::Crowded { wait_ms }) => {
                let _ = write!(self.trail, "crowded, {wait_ms:.0} ms to a place");
                let wait = Duration::from_secs_f64(wait_ms / 1e3) + CROWD_LEAST;
                self.refuse_until("all places are taken", wait.mul_f64(rand::rng().random_range(1.0..2.0)))
            }
        }
    }

    fn refuse(&mut self, why: &'static str) -> Response<Body> {
        self.refuse_until(why, COME_BACK)
    }

    /// Refuses, and says when to come back.
    fn refuse_until(&mut self, why: &'static str, after: Duration) -> Response<Body> {
        if self.may_have_run {
            telemetry::emit(Event::RefusalBroken, format_args!("id={} trail=\"{}\"", self.call.id, self.trail));
            return self.unknown(why);
        }
        self.conclude(Outcome::Refused);
        answer::refused(why, after)
    }

    fn unknown(&mut self, why: &'static str) -> Response<Body> {
        self.conclude(Outcome::Unknown);
        answer::plain(StatusCode::BAD_GATEWAY, why)
    }

    fn too_late(&mut self) -> Response<Body> {
        if let Some(server) = self.tried.last().filter(|_| !self.route.kind.streams()) {
            // A plain server that says nothing for that long is broken; an engine may be busy.
            let now = self.shared.now();
            self.shared.placement().note(&self.service, server, Ending::Broken, now);
        }
        if !self.may_have_run && !self.under_way.get() {
            return self.refuse("no server could be reached in time");
        }
        self.conclude(Outcome::Late);
        answer::plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
    }

    /// Logs and counts the end of the request.
    pub(crate) fn conclude(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.concluded, true) {
            telemetry::emit(Event::SecondOutcomeBroken, format_args!("id={} outcome={}", self.call.id, outcome.word()));
            return;
        }
        let took = self.began.elapsed();
        metrics::counter!("cleatshelf_requests_total", "outcome" => outcome.word(), "route" => self.route.name.clone())
            .increment(1);
        metrics::histogram!("cleatshelf_request_seconds", "route" => self.route.name.clone())
            .record(took.as_secs_f64());
        if outcome == Outcome::Answered && !self.shared.quarantine().is_empty() {
            self.shared.survived(self.fingerprint());
        }
        let late = if outcome == Outcome::Answered { self.timing.late(&self.route) } else { None };
        if let Some(why) = late {
            metrics::counter!("cleatshelf_streams_late_total", "why" => why, "route" => self.route.name.clone())
                .increment(1);
        }
        let plain = outcome == Outcome::Answered && self.sends <= 1;
        telemetry::emit(
            if plain { Event::RequestAnswered } else { Event::RequestEnded },
            format_args!(
                "id={} request={} outcome={} route={} ms={} first={} pause={} sends={} trail=\"{}\"",
                self.call.id,
                self.fingerprint(),
                outcome.word(),
                self.route.name,
                took.as_millis(),
                self.timing.first.map_or(0, |first| first.as_millis()),
                self.timing.pause.as_millis(),
                self.sends,
                self.trail.trim_start()
            ),
        );
    }
}

/// What the sends brought for the caller.
pub(crate) enum Reply {
    /// All of it.
    Whole(Response<Body>),
    /// The beginning of a stream, which is still to be passed on.
    Stream(Box<Answer>, Claim),
}
