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

/// Most prompts for which runs are counted one by one.
const COUNTED_PROMPTS: usize = 200_000;

/// Most classes of prompts for which runs are counted.
const COUNTED_CLASSES: usize = 64;

/// Parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Requests that can run at once.
    pub slots: usize,
    /// Requests that can wait; further ones are refused with 503.
    pub queue: usize,
    /// Time of one step with no running stream, in milliseconds.
    pub step_ms: f64,
    /// Time that each running stream adds to a step, in milliseconds.
    pub stream_ms: f64,
    /// Time to prefill one byte of a prompt, in microseconds.
    pub prefill_us_per_byte: f64,
    /// Share of the prefill time that remains when the prefix is cached.
    pub cached_share: f64,
    /// Prefixes that the cache holds.
    pub cache_entries: usize,
    /// Time after which a cache event is published.
    pub cache_lag: Duration,
    /// Every event whose number is a multiple of this is never published; zero for no gaps.
    pub cache_gap: u64,
    /// Models that are loaded at the start, as `model@version` or `model@version+adapter`.
    pub models: Vec<String>,
    /// Models that the engine holds at most.
    pub capacity: usize,
    /// Time to load a model.
    pub load_time: Duration,
    /// Time between two load reports.
    pub report_period: Duration,
    /// Whether orders with an old fencing number are refused.
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

/// What an engine did for one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRuns {
    /// Streams that entered a slot at the first token.
    pub started: u64,
    /// Streams that entered a slot to go on after tokens that the receiver already had, or in
    /// place of an own stream whose connection was given up.
    pub resumed: u64,
    /// Streams that reached the end of the answer.
    pub finished: u64,
    /// Streams that were cancelled or whose receiver went away after they entered a slot.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Time that its streams occupied slots, in microseconds.
    pub slot_us: u64,
}

/// Answer of `GET /_runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs for each prompt; left out of `GET /_runs?summary`.
    pub prompts: BTreeMap<String, PromptRuns>,
    /// Runs for each class, the part of the prompt before the first space.
    pub classes: BTreeMap<String, PromptRuns>,
    /// Sum over all prompts.
    pub total: PromptRuns,
    /// Requests that were accepted while the engine reported that it is leaving.
    pub accepted_while_leaving: u64,
    /// Milliseconds since the engine began to leave when the last request was accepted.
    pub last_accepted_while_leaving_ms: u64,
    /// Time with at least one stream in a slot, in milliseconds.
    pub busy_ms: u64,
    /// Most requests that waited at once.
    pub longest_queue: u64,
}

/// An engine.
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
    load: Load,
    load_taken: Option<Instant>,
    runs: Runs,
    leaving_since: Option<Instant>,
    busy_ms: f64,
}

/// One request in the engine.
#[derive(Debug)]
struct Stream {
    id: String,
    prompt: Arc<str>,
    version: Arc<str>,
    next: u32,
    end: u32,
    finish_reason: &'static str,
    prefill_left_ms: f64,
    resumed: bool,
    sender: mpsc::UnboundedSender<Step>,
    cancelled: bool,
}

/// What a stream yields.
#[derive(Debug)]
enum Step {
    Token(Chunk),
    End,
    Failed,
}

impl Engine {
    /// An engine without requests.
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

    /// Generates tokens, takes load reports and loads models until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            scheduler::run(&self),
            self.report_loads(),
            models::load_ordered(&self, self.options.load_time),
        );
    }

    async fn report_loads(&self) {
        loop {
            self.switches.thaw().await;
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
        state.load_taken = Some(Instant::now());
    }
}

impl State {
    /// Ends the stream with this id, whose connection the caller has given up; the one that
    /// replaces it finds its tokens in memory. Returns whether there was one in a slot.
    fn take_over(&mut self, id: &str) -> bool {
        let mut held = false;
        for stream in self.running.iter_mut().filter(|stream| !id.is_empty() && stream.id == id) {
            stream.cancelled = true;
            held = true;
        }
        self.queue.retain(|stream| id.is_empty() || stream.id != id);
        held
    }

    fn count(&mut self, prompt: &str, change: impl Fn(&mut PromptRuns)) {
        change(&mut self.runs.total);
        let class = prompt.split(' ').next().unwrap_or_default();
        let classes = &mut self.runs.classes;
        if classes.contains_key(class) || classes.len() < COUNTED_CLASSES {
            change(classes.entry(class.to_owned()).or_default());
        }
        if let Some(runs) = self.runs.prompts.get_mut(prompt) {
            change(runs);
        } else if self.runs.prompts.len() < COUNTED_PROMPTS {
            let mut runs = PromptRuns::default();
            change(&mut runs);
            self.runs.prompts.insert(prompt.to_owned(), runs);
        }
    }
}
