//! Committing results, splitting off unfinished items, and handing back.

use std::time::Duration;

use super::{
    Action, ChunkId, Dispatch, Note,
    chunk::{Cut, Held, Phase},
    claim::{Kind, Write},
};
use crate::{
    job::row::{Chunk, ChunkState, Job, State, job_key},
    store::Transaction,
};

/// Unfinished items are split off when none ended for this many times the mean run time. With 4
/// (and at least 2 s) the test of stragglers took 111 ticks instead of 101, for the same writes.
const STRAGGLER_FACTOR: u32 = 2;

/// Shortest time without an ended item before unfinished ones are split off; bounds the writes for
/// items that run for milliseconds.
const STRAGGLER_MIN: Duration = Duration::from_millis(500);

/// Time without streams after which a chunk is handed back.
const IDLE: Duration = Duration::from_secs(15);
/// The same for a chunk whose last run failed. Its upstreams are probably lost, while a pause for
/// online work is short and would lose the text received so far.
const IDLE_FAILING: Duration = Duration::from_secs(2);

impl Dispatch {
    /// Moves each chunk towards its commit.
    pub(super) fn settle(&mut self) {
        if !self.leased_now() {
            return;
        }
        let ready: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| !held.busy && self.now >= held.retry_at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ready {
            let Some(held) = self.held.get(&id) else { continue };
            match held.phase.clone() {
                Phase::Loading if self.drain.is_none() => self.load(&id),
                Phase::Loading | Phase::Working => {
                    if let Some(cut) = self.cut(&id, held) {
                        self.store(&id, cut);
                    }
                }
                Phase::Storing(cut) => self.store(&id, cut),
                Phase::Committing(cut) => self.commit(&id, cut),
            }
        }
    }

    /// The part of a chunk to commit now.
    fn cut(&self, id: &ChunkId, held: &Held) -> Option<Cut> {
        let items = held.finished();
        let (finished, unfinished) = (items.len(), held.unfinished());
        if unfinished == 0 {
            return Some(Cut { items, hand_back: false });
        }
        let still = self.now.since(held.progress);
        let running = !held.runs().is_empty();
        let deployment = self.deployment(id).unwrap_or_default();
        let lost = held.failing && self.closed(deployment);
        let idle = if lost { IDLE_FAILING } else { IDLE };
        let unused = self.streams(deployment) == 0 && still >= idle;
        if !running && (self.drain.is_some() || unused) {
            return Some(Cut { items, hand_back: true });
        }
        let mean = held.times.0 / held.times.1.max(1);
        let straggling = finished >= unfinished
            && still >= STRAGGLER_MIN.max(mean * STRAGGLER_FACTOR)
            && self.drain.is_none();
        // Items that may have killed a worker do not put finished ones at risk.
        let suspected = held.isolated()
            && finished > 0
            && !running
            && held.items.values().all(|item| item.finished() || item.attempts > 0);
        (straggling || suspected).then_some(Cut { items, hand_back: false })
    }

    fn store(&mut self, id: &ChunkId, cut: Cut) {
        if cut.items.is_empty() {
            return self.commit(id, cut);
        }
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = true;
        let key = id.object(held.row.fence);
        let items = cut.items.clone();
        held.phase = Phase::Storing(cut);
        self.actions.push(Action::Store { chunk: id.clone(), key, items });
    }

    pub(super) fn stored(&mut self, id: &ChunkId, ok: bool) {
        let Some(held) = self.held.get_mut(id) else { return };
        let Phase::Storing(cut) = held.phase.clone() else { return };
        held.busy = false;
        if ok {
            held.phase = Phase::Committing(cut);
        } else {
            held.retry_at = self.now + self.backoff;
        }
    }

    fn commit(&mut self, id: &ChunkId, cut: Cut) {
        if self.writing_job(&id.job) || !self.fresh(&id.job) {
            return;
        }
        let (Some(held), Some(view)) = (self.held.get(id), self.views.get(&id.job)) else { return };
        let mut job = view.row.clone();
        let mut row = Chunk { current: None, attempts: held.attempts(), ..held.row.clone() };
        let mut rest = None;
        if cut.items.is_empty() {
            row.state = ChunkState::Returned;
            job.returned.push(id.number);
        } else {
            let (succeeded, failed) = held.counts(&cut.items);
            job.succeeded += succeeded;
            job.failed += failed;
            job.done += 1;
            row.state = ChunkState::Done;
            row.object = Some(id.object(held.row.fence));
            row.attempts.clear();
            let unfinished: Vec<_> =
                held.items.keys().filter(|item| !cut.items.contains(item)).copied().collect();
            if !unfinished.is_empty() {
                row.items = Some(cut.items.clone());
                row.split = Some(job.chunks);
                rest = Some(Self::rest(id, held, &mut job, unfinished, cut.hand_back));
            }
        }
        let mut transaction = Transaction::new()
            .with_condition(id.key(), held.version)
            .with_condition(job_key(&id.job), view.version);
        if job.done == job.chunks && job.next == job.base_chunks() {
            job.state = State::Completed;
            transaction = job
                .open_keys(&id.job)
                .into_iter()
                .fold(transaction, |transaction, key| transaction.with_delete(key));
        }
        transaction = transaction.with_write(id.key(), &row).with_write(job_key(&id.job), &job);
        if let Some((rest, row)) = &rest {
            transaction = transaction.with_condition(rest.key(), 0).with_write(rest.key(), row);
        }
        if let Some(held) = self.held.get_mut(id) {
            held.phase = Phase::Committing(cut.clone());
        }
        let kind = Kind::Commit { cut, job, rest };
        self.write(transaction, Write { chunk: id.clone(), row, kind });
    }

    /// The chunk of the items that are not committed.
    fn rest(
        id: &ChunkId,
        held: &Held,
        job: &mut Job,
        items: Vec<u32>,
        hand_back: bool,
    ) -> (ChunkId, Chunk) {
        let number = job.chunks;
        job.chunks += 1;
        if hand_back {
            job.returned.push(number);
        }
        let row = Chunk {
            state: if hand_back { ChunkState::Returned } else { ChunkState::Held },
            current: None,
            attempts: held.attempts(),
            items: Some(items),
            object: None,
            split: None,
            ..held.row.clone()
        };
        (ChunkId { job: id.job.clone(), number }, row)
    }

    /// Reports a transaction that took effect and left the job's row like this.
    pub(super) fn note_commit(&mut self, id: &ChunkId, cut: &Cut, job: &Job) {
        if let Some(held) = self.held.get(id).filter(|_| !cut.items.is_empty()) {
            let (succeeded, failed) = held.counts(&cut.items);
            let deployment = job.deployment.clone();
            self.note(Note::Committed { chunk: id.clone(), deployment, succeeded, failed });
        }
        if job.state == State::Completed {
            let Job { succeeded, failed, .. } = *job;
            self.note(Note::Completed { job: id.job.clone(), succeeded, failed });
        }
    }

    /// Ends a chunk whose transaction took effect; unfinished items go on under the new chunk.
    pub(super) fn committed(
        &mut self,
        id: &ChunkId,
        cut: &Cut,
        rest: Option<(ChunkId, u64, Chunk)>,
    ) {
        let Some(mut held) = self.held.remove(id) else { return };
        let mut gone = cut.items.clone();
        match rest {
            Some((rest, version, row)) if version > 0 && !cut.hand_back => {
                held.items.retain(|item, _| !cut.items.contains(item));
                for place in self.runs.values_mut().filter(|place| place.chunk == *id) {
                    place.chunk = rest.clone();
                }
                held.row = row;
                held.version = version;
                held.phase = Phase::Working;
                held.busy = false;
                held.times = (Duration::ZERO, 0);
                held.progress = self.now;
                self.held.insert(rest, held);
            }
            _ => {
                for run in held.runs() {
                    self.stop(run, false);
                }
                gone = held.items.keys().copied().collect();
            }
        }
        self.actions.push(Action::Forget { job: id.job.clone(), items: gone });
    }
}
