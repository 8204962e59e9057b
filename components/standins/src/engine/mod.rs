//! Stand-in for a model engine with continuous batching.

mod cache;
mod http;
mod models;
mod scheduler;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cyclamengrade_upstream::wire::{Chunk, Load};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use crate::{engine::cache::Cache, engine::models::Models, faults::Switches};

/// Largest number of prompts with counters of their own.
const MAX_COUNTED_PROMPTS: usize = 200_000;

/// Largest number of prompt classes with counters of their own.
const MAX_COUNTED_CLASSES: usize = 64;

/// Parameters of an engine stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Largest number of requests that run at once.
    pub slots: usize,
    /// Largest number of requests that wait; further ones are refused with 503.
    pub queue: usize,
    /// Duration of a step without running streams, in milliseconds.
    pub step_ms: f64,
    /// Duration that each running stream adds to a step, in milliseconds.
    pub stream_ms: f64,
    /// Time to prefill one byte of a prompt, in microseconds.
    pub prefill_us_per_byte: f64,
    /// Share of the prefill time that remains when the prefix is cached.
    pub cached_share: f64,
    /// Largest number of prefixes in the cache.
    pub cache_entries: usize,
    /// Delay after which a cache event is published.
    pub cache_lag: Duration,
    /// Cache events whose number is a multiple of this are never published; zero for no gaps.
    pub cache_gap: u64,
    /// Models that are loaded at the start, as `model@version` or `model@version+adapter`.
    pub models: Vec<String>,
    /// Largest number of models that the engine loads by order.
    pub capacity: usize,
    /// Time to load a model.
    pub load_time: Duration,
    /// Interval between two load reports.
    pub report_period: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing_checked: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 8,
            queue: 10_000,
            step_ms: 10.0,
            stream_ms: 0.5,
            prefill_us_per_byte: 50.0,
            cached_share: 0.1,
            cache_entries: 64,
            cache_lag: Duration::from_millis(200),
            cache_gap: 7,
            models: Vec::new(),
            capacity: 2,
            load_time: Duration::from_millis(500),
            report_period: Duration::from_millis(250),
            fencing_checked: false,
        }
    }
}

/// Counters of what an engine did for one prompt, for one class or in total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRuns {
    /// Streams that entered a slot to generate from the first token.
    pub started: u64,
    /// Streams that entered a slot to continue after tokens that the receiver already had, or to
    /// replace a running stream with the same id whose connection was abandoned.
    pub resumed: u64,
    /// Streams that reached the end of the answer.
    pub finished: u64,
    /// Streams that were cancelled, or whose receiver disconnected, after they had entered a slot.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Total time for which the streams occupied slots, in microseconds.
    pub slot_us: u64,
}

/// Body of the response to `GET /_runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Counters by prompt; empty for `GET /_runs?summary`.
    pub prompts: BTreeMap<String, PromptRuns>,
    /// Counters by class, which is the part of the prompt before the first space.
    pub classes: BTreeMap<String, PromptRuns>,
    /// Sum over all prompts.
    pub total: PromptRuns,
    /// Requests accepted while the engine reported that it is leaving.
    pub accepted_while_leaving: u64,
    /// Time from the first such request to the last one, in milliseconds.
    pub last_accepted_while_leaving_ms: u64,
    /// Total time with at least one stream in a slot, in milliseconds.
    pub busy_ms: u64,
    /// Largest number of requests that waited at once.
    pub longest_queue: u64,
}

/// A model engine that serves the engine protocol.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    switches: Arc<Switches>,
    work: Notify,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<Stream>,
    running: Vec<Stream>,
    cache: Cache,
    models: Models,
    /// Latest load report.
    load: Load,
    load_reported: Option<Instant>,
    runs: Runs,
    /// When the first request was accepted while the engine reported that it is leaving.
    leaving_since: Option<Instant>,
    busy_ms: f64,
}

/// One request in the engine.
#[derive(Debug)]
struct Stream {
    id: String,
    prompt: Arc<str>,
    version: Arc<str>,
    /// Index of the next token to generate.
    next_index: u32,
    /// Index after the last token of the answer.
    end_index: u32,
    finish_reason: &'static str,
    /// Remaining prefill time in milliseconds.
    prefill_left_ms: f64,
    resumed: bool,
    sender: mpsc::UnboundedSender<Event>,
    cancelled: bool,
}

/// Output of a stream.
#[derive(Debug)]
enum Event {
    Token(Chunk),
    End,
    Failed,
}

impl Engine {
    /// Creates an engine without requests.
    pub fn new(switches: Arc<Switches>, options: Options) -> Self {
        let state = State {
            cache: Cache::new(options.cache_entries),
            models: Models::new(options.models.clone(), options.capacity),
            ..State::default()
        };
        Self { options, switches, work: Notify::new(), state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Generates tokens, updates the load report and loads models until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            scheduler::run(&self),
            self.report_load_periodically(),
            models::load_ordered(&self, self.options.load_time),
        );
    }

    async fn report_load_periodically(&self) {
        loop {
            self.switches.wait_while_frozen().await;
            self.report_load();
            tokio::time::sleep(self.options.report_period).await;
        }
    }

    fn report_load(&self) {
        let mut state = self.lock();
        state.load = Load {
            sequence: state.load.sequence + 1,
            age_ms: 0,
            running: u32::try_from(state.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(state.queue.len()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.options.slots).unwrap_or(u32::MAX),
            models: state.models.loaded(),
            leaving: false,
        };
        state.load_reported = Some(Instant::now());
    }
}

impl State {
    /// Cancels the streams with this id, because the caller has abandoned their connection and
    /// opened a new stream. Returns whether one was in a slot; the new stream then needs no prefill
    /// because the tokens are still in memory.
    fn cancel_replaced(&mut self, id: &str) -> bool {
        let mut was_running = false;
        for stream in self.running.iter_mut().filter(|stream| !id.is_empty() && stream.id == id) {
            stream.cancelled = true;
            was_running = true;
        }
        self.queue.retain(|stream| id.is_empty() || stream.id != id);
        was_running
    }

    /// Applies a change to the counters of a prompt, of its class and of the total.
    fn update_runs(&mut self, prompt: &str, change: impl Fn(&mut PromptRuns)) {
        change(&mut self.runs.total);
        let class = prompt.split(' ').next().unwrap_or_default();
        let classes = &mut self.runs.classes;
        if classes.contains_key(class) || classes.len() < MAX_COUNTED_CLASSES {
            change(classes.entry(class.to_owned()).or_default());
        }
        if let Some(runs) = self.runs.prompts.get_mut(prompt) {
            change(runs);
        } else if self.runs.prompts.len() < MAX_COUNTED_PROMPTS {
            let mut runs = PromptRuns::default();
            change(&mut runs);
            self.runs.prompts.insert(prompt.to_owned(), runs);
        }
    }
}
