//! An engine that runs requests in batches.
//!
//! A step makes one event for each request whose prompt was read, and reads a piece of one prompt. What a step takes grows with the
//! requests that run and with what is read, so that reading holds up everybody's tokens.

use crate::memory::Memory;
use crate::{EngineSpec, Micros};
use placement::Part;

/// A request as an engine sees it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Names the send.
    pub(crate) send: u64,
    pub(crate) urgency: u8,
    pub(crate) parts: Vec<Part>,
    pub(crate) tokens: u32,
    /// Tokens that it will make.
    pub(crate) out: u32,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    unread: u32,
    made: u32,
}

/// What a step brought for a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Made {
    /// An event.
    Event,
    /// The last one.
    Last,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    engine_spec: EngineSpec,
    /// How many times as long as the make says everything takes.
    pub(crate) slowness: f64,
    pub(crate) memory: Memory,
    running: Vec<Run>,
    queue: Vec<Job>,
    /// True while a step is under way.
    pub(crate) stepping: bool,
    /// Prompt tokens that were read, and those of them that this or another engine had read before.
    pub(crate) prefilled_tokens: u64,
    /// Requests that were put back for want of memory.
    pub(crate) preempted: u64,
}

impl Engine {
    pub(crate) fn new(engine_spec: &EngineSpec, slowness: f64) -> Self {
        Self {
            engine_spec: engine_spec.clone(),
            slowness,
            memory: Memory::default(),
            running: Vec::new(),
            queue: Vec::new(),
            stepping: false,
            prefilled_tokens: 0,
            preempted: 0,
        }
    }

    /// A request comes.
    pub(crate) fn take(&mut self, job: Job) {
        self.queue.push(job);
    }

    /// Its caller has left, or its box.
    pub(crate) fn drop_send(&mut self, send: u64) {
        self.queue.retain(|job| job.send != send);
        if let Some(index) = self.running.iter().position(|run| run.job.send == send) {
            let run = self.running.remove(index);
            self.memory.release(&run.job.parts, run.made);
        }
    }

    /// All requests that it has.
    pub(crate) fn sends(&self) -> Vec<u64> {
        self.running.iter().map(|run| run.job.send).chain(self.queue.iter().map(|job| job.send)).collect()
    }

    /// Begins a step: how long it takes, or none where nothing is to be done.
    pub(crate) fn begin(&mut self) -> Option<Micros> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let generating = self.running.iter().filter(|run| run.unread == 0).count();
        let tokens = if generating > 0 { f64::from(self.engine_spec.stride) } else { 1.0 };
        let step = (self.engine_spec.step_ms + self.engine_spec.run_ms * self.running.len() as f64) * tokens;
        let reading = f64::from(self.piece()) / self.engine_spec.read_per_ms;
        Some(((step + reading) * self.slowness * 1e3).max(1.0) as Micros)
    }

    /// Prompt tokens that the step under way reads: of the request that came first.
    fn piece(&self) -> u32 {
        let first = self.running.iter().find(|run| run.unread > 0);
        first.map_or(0, |run| run.unread.min(self.engine_spec.piece_tokens))
    }

    /// Lets in what has a place and room, the most urgent first.
    fn admit(&mut self) {
        self.queue.sort_by_key(|job| (job.urgency, job.send));
        while self.running.len() < self.engine_spec.slots as usize && !self.queue.is_empty() {
            if !self.memory.pin(&self.queue[0].parts, self.engine_spec.memory_tokens) {
                return;
            }
            let job = self.queue.remove(0);
            // The last token is read in any case: the first event comes of it.
            let unread = (job.tokens - self.memory.prefix(&job.parts)).max(1);
            self.running.push(Run { job, unread, made: 0 });
        }
    }

    /// Ends a step: what it brought, by send.
    pub(crate) fn end(&mut self) -> Vec<(u64, Made)> {
        self.stepping = false;
        let piece = self.piece();
        let first = self.running.iter().position(|run| run.unread > 0);
        let mut made = Vec::new();
        let (stride, most) = (self.engine_spec.stride, self.engine_spec.memory_tokens);
        let generating: Vec<u64> = self.running.iter().filter(|run| run.unread == 0).map(|run| run.job.send).collect();
        if let Some(run) = first.map(|index| &mut self.running[index]) {
            run.unread -= piece;
            self.prefilled_tokens += u64::from(piece);
            if run.unread == 0 {
                self.memory.read(&run.job.parts);
                let last = run.job.out <= run.made + 1;
                made.push((run.job.send, if last { Made::Last } else { Made::Event }));
            }
        }
        for send in generating {
            while !self.memory.grow(stride, most) {
                if !self.step_back() {
                    break;
                }
            }
            let Some(run) = self.running.iter_mut().find(|run| run.job.send == send) else { continue };
            run.made += stride;
            let last = run.made >= run.job.out;
            made.push((send, if last { Made::Last } else { Made::Event }));
        }
        for (send, _) in made.iter().filter(|(_, what)| *what == Made::Last) {
            self.drop_send(*send);
        }
        made
    }

    /// The newest of the least urgent requests gives up its memory, and is read anew later. False where only one runs.
    fn step_back(&mut self) -> bool {
        if self.running.len() < 2 {
            return false;
        }
        let least = (0..self.running.len()).max_by_key(|index| {
            let job = &self.running[*index].job;
            (job.urgency, job.send)
        });
        let Some(index) = least else { return false };
        let run = self.running.remove(index);
        self.memory.release(&run.job.parts, run.made);
        self.preempted += 1;
        let out = run.job.out.saturating_sub(run.made).max(1);
        self.queue.push(Job { out, ..run.job });
        true
    }
}
