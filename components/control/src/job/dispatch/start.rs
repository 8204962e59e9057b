//! Starting, pausing and ending of runs at the upstreams.

use std::{cmp::Reverse, time::Duration};

use super::{
    Action, ChunkId, Dispatch, End, Run, RunId,
    chunk::{Held, Item, Phase, Progress},
    claim::{Kind, Write},
};
use crate::{job::row::Chunk, store::Transaction, time::Time};

/// Time for which an upstream that did not take an item gets no other.
const COOLING: Duration = Duration::from_secs(1);

/// Time after a failed run for which a falling limit counts as the loss of the upstream.
const LOSS: Duration = Duration::from_millis(500);

/// Attempts of an item from which its next run discards text received before.
const FRESH_ATTEMPTS: u32 = 2;

/// The batch streams of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub deployment: String,
    streams: u32,
    /// Runs in the order in which they started.
    runs: Vec<RunId>,
    cooling: Time,
    /// When a run failed last.
    failed: Option<Time>,
    /// Run that must stay the only one.
    alone: Option<RunId>,
    /// Whether it is kept free until an item can run alone.
    reserved: bool,
}

/// Where a run belongs.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub chunk: ChunkId,
    item: u32,
    upstream: String,
}

/// An item that may start.
struct Candidate {
    chunk: ChunkId,
    item: u32,
    alone: bool,
    /// Whether it must be recorded in the chunk's row first.
    mark: bool,
}

impl Slot {
    fn room(&self, now: Time) -> usize {
        if now < self.cooling { 0 } else { (self.streams as usize).saturating_sub(self.runs.len()) }
    }
}

impl Dispatch {
    /// Streams that this daemon may hold open in a deployment.
    pub(super) fn streams(&self, deployment: &str) -> usize {
        let usable = |slot: &&Slot| slot.deployment == deployment && self.now >= slot.cooling;
        self.slots.values().filter(usable).map(|slot| slot.streams as usize).sum()
    }

    /// Whether every upstream of a deployment is closed to this daemon's batch work.
    pub(super) fn closed(&self, deployment: &str) -> bool {
        self.slots.values().all(|slot| slot.deployment != deployment || slot.streams == 0)
    }

    /// Sets the limit of an upstream and pauses the newest runs over it.
    pub(super) fn limit(&mut self, upstream: String, deployment: String, streams: u32) {
        self.listings.entry(deployment.clone()).or_default();
        let slot = self.slots.entry(upstream.clone()).or_default();
        slot.deployment = deployment;
        slot.streams = streams;
        let over = slot.runs.len().saturating_sub(streams as usize);
        let newest: Vec<_> = slot.runs.iter().rev().take(over).copied().collect();
        let lost = slot.failed.is_some_and(|at| self.now.since(at) < LOSS);
        for run in newest {
            if lost {
                self.charge(run);
            }
            self.stop(run, true);
        }
        if streams == 0 && self.slots.get(&upstream).is_some_and(|slot| slot.runs.is_empty()) {
            self.slots.remove(&upstream);
        }
    }

    /// Counts an attempt of an item whose upstream was lost before its own run had ended.
    ///
    /// Without this, an item that kills its upstream is not charged when the failures of the other
    /// runs lower the limit first. The last attempt is left, since it runs alone.
    fn charge(&mut self, run: RunId) {
        let last = self.settings.item_attempts.saturating_sub(1);
        let Some(place) = self.runs.get(&run).cloned() else { return };
        if let Some(item) = self.item(&place) {
            item.attempts = last.min(item.attempts + 1).max(item.attempts);
        }
    }

    /// Cancels a run; its item waits again.
    pub(super) fn stop(&mut self, run: RunId, keep: bool) {
        let Some(place) = self.remove_run(run) else { return };
        if let Some(item) = self.item(&place) {
            item.state = Progress::Waiting;
            item.paused = keep;
        }
        self.actions.push(Action::Stop { run, keep });
    }

    fn remove_run(&mut self, run: RunId) -> Option<Place> {
        let place = self.runs.remove(&run)?;
        if let Some(slot) = self.slots.get_mut(&place.upstream) {
            slot.runs.retain(|other| *other != run);
            slot.alone = slot.alone.filter(|alone| *alone != run);
        }
        Some(place)
    }

    fn item(&mut self, place: &Place) -> Option<&mut Item> {
        self.held.get_mut(&place.chunk)?.items.get_mut(&place.item)
    }

    /// Asks for the items of a chunk.
    pub(super) fn load(&mut self, id: &ChunkId) {
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = true;
        let items = held.items.keys().copied().collect();
        self.actions.push(Action::Load { chunk: id.clone(), items });
    }

    pub(super) fn loaded(&mut self, id: &ChunkId, missing: Option<Vec<u32>>) {
        let Some(held) = self.held.get_mut(id) else { return };
        if held.phase != Phase::Loading {
            return;
        }
        held.busy = false;
        let Some(missing) = missing else {
            held.retry_at = self.now + self.backoff;
            return;
        };
        held.phase = Phase::Working;
        held.progress = self.now;
        let limit = self.settings.item_attempts;
        let spent = held.items.iter().filter(|(_, item)| item.attempts >= limit);
        let spent: Vec<_> = spent.map(|(index, _)| *index).collect();
        for item in missing {
            self.fail(id, item, "the item is missing in the stored input");
        }
        for item in spent {
            self.fail(id, item, "every attempt ended with the loss of its worker");
        }
    }

    fn fail(&mut self, id: &ChunkId, index: u32, reason: &'static str) {
        let item = self.held.get_mut(id).and_then(|held| held.items.get_mut(&index));
        let Some(item) = item.filter(|item| !item.finished()) else { return };
        item.state = Progress::Done { bytes: reason.len() as u64, succeeded: false };
        self.actions.push(Action::Fail { job: id.job.clone(), item: index, reason });
    }

    /// Starts items while upstreams have room.
    pub(super) fn start(&mut self) {
        let lease = self.leased_now() || (self.lease.failing && !self.lease.superseded);
        if !lease || self.drain.is_some() {
            return;
        }
        let deployments: Vec<_> = self.listings.keys().cloned().collect();
        for deployment in deployments {
            self.start_in(&deployment);
        }
    }

    fn start_in(&mut self, deployment: &str) {
        if !self.slots.values().any(|slot| slot.deployment == deployment && slot.room(self.now) > 0)
        {
            return;
        }
        for slot in self.slots.values_mut().filter(|slot| slot.deployment == deployment) {
            slot.reserved = false;
        }
        if self.result_bytes() >= self.settings.memory_bytes {
            return;
        }
        for candidate in self.candidates(deployment) {
            if candidate.mark {
                self.mark(&candidate.chunk, candidate.item);
            } else if candidate.alone {
                self.start_alone(deployment, &candidate);
            } else if let Some(upstream) = self.roomiest(deployment) {
                self.begin(&candidate, upstream);
            }
        }
    }

    /// Items that may start: last attempts first, then paused items, then in order of due time.
    fn candidates(&self, deployment: &str) -> Vec<Candidate> {
        let limit = self.settings.item_attempts;
        let mut candidates = Vec::new();
        for (id, held) in &self.held {
            let Some(view) = self.views.get(&id.job) else { continue };
            if view.row.deployment != deployment || !held.working() {
                continue;
            }
            let due = view.row.due_unix_ms;
            if held.isolated() {
                candidates
                    .extend(Self::isolated(id, held).map(|next| ((!next.alone, false, due), next)));
                continue;
            }
            for (index, item) in held.items.iter().filter(|(_, item)| item.waiting()) {
                let alone = item.last_attempt(limit);
                let next = Candidate { chunk: id.clone(), item: *index, alone, mark: false };
                candidates.push(((!alone, !item.paused, due), next));
            }
        }
        candidates.sort_by_key(|(order, _)| *order);
        candidates.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// The next item of a chunk that runs one at a time: those without a charged attempt first.
    fn isolated(id: &ChunkId, held: &Held) -> Option<Candidate> {
        if held.busy || held.phase != Phase::Working || !held.runs().is_empty() {
            return None;
        }
        let waiting = held.items.iter().filter(|(_, item)| item.waiting());
        let (index, item) = waiting.min_by_key(|(_, item)| item.attempts)?;
        let mark = held.row.current != Some(*index) || held.row.attempts != held.attempts();
        Some(Candidate { chunk: id.clone(), item: *index, alone: item.attempts > 0, mark })
    }

    fn roomiest(&self, deployment: &str) -> Option<String> {
        self.slots
            .iter()
            .filter(|(_, slot)| {
                slot.deployment == deployment && slot.alone.is_none() && !slot.reserved
            })
            .map(|(name, slot)| (slot.room(self.now), Reverse(name)))
            .filter(|(room, _)| *room > 0)
            .max()
            .map(|(_, Reverse(name))| name.clone())
    }

    /// Starts an item at an upstream without other batch items, which is kept free first when
    /// there is none.
    fn start_alone(&mut self, deployment: &str, candidate: &Candidate) {
        let mut slots: Vec<_> =
            self.slots.iter_mut().filter(|(_, slot)| slot.deployment == deployment).collect();
        if slots.iter().any(|(_, slot)| slot.alone.is_some() || slot.reserved) {
            return;
        }
        slots.retain(|(_, slot)| slot.streams > 0 && self.now >= slot.cooling);
        let Some((name, slot)) = slots.into_iter().min_by_key(|(_, slot)| slot.runs.len()) else {
            return;
        };
        if slot.runs.is_empty() {
            slot.alone = Some(RunId(self.next_run));
            let name = name.clone();
            self.begin(candidate, name);
        } else {
            slot.reserved = true;
        }
    }

    fn begin(&mut self, candidate: &Candidate, upstream: String) {
        let Some(slot) = self.slots.get_mut(&upstream) else { return };
        let Candidate { chunk, item: index, .. } = candidate;
        let held = self.held.get_mut(chunk);
        let Some(item) = held.and_then(|held| held.items.get_mut(index)) else { return };
        let id = RunId(self.next_run);
        self.next_run += 1;
        slot.runs.push(id);
        let place = Place { chunk: chunk.clone(), item: *index, upstream: upstream.clone() };
        self.runs.insert(id, place);
        let fresh = !item.paused && item.attempts >= FRESH_ATTEMPTS;
        item.state = Progress::Running { run: id, since: self.now };
        item.paused = false;
        self.actions.push(Action::Start(Run {
            id,
            job: chunk.job.clone(),
            item: *index,
            deployment: slot.deployment.clone(),
            upstream,
            fresh,
        }));
    }

    /// Records the item that runs next, so that the death of this daemon is charged to it.
    fn mark(&mut self, id: &ChunkId, item: u32) {
        let now = self.now;
        if !self.leased_now() {
            return;
        }
        let Some(held) = self.held.get_mut(id).filter(|held| now >= held.retry_at) else { return };
        let row = Chunk { current: Some(item), attempts: held.attempts(), ..held.row.clone() };
        let transaction =
            Transaction::new().with_condition(id.key(), held.version).with_write(id.key(), &row);
        self.write(transaction, Write { chunk: id.clone(), row, kind: Kind::Mark });
    }

    pub(super) fn marked(&mut self, id: &ChunkId, version: u64, row: Chunk) {
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = false;
        held.version = version;
        held.row = row;
    }

    /// Records the end of a run.
    pub(super) fn ended(&mut self, run: RunId, end: End) {
        let Some(place) = self.remove_run(run) else { return };
        let (now, limit) = (self.now, self.settings.item_attempts);
        if let Some(slot) = self.slots.get_mut(&place.upstream) {
            match end {
                End::NotRun => slot.cooling = now + COOLING,
                End::Failed => slot.failed = Some(now),
                End::Answered(_) | End::Rejected(_) => slot.failed = None,
            }
        }
        let Some(held) = self.held.get_mut(&place.chunk) else { return };
        let Some(item) = held.items.get_mut(&place.item) else { return };
        let Progress::Running { since, .. } = item.state else { return };
        held.failing = matches!(end, End::NotRun | End::Failed);
        match end {
            End::Answered(bytes) | End::Rejected(bytes) => {
                let succeeded = matches!(end, End::Answered(_));
                item.state = Progress::Done { bytes, succeeded };
                held.progress = now;
                held.times = (held.times.0 + now.since(since), held.times.1 + 1);
            }
            End::NotRun => item.state = Progress::Waiting,
            End::Failed => {
                item.state = Progress::Waiting;
                item.attempts += 1;
                held.progress = now;
                if item.attempts >= limit {
                    self.fail(&place.chunk, place.item, "every attempt failed at its upstream");
                }
            }
        }
    }
}
