//! A simulated engine with continuous batching and chunked prefill.
//!
//! A step generates one event for each running request whose prompt has been prefilled, and prefills a chunk of one
//! prompt. Its duration grows with the number of running requests and with the size of the chunk, so that prefill
//! delays the tokens of all running requests.

use crate::kv_cache::KvCache;
use crate::{EngineSpec, Micros};
use placement::Part;

/// A request in an engine's queue or batch.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Number of the send.
    pub(crate) send: u64,
    pub(crate) urgency: u8,
    pub(crate) parts: Vec<Part>,
    pub(crate) prompt_tokens: u32,
    /// Tokens that are to be generated.
    pub(crate) out_tokens: u32,
}

/// A running request.
#[derive(Clone, Debug)]
struct Running {
    job: Job,
    /// Prompt tokens that still have to be prefilled.
    prefill_left: u32,
    /// Tokens generated so far.
    generated: u32,
}

/// Output of a step for a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// An event that others follow.
    Event,
    /// The last event.
    Last,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    engine_spec: EngineSpec,
    /// Factor on step durations, relative to the engine spec.
    pub(crate) slowdown: f64,
    pub(crate) cache: KvCache,
    running: Vec<Running>,
    queue: Vec<Job>,
    /// True while a step is in progress.
    pub(crate) step_in_progress: bool,
    /// Prompt tokens prefilled so far.
    pub(crate) prefilled_tokens: u64,
    /// Number of preemptions for lack of memory.
    pub(crate) preempted: u64,
}

impl Engine {
    pub(crate) fn new(engine_spec: &EngineSpec, slowdown: f64) -> Self {
        Self {
            engine_spec: engine_spec.clone(),
            slowdown,
            cache: KvCache::default(),
            running: Vec::new(),
            queue: Vec::new(),
            step_in_progress: false,
            prefilled_tokens: 0,
            preempted: 0,
        }
    }

    /// Adds a request to the queue.
    pub(crate) fn enqueue(&mut self, job: Job) {
        self.queue.push(job);
    }

    /// Removes a send that has ended or that its caller has abandoned, and releases its memory.
    pub(crate) fn cancel(&mut self, send: u64) {
        self.queue.retain(|job| job.send != send);
        if let Some(index) = self.running.iter().position(|run| run.job.send == send) {
            let run = self.running.remove(index);
            self.cache.release(&run.job.parts, run.generated);
        }
    }

    /// Returns the sends of all running and queued requests.
    pub(crate) fn send_ids(&self) -> Vec<u64> {
        self.running.iter().map(|run| run.job.send).chain(self.queue.iter().map(|job| job.send)).collect()
    }

    /// Begins a step and returns its duration, or `None` if there is no request to run.
    pub(crate) fn begin_step(&mut self) -> Option<Micros> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.step_in_progress = true;
        let generating = self.running.iter().filter(|run| run.prefill_left == 0).count();
        let tokens_per_step = if generating > 0 { f64::from(self.engine_spec.tokens_per_event) } else { 1.0 };
        let step_ms =
            (self.engine_spec.step_ms + self.engine_spec.per_request_ms * self.running.len() as f64) * tokens_per_step;
        let prefill_ms = f64::from(self.prefill_chunk()) / self.engine_spec.prefill_tokens_per_ms;
        Some(((step_ms + prefill_ms) * self.slowdown * 1e3).max(1.0) as Micros)
    }

    /// Returns the number of prompt tokens that the current step prefills, all of the first admitted request whose
    /// prompt isn't prefilled yet.
    fn prefill_chunk(&self) -> u32 {
        let first = self.running.iter().find(|run| run.prefill_left > 0);
        first.map_or(0, |run| run.prefill_left.min(self.engine_spec.prefill_chunk_tokens))
    }

    /// Moves queued requests to the batch while there are free slots and memory, the most urgent first.
    fn admit(&mut self) {
        self.queue.sort_by_key(|job| (job.urgency, job.send));
        while self.running.len() < self.engine_spec.slots as usize && !self.queue.is_empty() {
            if !self.cache.pin(&self.queue[0].parts, self.engine_spec.memory_tokens) {
                return;
            }
            let job = self.queue.remove(0);
            // The last prompt token is always prefilled, because the first event results from it.
            let prefill_left = (job.prompt_tokens - self.cache.cached_prefix_tokens(&job.parts)).max(1);
            self.running.push(Running { job, prefill_left, generated: 0 });
        }
    }

    /// Ends the current step and returns its outputs by send.
    pub(crate) fn finish_step(&mut self) -> Vec<(u64, StepOutput)> {
        self.step_in_progress = false;
        let chunk = self.prefill_chunk();
        let first = self.running.iter().position(|run| run.prefill_left > 0);
        let mut outputs = Vec::new();
        let (tokens_per_event, capacity) = (self.engine_spec.tokens_per_event, self.engine_spec.memory_tokens);
        let generating: Vec<u64> =
            self.running.iter().filter(|run| run.prefill_left == 0).map(|run| run.job.send).collect();
        if let Some(run) = first.map(|index| &mut self.running[index]) {
            run.prefill_left -= chunk;
            self.prefilled_tokens += u64::from(chunk);
            if run.prefill_left == 0 {
                self.cache.mark_prefilled(&run.job.parts);
                let last = run.job.out_tokens <= run.generated + 1;
                outputs.push((run.job.send, if last { StepOutput::Last } else { StepOutput::Event }));
            }
        }
        for send in generating {
            while !self.cache.reserve_generated(tokens_per_event, capacity) {
                if !self.preempt_one() {
                    // The only running request goes on beyond the capacity, since nothing else makes room for it.
                    self.cache.overcommit_generated(tokens_per_event);
                    break;
                }
            }
            let Some(run) = self.running.iter_mut().find(|run| run.job.send == send) else { continue };
            run.generated += tokens_per_event;
            let last = run.generated >= run.job.out_tokens;
            outputs.push((send, if last { StepOutput::Last } else { StepOutput::Event }));
        }
        for (send, _) in outputs.iter().filter(|(_, output)| *output == StepOutput::Last) {
            self.cancel(*send);
        }
        outputs
    }

    /// Preempts the newest of the least urgent requests: it releases its memory, returns to the queue, and later
    /// prefills again what is no longer cached. Returns false if fewer than two requests run.
    fn preempt_one(&mut self) -> bool {
        if self.running.len() < 2 {
            return false;
        }
        let candidate = (0..self.running.len()).max_by_key(|index| {
            let job = &self.running[*index].job;
            (job.urgency, job.send)
        });
        let Some(index) = candidate else { return false };
        let run = self.running.remove(index);
        self.cache.release(&run.job.parts, run.generated);
        self.preempted += 1;
        let out_tokens = run.job.out_tokens.saturating_sub(run.generated).max(1);
        self.queue.push(Job { out_tokens, ..run.job });
        true
    }
}
