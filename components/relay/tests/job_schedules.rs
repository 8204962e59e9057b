//! Simulates a job from its submission to its end under random faults: the store loses replies and
//! delays writes, and relays crash, shut down, misjudge each other's state and learn of changes
//! late.
//!
//! Each schedule has its own seed. A failure prints the seed and the steps of the schedule.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{
    job::{Progress, RunFailure},
    owner::{Instance, Peer, should_take_over},
    results::{Batch, Entry, Results},
    submission::{Action, Submission, Write},
};
use cyclamengrade_relay::job::row::{Job, Owner, State};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Number of schedules in one run of the test.
const SCHEDULES: u64 = 6_000;
/// Number of steps of a schedule that may have faults.
const FAULTY_STEPS: usize = 150;
/// Number of rounds without faults in which the job must finish.
const RECOVERY_ROUNDS: usize = 200;
/// Number of items of the job.
const ITEMS: usize = 6;
const NAMES: [&str; 3] = ["vm-a", "vm-b", "vm-c"];

/// Returns the size of the text of a result.
fn text_bytes(entry: &Entry) -> usize {
    entry.text.len()
}

/// A conditional write to the store.
#[derive(Clone, Debug)]
enum Change {
    /// Inserts the row of the job, which must not exist.
    Insert(Job),
    /// Replaces the row, which must have this version.
    Replace(u64, Job),
    /// Appends results, on the condition that the row has this version and the first position is
    /// free. Replaces the row with the last results.
    Commit(u64, Batch, Option<Job>),
}

/// Delivery of a write and its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Answered,
    /// The write has no effect, and the writer learns this.
    Refused,
    /// The write takes effect, but the reply is lost.
    ReplyLost,
    /// The reply is lost, and the write takes effect later.
    Delayed,
    /// The write has no effect, and there is no reply.
    Dropped,
}

/// Reply to a write as the writer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// The conditions held. Holds the version of the row.
    Done(u64),
    Conflict,
    Refused,
    Unknown,
}

#[derive(Default)]
struct Store {
    version: u64,
    row: Option<(u64, Job)>,
    results: Vec<usize>,
    delayed: Vec<Change>,
}

impl Store {
    fn apply(&mut self, change: &Change) -> Reply {
        let current = self.row.as_ref().map_or(0, |(version, _)| *version);
        let row = match change {
            Change::Insert(job) if current == 0 => Some(job),
            Change::Replace(version, job) if current == *version => Some(job),
            Change::Commit(version, batch, row)
                if current == *version && batch.from == self.results.len() =>
            {
                self.results.extend(batch.entries.iter().map(|entry| entry.item));
                row.as_ref()
            }
            _ => return Reply::Conflict,
        };
        if let Some(row) = row {
            self.version += 1;
            self.row = Some((self.version, row.clone()));
        }
        Reply::Done(self.version)
    }

    fn send(&mut self, change: &Change, delivery: Delivery) -> Reply {
        match delivery {
            Delivery::Answered => return self.apply(change),
            Delivery::Refused => return Reply::Refused,
            Delivery::ReplyLost => {
                self.apply(change);
            }
            Delivery::Delayed => self.delayed.push(change.clone()),
            Delivery::Dropped => {}
        }
        Reply::Unknown
    }
}

/// State of a job at the relay that owns it.
struct Owned {
    version: u64,
    row: Job,
    results: Results,
    running: Vec<usize>,
}

struct Relay {
    name: &'static str,
    incarnation: u64,
    /// Version and content of the row as this relay last read it.
    known: Option<(u64, Job)>,
    owned: Option<Owned>,
}

impl Relay {
    fn owner(&self) -> Owner {
        Owner { name: self.name.into(), incarnation: self.incarnation }
    }
}

/// Responses that callers received.
#[derive(Default)]
struct Responses {
    submissions: u32,
    refused: u32,
    accepted: bool,
    /// Committed results when the end of the job was first confirmed.
    ended: Option<Vec<usize>>,
}

struct Simulation {
    random: StdRng,
    has_faults: bool,
    store: Store,
    relays: Vec<Relay>,
    responses: Responses,
    steps: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let relays = NAMES.into_iter().map(|name| {
            let (known, owned) = (None, None);
            Relay { name, incarnation: 1, known, owned }
        });
        Self {
            random: StdRng::seed_from_u64(seed),
            has_faults: true,
            store: Store::default(),
            relays: relays.collect(),
            responses: Responses::default(),
            steps: Vec::new(),
        }
    }

    fn log_step(&mut self, step: String) {
        self.steps.push(step);
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn random_delivery(&mut self) -> Delivery {
        if !self.has_faults || self.chance(0.7) {
            return Delivery::Answered;
        }
        let faults = [Delivery::Refused, Delivery::ReplyLost, Delivery::Delayed, Delivery::Dropped];
        faults[self.random.random_range(0..faults.len())]
    }

    fn send(&mut self, relay: usize, change: &Change) -> Reply {
        let delivery = self.random_delivery();
        let reply = self.store.send(change, delivery);
        self.log_step(format!("{relay} {change:?}: {delivery:?}, {reply:?}"));
        reply
    }

    fn step(&mut self) {
        let relay = self.random.random_range(0..self.relays.len());
        match self.random.random_range(0..100) {
            0..8 => self.submit(relay),
            8 if self.chance(0.4) => self.end(relay),
            8..20 => self.feed(relay),
            20..32 => self.take_over(relay),
            32..62 => self.run(relay),
            62..86 => self.commit(relay),
            86..90 => self.hand_back(relay),
            90..94 => self.restart(relay),
            _ => self.apply_delayed(),
        }
    }

    fn submit(&mut self, relay: usize) {
        // Callers retry until a submission succeeds, and occasionally submit again after that.
        if self.responses.accepted && !self.chance(0.1) {
            return;
        }
        let owner = Some(self.relays[relay].owner());
        let job = Job {
            host: "h".into(),
            path: "/p".into(),
            items: ITEMS,
            tokens: 0,
            accepted_ms: self.steps.len() as u64,
            due_ms: 0,
            expires_ms: 0,
            state: State::Open,
            owner,
            configuration: 1,
            account: None,
            public: false,
        };
        let mut submission = Submission::default();
        self.responses.submissions += 1;
        for attempt in 0.. {
            let (write, reply) = match self.random_delivery() {
                Delivery::Answered => (Write::Row, self.send(relay, &Change::Insert(job.clone()))),
                Delivery::Refused => (Write::Object, Reply::Refused),
                Delivery::ReplyLost | Delivery::Delayed | Delivery::Dropped => {
                    (Write::Object, Reply::Unknown)
                }
            };
            let may_take_effect = match reply {
                Reply::Done(_) | Reply::Conflict => {
                    self.responses.accepted = true;
                    self.read(relay);
                    let known = self.relays[relay].known.clone();
                    if let Some((version, row)) = known
                        && row == job
                    {
                        self.own(relay, version, row);
                    }
                    self.log_step(format!("{relay} accepts the job"));
                    return;
                }
                Reply::Refused => false,
                Reply::Unknown => true,
            };
            let elapsed = Duration::from_millis(400) * attempt;
            match submission.record_failure(write, may_take_effect, elapsed) {
                Action::Retry => {}
                Action::Refuse => {
                    self.responses.refused += 1;
                    self.log_step(format!("{relay} refuses the job"));
                    return;
                }
                Action::ReportUnknown => return,
            }
        }
    }

    /// Reads the row of the job, as the feed or a direct read does.
    fn read(&mut self, relay: usize) {
        self.relays[relay].known.clone_from(&self.store.row);
    }

    fn own(&mut self, relay: usize, version: u64, row: Job) {
        if self.relays[relay].owned.is_some() {
            return;
        }
        let results = Results::new(Progress::new(ITEMS, 3), &self.store.results);
        self.relays[relay].owned = Some(Owned { version, row, results, running: Vec::new() });
    }

    /// Updates the row, and retries after a conflict. Returns the new version and row.
    fn update(&mut self, relay: usize, change: impl Fn(&Job) -> Option<Job>) -> Option<(u64, Job)> {
        for _ in 0..3 {
            let (version, row) = self.relays[relay].known.clone()?;
            let row = change(&row)?;
            match self.send(relay, &Change::Replace(version, row.clone())) {
                Reply::Done(version) => {
                    self.relays[relay].known = Some((version, row.clone()));
                    return Some((version, row));
                }
                Reply::Conflict => self.read(relay),
                Reply::Refused | Reply::Unknown => return None,
            }
        }
        None
    }

    fn end(&mut self, relay: usize) {
        if !self.responses.accepted {
            return;
        }
        if self.relays[relay].known.is_none() {
            self.read(relay);
        }
        let is_ended = |job: &Job| job.state == State::Ended;
        let changed = self.update(relay, Job::ended).is_some();
        let known = self.relays[relay].known.as_ref();
        if changed || known.is_some_and(|(_, job)| is_ended(job)) {
            self.relays[relay].owned = None;
            if self.responses.ended.is_none() {
                self.responses.ended = Some(self.store.results.clone());
            }
            self.log_step(format!("{relay} confirms the end of the job"));
        }
    }

    /// Delivers the newest row, and releases the job if the relay no longer owns it or it has
    /// ended.
    fn feed(&mut self, relay: usize) {
        self.read(relay);
        let state = &mut self.relays[relay];
        let owner = state.owner();
        if let (Some((version, row)), Some(owned)) = (&state.known, &state.owned)
            && *version > owned.version
            && (row.state == State::Ended || !row.is_owned_by(&owner))
        {
            state.owned = None;
        }
    }

    fn take_over(&mut self, relay: usize) {
        let Some((_, row)) = self.relays[relay].known.clone() else { return };
        if self.relays[relay].owned.is_some() || row.state != State::Open {
            return;
        }
        let mut peers = BTreeMap::new();
        for other in 0..self.relays.len() {
            if other != relay {
                // Another relay may seem to have failed, or may be known by its previous
                // incarnation.
                let is_silent = self.has_faults && self.chance(0.2);
                let is_old = self.has_faults && self.chance(0.1);
                let silence = Duration::from_secs(if is_silent { 10 } else { 0 });
                let incarnation = self.relays[other].incarnation - u64::from(is_old);
                let peer =
                    Peer { incarnation, silence, store_disconnection: silence, leaving: false };
                peers.insert(self.relays[other].name.to_owned(), peer);
            }
        }
        let own = self.relays[relay].owner();
        let instance = |owner: &Owner| (owner.name.clone(), owner.incarnation);
        let from = row.owner.as_ref().map(instance);
        let from =
            from.as_ref().map(|(name, incarnation)| Instance { name, incarnation: *incarnation });
        let own_instance = Instance { name: &own.name, incarnation: own.incarnation };
        if !should_take_over(own_instance, from, "job", &peers) {
            return;
        }
        let taken = self.update(relay, |job| job.taken_over(row.owner.as_ref(), &own));
        if let Some((version, row)) = taken {
            self.own(relay, version, row);
        }
    }

    /// Starts an item, or ends a running one with or without a failure.
    fn run(&mut self, relay: usize) {
        let ends = self.chance(0.5);
        let fails = self.chance(0.2);
        let Some(owned) = &mut self.relays[relay].owned else { return };
        let ended = if ends { owned.running.pop() } else { None };
        match ended {
            Some(item) if fails => {
                owned.results.record_failure(item, RunFailure::Interrupted);
            }
            Some(item) => owned.results.complete(item, format!("text of {item}")),
            None => {
                let next = owned.results.progress().waiting().next();
                if let Some(item) = next {
                    owned.results.start(item);
                    owned.running.push(item);
                }
            }
        }
    }

    fn commit(&mut self, relay: usize) {
        let max_results = self.random.random_range(1..4);
        let Some(owned) = &self.relays[relay].owned else { return };
        let batch = owned.results.next_batch(max_results, 1_000, text_bytes);
        if batch.entries.is_empty() && !batch.is_last {
            return;
        }
        let done = batch.is_last.then(|| owned.row.done());
        match self.send(relay, &Change::Commit(owned.version, batch.clone(), done)) {
            Reply::Done(_) if batch.is_last => self.relays[relay].owned = None,
            Reply::Done(_) => {
                if let Some(owned) = &mut self.relays[relay].owned {
                    owned.results.record_commit(&batch);
                }
            }
            Reply::Refused => {}
            Reply::Conflict | Reply::Unknown => self.resync(relay),
        }
    }

    /// Reads the row and the results again after a commit whose outcome is unknown.
    fn resync(&mut self, relay: usize) {
        self.read(relay);
        let committed = self.store.results.clone();
        let state = &mut self.relays[relay];
        let owner = state.owner();
        match (&state.known, &mut state.owned) {
            (Some((version, row)), Some(owned))
                if row.is_owned_by(&owner) && row.state == State::Open =>
            {
                owned.version = *version;
                owned.row = row.clone();
                owned.results.reconcile(&committed);
                owned.running.retain(|item| !committed.contains(item));
            }
            _ => state.owned = None,
        }
    }

    /// Shuts a relay down gracefully and restarts it.
    fn hand_back(&mut self, relay: usize) {
        if let Some(owned) = &self.relays[relay].owned {
            self.relays[relay].known = Some((owned.version, owned.row.clone()));
            let own = self.relays[relay].owner();
            self.update(relay, |job| job.handed_over(&own));
        }
        self.restart(relay);
    }

    fn restart(&mut self, relay: usize) {
        self.log_step(format!("{relay} restarts"));
        let state = &mut self.relays[relay];
        state.incarnation += 1;
        state.known = None;
        state.owned = None;
    }

    fn apply_delayed(&mut self) {
        if self.store.delayed.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.store.delayed.len());
        let change = self.store.delayed.swap_remove(index);
        let reply = self.store.apply(&change);
        self.log_step(format!("delayed {change:?}: {reply:?}"));
    }

    /// Returns the invariant that a step has violated, if any. `before` holds the results before
    /// the step.
    fn violation(&self, before: &[usize]) -> Option<&'static str> {
        let results = &self.store.results;
        let mut items = results.clone();
        items.sort_unstable();
        items.dedup();
        let row = self.store.row.as_ref().map(|(_, row)| row);
        let responses = &self.responses;
        match () {
            () if !results.starts_with(before) => Some("the position of a result has changed"),
            () if items.len() != results.len() => Some("an item has two results"),
            () if responses.accepted && row.is_none() => {
                Some("an accepted job is not in the store")
            }
            () if row.is_some() && responses.refused == responses.submissions => {
                Some("the job is stored although every submission was refused")
            }
            () => {
                let ended = responses.ended.as_ref()?;
                let is_final = row.is_some_and(|row| row.state == State::Ended);
                (!is_final || ended != results)
                    .then_some("a job continued after its end was confirmed")
            }
        }
    }

    /// Returns the reason why the job has not finished after the rounds without faults, if it has
    /// not.
    fn unfinished(&self) -> Option<&'static str> {
        let (_, row) = self.store.row.as_ref()?;
        match row.state {
            State::Open => Some("the job is still open"),
            State::Done if self.store.results.len() != ITEMS => {
                Some("the job is done, but an item has no result")
            }
            State::Done | State::Ended => {
                let owners = self.relays.iter().filter(|relay| relay.owned.is_some());
                (owners.count() > 0).then_some("a relay still runs the job")
            }
        }
    }
}

fn run_schedule(simulation: &mut Simulation) -> Option<&'static str> {
    for _ in 0..FAULTY_STEPS {
        let before = simulation.store.results.clone();
        simulation.step();
        if let Some(violation) = simulation.violation(&before) {
            return Some(violation);
        }
    }
    simulation.has_faults = false;
    for _ in 0..RECOVERY_ROUNDS {
        for relay in 0..simulation.relays.len() {
            let before = simulation.store.results.clone();
            simulation.feed(relay);
            simulation.take_over(relay);
            simulation.run(relay);
            simulation.commit(relay);
            simulation.apply_delayed();
            if let Some(violation) = simulation.violation(&before) {
                return Some(violation);
            }
        }
    }
    simulation.unfinished()
}

/// Guards against a job that is lost after its acceptance, runs although every submission was
/// refused, has two results for an item, never finishes, or continues after its end was confirmed.
#[gtest]
fn schedules() -> Result<()> {
    let (mut done, mut ended) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        if let Some(violation) = run_schedule(&mut simulation) {
            return fail!("seed {seed}: {violation}\n{}", simulation.steps.join("\n"));
        }
        match simulation.store.row {
            Some((_, Job { state: State::Ended, .. })) => ended += 1,
            Some(_) => done += 1,
            None => {}
        }
    }
    // Each of the two final states must be covered by enough schedules.
    expect_that!(done, gt(SCHEDULES / 5));
    verify_that!(ended, gt(SCHEDULES / 5))
}
