//! Owners of a job against a store whose replies are lost and whose writes take effect late.
//!
//! Thousands of schedules with a seed each. A failing one prints its seed and its steps.

use cyclamengrade_control::relay::{
    job::{Progress, RunFailure},
    results::{JobResults, ResultBatch},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Schedules of one run of the test.
const SCHEDULES: u64 = 4_000;
/// Steps of a schedule before the faults end.
const STEPS: usize = 120;
/// Items of the job.
const ITEMS: usize = 7;
/// Failures after which an item is given up.
const ATTEMPTS: u32 = 3;

/// A transaction of an owner.
#[derive(Clone, Debug)]
struct Write {
    /// Version of the job's row that it requires.
    version: u64,
    batch: ResultBatch,
}

/// What the store has of the job.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Version of the job's row; a change of owner raises it.
    version: u64,
    owner: usize,
    is_done: bool,
    results: Vec<(usize, String)>,
}

impl Store {
    /// Applies a transaction if its conditions hold.
    fn apply(&mut self, write: &Write) -> bool {
        let free = write.batch.entries.is_empty() || write.batch.from == self.results.len();
        // Positions are written without a gap, so a free first position is the next one.
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

    fn listed(&self) -> Vec<usize> {
        self.results.iter().map(|(item, _)| *item).collect()
    }
}

/// A relay that may own the job.
#[derive(Default)]
struct Relay {
    /// What it believes, while it takes itself for the owner.
    owned: Option<(u64, JobResults)>,
    running: Vec<usize>,
    starts: u32,
}

struct World {
    random: StdRng,
    store: Store,
    relays: Vec<Relay>,
    /// Writes that take effect later, or never.
    late: Vec<Write>,
    steps: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut relays: Vec<Relay> = (0..3).map(|_| Relay::default()).collect();
        let ledger = JobResults::new(Progress::new(ITEMS, ATTEMPTS), &[]);
        relays[0].owned = Some((1, ledger));
        let store = Store { version: 1, ..Store::default() };
        let random = StdRng::seed_from_u64(seed);
        Self { random, store, relays, late: Vec::new(), steps: Vec::new() }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    /// One step of one relay.
    fn step(&mut self, has_faults: bool) {
        let relay = self.random.random_range(0..self.relays.len());
        match self.random.random_range(0..10) {
            0..4 => self.run(relay),
            4..8 => self.commit(relay, has_faults),
            8 if has_faults => self.fault(relay),
            _ => {
                if !self.late.is_empty() {
                    let index = self.random.random_range(0..self.late.len());
                    let write = self.late.swap_remove(index);
                    let applied = self.store.apply(&write);
                    self.steps.push(format!("late write {write:?} applied {applied}"));
                }
            }
        }
    }

    /// Starts an item, or ends one.
    fn run(&mut self, relay: usize) {
        let ends = self.chance(0.6);
        let fails = self.chance(0.2);
        let state = &mut self.relays[relay];
        let Some((_, ledger)) = &mut state.owned else { return };
        let ended = if ends { state.running.pop() } else { None };
        match ended {
            Some(item) if fails => {
                ledger.record_failure(item, RunFailure::Interrupted);
            }
            Some(item) => ledger.complete(item, format!("text of {item}")),
            None => {
                let next = ledger.progress().waiting().next();
                if let Some(item) = next {
                    ledger.start(item);
                    state.running.push(item);
                }
            }
        }
    }

    fn commit(&mut self, relay: usize, has_faults: bool) {
        let most = self.random.random_range(1..4);
        let Some((version, ledger)) = &self.relays[relay].owned else { return };
        let write = Write { version: *version, batch: ledger.next_batch(most, 1_000) };
        if write.batch.entries.is_empty() && !write.batch.is_last {
            return;
        }
        if has_faults && self.chance(0.25) {
            // The reply is lost; the write takes effect now, later or never.
            self.steps.push(format!("relay {relay} loses the reply to {write:?}"));
            match self.random.random_range(0..3) {
                0 => {
                    self.store.apply(&write);
                }
                1 => self.late.push(write),
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
        } else if let Some((_, ledger)) = &mut self.relays[relay].owned {
            ledger.record_commit(&write.batch);
        }
    }

    /// Reads what the store has, as after every outcome that is not known.
    fn resync(&mut self, relay: usize) {
        let (version, is_mine) =
            (self.store.version, self.store.owner == relay && !self.store.is_done);
        let listed = self.store.listed();
        let state = &mut self.relays[relay];
        let Some((known, ledger)) = &mut state.owned else { return };
        if is_mine {
            *known = version;
            ledger.reconcile(&listed);
            state.running.retain(|item| !listed.contains(item));
        } else {
            state.owned = None;
            state.running.clear();
        }
    }

    /// Kills a relay, or lets another one take the job over.
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
        self.store.owner = relay;
        let ledger = JobResults::new(Progress::new(ITEMS, ATTEMPTS), &self.store.listed());
        self.relays[relay].owned = Some((self.store.version, ledger));
        self.relays[relay].running.clear();
        self.steps.push(format!("relay {relay} takes over at version {}", self.store.version));
    }

    /// What is wrong with the results.
    fn wrong(&self, before: &[(usize, String)]) -> Option<String> {
        if !self.store.results.starts_with(before) {
            return Some("a position has changed".into());
        }
        let mut items = self.store.listed();
        items.sort_unstable();
        items.dedup();
        if items.len() != self.store.results.len() {
            return Some("an item is listed twice".into());
        }
        let differs = |(item, text): &(usize, String)| *text != format!("text of {item}");
        self.store.results.iter().any(differs).then(|| "a text is of another item".into())
    }
}

/// Guards against an item that is listed twice or never, and a position that changes, when owners
/// die, are replaced while they still write, and do not learn what became of their writes.
#[gtest]
fn schedules() -> Result<()> {
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            let before = world.store.results.clone();
            world.step(true);
            if let Some(wrong) = world.wrong(&before) {
                return fail!("seed {seed}: {wrong}\n{}", world.steps.join("\n"));
            }
        }
        // The faults end, and the job goes to a living relay if nobody runs it.
        let owner = world.store.owner;
        if world.relays[owner].owned.is_none() {
            world.take_over(owner);
        }
        for _ in 0..2_000 {
            if world.store.is_done {
                break;
            }
            let before = world.store.results.clone();
            world.step(false);
            if let Some(wrong) = world.wrong(&before) {
                return fail!("seed {seed}: {wrong}\n{}", world.steps.join("\n"));
            }
        }
        if !world.store.is_done || world.store.results.len() != ITEMS {
            return fail!(
                "seed {seed}: {} of {ITEMS} items are listed\n{}",
                world.store.results.len(),
                world.steps.join("\n")
            );
        }
    }
    Ok(())
}

/// Guards against a batch that exceeds the limits of a transaction, or never holds a large text.
#[gtest]
fn batch_limits() {
    let mut ledger = JobResults::new(Progress::new(4, 1), &[]);
    for item in 0..4 {
        ledger.start(item);
        ledger.complete(item, "x".repeat(600));
    }
    expect_that!(ledger.next_batch(10, 1_000).entries.len(), eq(1));
    expect_that!(ledger.next_batch(10, 100).entries.len(), eq(1));
    expect_that!(ledger.next_batch(3, 10_000).entries.len(), eq(3));
    expect_that!(ledger.next_batch(3, 10_000).is_last, eq(false));
    expect_that!(ledger.next_batch(4, 10_000).is_last, eq(true));
}
