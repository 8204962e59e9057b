//! Simulates relays that own a job in turn and a store whose replies are lost and whose writes take
//! effect late.
//!
//! Runs thousands of random schedules, each with its own seed. A failing schedule prints its seed
//! and its steps.

use cyclamengrade_control::relay::{
    job::{Progress, RunFailure},
    results::{Batch, Entry, Results},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SCHEDULES: u64 = 4_000;
/// Steps of a schedule with fault injection.
const STEPS: usize = 120;
const ITEMS: usize = 7;
/// Failures after which an item is abandoned.
const MAX_FAILURES: u32 = 3;

/// Returns the size of the text of a result.
fn text_bytes(entry: &Entry) -> usize {
    entry.text.len()
}

/// A transaction that commits results.
#[derive(Clone, Debug)]
struct Write {
    /// Version of the job's row that the transaction requires.
    version: u64,
    batch: Batch,
}

/// The job in the store.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Version of the job's row, incremented by a change of owner.
    version: u64,
    owner: usize,
    is_done: bool,
    results: Vec<(usize, String)>,
}

impl Store {
    /// Applies a transaction if its conditions hold.
    fn apply(&mut self, write: &Write) -> bool {
        let free = write.batch.entries.is_empty() || write.batch.from == self.results.len();
        // Positions are written without gaps, so the first position is free only if it is the next.
        if write.version != self.version || !free {
            return false;
        }
        for result in &write.batch.entries {
            self.results.push((result.item, result.text.clone()));
        }
        if write.batch.is_last {
            self.version += 1;
            self.is_done = true;
        }
        true
    }

    fn committed(&self) -> Vec<usize> {
        self.results.iter().map(|(item, _)| *item).collect()
    }
}

/// A relay that may own the job.
#[derive(Default)]
struct Relay {
    /// Row version and results, while the relay considers itself the owner.
    owned: Option<(u64, Results)>,
    running: Vec<usize>,
    starts: u32,
}

struct Simulation {
    random: StdRng,
    store: Store,
    relays: Vec<Relay>,
    /// Writes without a reply that may still take effect.
    delayed: Vec<Write>,
    steps: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut relays: Vec<Relay> = (0..3).map(|_| Relay::default()).collect();
        let results = Results::new(Progress::new(ITEMS, MAX_FAILURES), &[]);
        relays[0].owned = Some((1, results));
        let store = Store { version: 1, ..Store::default() };
        let random = StdRng::seed_from_u64(seed);
        Self { random, store, relays, delayed: Vec::new(), steps: Vec::new() }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    /// Runs one step of a random relay, or applies a delayed write.
    fn step(&mut self, has_faults: bool) {
        let relay = self.random.random_range(0..self.relays.len());
        match self.random.random_range(0..10) {
            0..4 => self.run(relay),
            4..8 => self.commit(relay, has_faults),
            8 if has_faults => self.fault(relay),
            _ => {
                if !self.delayed.is_empty() {
                    let index = self.random.random_range(0..self.delayed.len());
                    let write = self.delayed.swap_remove(index);
                    let applied = self.store.apply(&write);
                    self.steps.push(format!("delayed write {write:?} applied {applied}"));
                }
            }
        }
    }

    /// Starts an item, or ends a running one.
    fn run(&mut self, relay: usize) {
        let ends = self.chance(0.6);
        let fails = self.chance(0.2);
        let state = &mut self.relays[relay];
        let Some((_, results)) = &mut state.owned else { return };
        let ended = if ends { state.running.pop() } else { None };
        match ended {
            Some(item) if fails => {
                results.record_failure(item, RunFailure::Interrupted);
            }
            Some(item) => results.complete(item, format!("text of {item}")),
            None => {
                let next = results.progress().waiting().next();
                if let Some(item) = next {
                    results.start(item);
                    state.running.push(item);
                }
            }
        }
    }

    fn commit(&mut self, relay: usize, has_faults: bool) {
        let max_results = self.random.random_range(1..4);
        let Some((version, results)) = &self.relays[relay].owned else { return };
        let write =
            Write { version: *version, batch: results.next_batch(max_results, 1_000, text_bytes) };
        if write.batch.entries.is_empty() && !write.batch.is_last {
            return;
        }
        if has_faults && self.chance(0.25) {
            // The reply is lost. The write takes effect now, later or never.
            self.steps.push(format!("relay {relay} loses the reply to {write:?}"));
            match self.random.random_range(0..3) {
                0 => {
                    self.store.apply(&write);
                }
                1 => self.delayed.push(write),
                _ => {}
            }
            self.resync(relay);
            return;
        }
        let applied = self.store.apply(&write);
        self.steps.push(format!("relay {relay} writes {write:?} applied {applied}"));
        if !applied {
            self.resync(relay);
        } else if write.batch.is_last {
            self.relays[relay].owned = None;
        } else if let Some((_, results)) = &mut self.relays[relay].owned {
            results.record_commit(&write.batch);
        }
    }

    /// Reads the state of the store, as a relay does after every unknown outcome.
    fn resync(&mut self, relay: usize) {
        let (version, is_owner) =
            (self.store.version, self.store.owner == relay && !self.store.is_done);
        let committed = self.store.committed();
        let state = &mut self.relays[relay];
        let Some((known_version, results)) = &mut state.owned else { return };
        if is_owner {
            *known_version = version;
            results.reconcile(&committed);
            state.running.retain(|item| !committed.contains(item));
        } else {
            state.owned = None;
            state.running.clear();
        }
    }

    /// Kills a relay in half of the cases, and lets a random relay take over the job.
    fn fault(&mut self, relay: usize) {
        if self.chance(0.5) {
            self.steps.push(format!("relay {relay} is killed"));
            let starts = self.relays[relay].starts + 1;
            self.relays[relay] = Relay { starts, ..Relay::default() };
        }
        let next = self.random.random_range(0..self.relays.len());
        self.take_over(next);
    }

    fn take_over(&mut self, relay: usize) {
        if self.store.is_done {
            return;
        }
        self.store.version += 1;
        let former = std::mem::replace(&mut self.store.owner, relay);
        let mut results = Results::new(Progress::new(ITEMS, MAX_FAILURES), &self.store.committed());
        // A former owner without the store passes its results on if it answers.
        if former != relay
            && self.chance(0.5)
            && let Some((_, passed)) = self.relays[former].owned.take()
        {
            self.relays[former].running.clear();
            results.adopt(passed.uncommitted_entries(1_000, text_bytes));
        }
        self.relays[relay].owned = Some((self.store.version, results));
        self.relays[relay].running.clear();
        self.steps.push(format!("relay {relay} takes over at version {}", self.store.version));
    }

    /// Returns the violated invariant of the results, if any. `before` are the results before the
    /// step.
    fn violation(&self, before: &[(usize, String)]) -> Option<String> {
        if !self.store.results.starts_with(before) {
            return Some("a committed result has changed".into());
        }
        let mut items = self.store.committed();
        items.sort_unstable();
        items.dedup();
        if items.len() != self.store.results.len() {
            return Some("an item has two committed results".into());
        }
        let differs = |(item, text): &(usize, String)| *text != format!("text of {item}");
        self.store
            .results
            .iter()
            .any(differs)
            .then(|| "a result has the text of another item".into())
    }
}

/// Guards against items with two results or none, and against committed results that change, when
/// owners die, are replaced while they still write, and do not learn the outcome of their writes.
#[gtest]
fn schedules() -> Result<()> {
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            let before = simulation.store.results.clone();
            simulation.step(true);
            if let Some(violation) = simulation.violation(&before) {
                return fail!("seed {seed}: {violation}\n{}", simulation.steps.join("\n"));
            }
        }
        // Fault injection ends. The owner loads the job again if it no longer runs it.
        let owner = simulation.store.owner;
        if simulation.relays[owner].owned.is_none() {
            simulation.take_over(owner);
        }
        for _ in 0..2_000 {
            if simulation.store.is_done {
                break;
            }
            let before = simulation.store.results.clone();
            simulation.step(false);
            if let Some(violation) = simulation.violation(&before) {
                return fail!("seed {seed}: {violation}\n{}", simulation.steps.join("\n"));
            }
        }
        if !simulation.store.is_done || simulation.store.results.len() != ITEMS {
            return fail!(
                "seed {seed}: {} of {ITEMS} items have a committed result\n{}",
                simulation.store.results.len(),
                simulation.steps.join("\n")
            );
        }
    }
    Ok(())
}

/// Guards against a batch that exceeds the limits of a transaction, and against a text above the
/// byte limit that never fits into a batch.
#[gtest]
fn batch_limits() {
    let mut results = Results::new(Progress::new(4, 1), &[]);
    for item in 0..4 {
        results.start(item);
        results.complete(item, "x".repeat(600));
    }
    expect_that!(results.next_batch(10, 1_000, text_bytes).entries.len(), eq(1));
    expect_that!(results.next_batch(10, 100, text_bytes).entries.len(), eq(1));
    expect_that!(results.next_batch(3, 10_000, text_bytes).entries.len(), eq(3));
    expect_that!(results.next_batch(3, 10_000, text_bytes).is_last, eq(false));
    expect_that!(results.next_batch(4, 10_000, text_bytes).is_last, eq(true));
}

/// Guards against a refused result that holds up the others, is tried with them again, or is lost.
#[gtest]
fn refused_results() {
    let mut results = Results::new(Progress::new(4, 1), &[]);
    for item in 0..4 {
        results.start(item);
        results.complete(item, format!("text of {item}"));
    }
    let items = |batch: &Batch| batch.entries.iter().map(|entry| entry.item).collect::<Vec<_>>();
    let first = results.next_batch(3, 1_000, text_bytes);
    results.record_refusal(&first);
    // The fourth one was not refused.
    let sound = results.next_batch(3, 1_000, text_bytes);
    expect_that!(items(&sound), elements_are![eq(&3)]);
    results.record_commit(&sound);
    for item in [0, 1, 2] {
        let alone = results.next_batch(3, 1_000, text_bytes);
        expect_that!(items(&alone), elements_are![eq(&item)]);
        expect_that!(results.is_storable(), is_true());
        match item {
            1 => results.record_refusal(&alone),
            _ => results.record_commit(&alone),
        }
    }
    expect_that!(results.refusals(1), eq(1));
    expect_that!(results.is_storable(), is_false());
    let last = results.next_batch(3, 1_000, text_bytes);
    expect_that!((items(&last), last.from, last.is_last), eq(&(vec![1], 3, true)));
    results.record_commit(&last);
    expect_that!((results.is_committed(), results.refusals(1)), eq((true, 0)));
}

/// Guards against results of a former owner that replace those in the store, change the count of failures
/// downwards, or stand for no item of the job, when its last commit took effect and its reply was lost.
#[gtest]
fn adopted() {
    let mut former = Results::new(Progress::new(4, 3), &[]);
    for item in [2, 0] {
        former.start(item);
        former.complete(item, format!("text of {item}"));
    }
    former.start(1);
    expect_that!(former.record_failure(1, RunFailure::Failed), eq(false));
    let mut results = Results::new(Progress::new(4, 3).with_failures(1, 2), &[2]);
    let outside = Entry { item: 9, ..former.uncommitted_entries(1_000, text_bytes)[0].clone() };
    let passed = former.uncommitted_entries(1_000, text_bytes).into_iter().chain([outside]);
    expect_that!(results.adopt(passed), eq(1));
    expect_that!(results.raise_failures(1, former.progress().failures(1)), eq(false));
    expect_that!(results.raise_failures(9, 1), eq(false));
    expect_that!(results.progress().failures(1), eq(2));
    let batch = results.next_batch(10, 1_000, text_bytes);
    expect_that!(batch.from, eq(1));
    let listed: Vec<(usize, &str)> =
        batch.entries.iter().map(|entry| (entry.item, entry.text.as_str())).collect();
    expect_that!(listed, eq(&[(0, "text of 0")]));
    expect_that!(results.progress().waiting().collect::<Vec<_>>(), eq(&[1, 3]));
    expect_that!(former.uncommitted_entries(10, text_bytes).len(), eq(1), "texts of nine bytes");
}
