//! One job from its submission to its end, against a store whose replies are lost and whose writes
//! take effect late, at relays that die, stop, misjudge each other and hear of changes late.
//!
//! Thousands of schedules with a seed each. A failing one prints its seed and its steps.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{
    job::{Progress, RunFailure},
    owner::{Instance, Peer, should_take_over},
    results::{Batch, Results},
    submission::{Action, Submission, Write},
};
use cyclamengrade_relay::job::row::{Job, Owner, State};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Schedules of one run of the test.
const SCHEDULES: u64 = 6_000;
/// Steps of a schedule before the faults end.
const STEPS: usize = 150;
/// Rounds after the faults in which a job must be done.
const ROUNDS: usize = 200;
/// Items of the job.
const ITEMS: usize = 6;
const NAMES: [&str; 3] = ["vm-a", "vm-b", "vm-c"];

/// A conditional write to the store.
#[derive(Clone, Debug)]
enum Change {
    /// Writes the first row.
    Insert(Job),
    /// Replaces the row of this version.
    Replace(u64, Job),
    /// Lists results while the row has this version, and ends the job with the last one.
    List(u64, Batch, Option<Job>),
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// It is not carried out, and the writer is told so.
    Refused,
    /// It takes effect, but the reply is lost.
    Lost,
    /// The reply is lost; the write takes effect later.
    Late,
    /// Neither the write nor its reply arrives.
    Vanished,
}

/// What a writer learns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// Its conditions held; the version of the row.
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
    late: Vec<Change>,
}

impl Store {
    fn apply(&mut self, change: &Change) -> Reply {
        let at = self.row.as_ref().map_or(0, |(version, _)| *version);
        let row = match change {
            Change::Insert(job) if at == 0 => Some(job),
            Change::Replace(version, job) if at == *version => Some(job),
            Change::List(version, batch, row)
                if at == *version && batch.from == self.results.len() =>
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

    fn send(&mut self, change: &Change, fate: Fate) -> Reply {
        match fate {
            Fate::Answered => return self.apply(change),
            Fate::Refused => return Reply::Refused,
            Fate::Lost => {
                self.apply(change);
            }
            Fate::Late => self.late.push(change.clone()),
            Fate::Vanished => {}
        }
        Reply::Unknown
    }
}

/// A job that a relay runs.
struct Owned {
    version: u64,
    row: Job,
    ledger: Results,
    running: Vec<usize>,
}

struct Relay {
    name: &'static str,
    incarnation: u64,
    /// The row as the feed brought it.
    known: Option<(u64, Job)>,
    owned: Option<Owned>,
}

impl Relay {
    fn owner(&self) -> Owner {
        Owner { name: self.name.into(), incarnation: self.incarnation }
    }
}

/// What callers were told.
#[derive(Default)]
struct Told {
    submissions: u32,
    refused: u32,
    accepted: bool,
    /// Results when the end of the job was confirmed.
    ended: Option<Vec<usize>>,
}

struct World {
    random: StdRng,
    has_faults: bool,
    store: Store,
    relays: Vec<Relay>,
    told: Told,
    steps: Vec<String>,
}

impl World {
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
            told: Told::default(),
            steps: Vec::new(),
        }
    }

    fn note(&mut self, step: String) {
        self.steps.push(step);
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn fate(&mut self) -> Fate {
        if !self.has_faults || self.chance(0.7) {
            return Fate::Answered;
        }
        let fates = [Fate::Refused, Fate::Lost, Fate::Late, Fate::Vanished];
        fates[self.random.random_range(0..fates.len())]
    }

    fn send(&mut self, relay: usize, change: &Change) -> Reply {
        let fate = self.fate();
        let reply = self.store.send(change, fate);
        self.note(format!("{relay} {change:?}: {fate:?}, {reply:?}"));
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
            90..94 => self.kill(relay),
            _ => self.apply_late(),
        }
    }

    fn submit(&mut self, relay: usize) {
        // Callers come back until a submission succeeds, and now and then after that.
        if self.told.accepted && !self.chance(0.1) {
            return;
        }
        let owner = Some(self.relays[relay].owner());
        let job = Job {
            host: "h".into(),
            path: "/p".into(),
            items: ITEMS,
            accepted_ms: self.steps.len() as u64,
            due_ms: 0,
            expires_ms: 0,
            state: State::Open,
            owner,
        };
        let mut acceptance = Submission::default();
        self.told.submissions += 1;
        for attempt in 0.. {
            let (write, reply) = match self.fate() {
                Fate::Answered => (Write::Row, self.send(relay, &Change::Insert(job.clone()))),
                Fate::Refused => (Write::Object, Reply::Refused),
                Fate::Lost | Fate::Late | Fate::Vanished => (Write::Object, Reply::Unknown),
            };
            let may_take_effect = match reply {
                Reply::Done(_) | Reply::Conflict => {
                    self.told.accepted = true;
                    self.read(relay);
                    let known = self.relays[relay].known.clone();
                    if let Some((version, row)) = known
                        && row == job
                    {
                        self.own(relay, version, row);
                    }
                    self.note(format!("{relay} accepts the job"));
                    return;
                }
                Reply::Refused => false,
                Reply::Unknown => true,
            };
            let elapsed = Duration::from_millis(400) * attempt;
            match acceptance.record_failure(write, may_take_effect, elapsed) {
                Action::Retry => {}
                Action::Refuse => {
                    self.told.refused += 1;
                    self.note(format!("{relay} refuses the job"));
                    return;
                }
                Action::ReportUnknown => return,
            }
        }
    }

    /// Reads the row, as the feed or a call does.
    fn read(&mut self, relay: usize) {
        self.relays[relay].known.clone_from(&self.store.row);
    }

    fn own(&mut self, relay: usize, version: u64, row: Job) {
        if self.relays[relay].owned.is_some() {
            return;
        }
        let ledger = Results::new(Progress::new(ITEMS, 3), &self.store.results);
        self.relays[relay].owned = Some(Owned { version, row, ledger, running: Vec::new() });
    }

    /// The change of the row that a call makes, repeated after a conflict.
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
        if !self.told.accepted {
            return;
        }
        if self.relays[relay].known.is_none() {
            self.read(relay);
        }
        let was_ended = |job: &Job| job.state == State::Ended;
        let changed = self.update(relay, Job::ended).is_some();
        let known = self.relays[relay].known.as_ref();
        if changed || known.is_some_and(|(_, job)| was_ended(job)) {
            self.relays[relay].owned = None;
            if self.told.ended.is_none() {
                self.told.ended = Some(self.store.results.clone());
            }
            self.note(format!("{relay} confirms the end"));
        }
    }

    /// Brings the newest row, and stops what it says is no longer this relay's.
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
                // A relay may seem dead, or seem to be the start before.
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
        let start = |owner: &Owner| (owner.name.clone(), owner.incarnation);
        let from = row.owner.as_ref().map(start);
        let from =
            from.as_ref().map(|(name, incarnation)| Instance { name, incarnation: *incarnation });
        let own_start = Instance { name: &own.name, incarnation: own.incarnation };
        if !should_take_over(own_start, from, "job", &peers) {
            return;
        }
        let taken = self.update(relay, |job| job.taken_over(row.owner.as_ref(), &own));
        if let Some((version, row)) = taken {
            self.own(relay, version, row);
        }
    }

    /// Starts an item, or ends one.
    fn run(&mut self, relay: usize) {
        let ends = self.chance(0.5);
        let fails = self.chance(0.2);
        let Some(owned) = &mut self.relays[relay].owned else { return };
        let ended = if ends { owned.running.pop() } else { None };
        match ended {
            Some(item) if fails => {
                owned.ledger.record_failure(item, RunFailure::Interrupted);
            }
            Some(item) => owned.ledger.complete(item, format!("text of {item}")),
            None => {
                let next = owned.ledger.progress().waiting().next();
                if let Some(item) = next {
                    owned.ledger.start(item);
                    owned.running.push(item);
                }
            }
        }
    }

    fn commit(&mut self, relay: usize) {
        let most = self.random.random_range(1..4);
        let Some(owned) = &self.relays[relay].owned else { return };
        let batch = owned.ledger.next_batch(most, 1_000);
        if batch.entries.is_empty() && !batch.is_last {
            return;
        }
        let done = batch.is_last.then(|| owned.row.done());
        match self.send(relay, &Change::List(owned.version, batch.clone(), done)) {
            Reply::Done(_) if batch.is_last => self.relays[relay].owned = None,
            Reply::Done(_) => {
                if let Some(owned) = &mut self.relays[relay].owned {
                    owned.ledger.record_commit(&batch);
                }
            }
            Reply::Refused => {}
            Reply::Conflict | Reply::Unknown => self.resync(relay),
        }
    }

    /// Reads what the store has after a write whose outcome is not known.
    fn resync(&mut self, relay: usize) {
        self.read(relay);
        let listed = self.store.results.clone();
        let state = &mut self.relays[relay];
        let owner = state.owner();
        match (&state.known, &mut state.owned) {
            (Some((version, row)), Some(owned))
                if row.is_owned_by(&owner) && row.state == State::Open =>
            {
                owned.version = *version;
                owned.row = row.clone();
                owned.ledger.reconcile(&listed);
                owned.running.retain(|item| !listed.contains(item));
            }
            _ => state.owned = None,
        }
    }

    /// A planned stop, and the next start.
    fn hand_back(&mut self, relay: usize) {
        if let Some(owned) = &self.relays[relay].owned {
            self.relays[relay].known = Some((owned.version, owned.row.clone()));
            let own = self.relays[relay].owner();
            self.update(relay, |job| job.handed_over(&own));
        }
        self.kill(relay);
    }

    fn kill(&mut self, relay: usize) {
        self.note(format!("{relay} starts anew"));
        let state = &mut self.relays[relay];
        state.incarnation += 1;
        state.known = None;
        state.owned = None;
    }

    fn apply_late(&mut self) {
        if self.store.late.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.store.late.len());
        let change = self.store.late.swap_remove(index);
        let reply = self.store.apply(&change);
        self.note(format!("late {change:?}: {reply:?}"));
    }

    /// What is wrong after a step.
    fn wrong(&self, before: &[usize]) -> Option<&'static str> {
        let results = &self.store.results;
        let mut items = results.clone();
        items.sort_unstable();
        items.dedup();
        let row = self.store.row.as_ref().map(|(_, row)| row);
        let told = &self.told;
        match () {
            () if !results.starts_with(before) => Some("a position has changed"),
            () if items.len() != results.len() => Some("an item is listed twice"),
            () if told.accepted && row.is_none() => Some("an accepted job is gone"),
            () if row.is_some() && told.refused == told.submissions => {
                Some("a job exists that every submission refused")
            }
            () => {
                let ended = told.ended.as_ref()?;
                let is_final = row.is_some_and(|row| row.state == State::Ended);
                (!is_final || ended != results).then_some("an ended job went on")
            }
        }
    }

    /// What is wrong when the faults are over.
    fn unfinished(&self) -> Option<&'static str> {
        let (_, row) = self.store.row.as_ref()?;
        match row.state {
            State::Open => Some("the job is still open"),
            State::Done if self.store.results.len() != ITEMS => Some("an item has no result"),
            State::Done | State::Ended => {
                let owners = self.relays.iter().filter(|relay| relay.owned.is_some());
                (owners.count() > 0).then_some("a relay still runs the job")
            }
        }
    }
}

fn play(world: &mut World) -> Option<&'static str> {
    for _ in 0..STEPS {
        let before = world.store.results.clone();
        world.step();
        if let Some(wrong) = world.wrong(&before) {
            return Some(wrong);
        }
    }
    world.has_faults = false;
    for _ in 0..ROUNDS {
        for relay in 0..world.relays.len() {
            let before = world.store.results.clone();
            world.feed(relay);
            world.take_over(relay);
            world.run(relay);
            world.commit(relay);
            world.apply_late();
            if let Some(wrong) = world.wrong(&before) {
                return Some(wrong);
            }
        }
    }
    world.unfinished()
}

/// Guards against a job that is lost after its acceptance, runs although it was refused, is done
/// twice or never, or goes on after its end was confirmed.
#[gtest]
fn schedules() -> Result<()> {
    let (mut done, mut ended) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        if let Some(wrong) = play(&mut world) {
            return fail!("seed {seed}: {wrong}\n{}", world.steps.join("\n"));
        }
        match world.store.row {
            Some((_, Job { state: State::Ended, .. })) => ended += 1,
            Some(_) => done += 1,
            None => {}
        }
    }
    // Enough schedules reach either end.
    expect_that!(done, gt(SCHEDULES / 5));
    verify_that!(ended, gt(SCHEDULES / 5))
}
