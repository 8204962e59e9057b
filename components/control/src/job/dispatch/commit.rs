//! Commits results, splits off unfinished items, and returns chunks to be claimed again.
//!
//! The results of a chunk are written to one object and then committed in one transaction on the
//! rows of the chunk and its job.

use std::time::Duration;

use super::{
    Action, ChunkId, Dispatch, Event,
    chunk::{CommitSet, HeldChunk, Phase},
    claim::{ChunkWrite, WriteKind},
};
use crate::{
    job::row::{Chunk, ChunkState, Job, State, job_key},
    store::Transaction,
};

/// Unfinished items are split off when no run has ended for this many times the mean run time. A
/// factor of 4 with a minimum of 2 s takes 111 instead of 101 ticks in the test `stragglers` of
/// `job_naive`, for the same number of writes.
const STRAGGLER_FACTOR: u32 = 2;

/// Minimum time without an ended run before unfinished items are split off. Bounds the number of
/// writes for items that run for milliseconds.
const STRAGGLER_MIN_WAIT: Duration = Duration::from_millis(500);

/// Time without progress after which a chunk is returned when its deployment has no streams.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The same for a chunk whose last run failed and whose upstreams have a limit of zero, because
/// they are probably lost. A pause for online work, in contrast, is short, and returning the chunk
/// would lose the text received so far.
const IDLE_TIMEOUT_AFTER_FAILURE: Duration = Duration::from_secs(2);

impl Dispatch {
    /// Starts the next step towards the commit of each held chunk that is not busy.
    pub(super) fn advance_commits(&mut self) {
        if !self.holds_lease() {
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
                Phase::Loading if self.drain_until.is_none() => self.load_items(&id),
                Phase::Loading | Phase::Working => {
                    if let Some(set) = self.next_commit_set(&id, held) {
                        self.store_results(&id, set);
                    }
                }
                Phase::Storing(set) => self.store_results(&id, set),
                Phase::Committing(set) => self.commit(&id, set),
            }
        }
    }

    /// Returns the items of a chunk to commit now, if any, or an empty set to return the whole
    /// chunk.
    fn next_commit_set(&self, id: &ChunkId, held: &HeldChunk) -> Option<CommitSet> {
        let items = held.finished();
        let (finished, unfinished) = (items.len(), held.unfinished());
        if unfinished == 0 {
            return Some(CommitSet { items, return_remainder: false });
        }
        let stalled_for = self.now.since(held.last_progress);
        let running = !held.runs().is_empty();
        let deployment = self.deployment_of(id).unwrap_or_default();
        let upstreams_lost = held.last_run_failed && self.has_no_streams(deployment);
        let timeout = if upstreams_lost { IDLE_TIMEOUT_AFTER_FAILURE } else { IDLE_TIMEOUT };
        let idle_timed_out = self.usable_streams(deployment) == 0 && stalled_for >= timeout;
        if !running && (self.drain_until.is_some() || idle_timed_out) {
            return Some(CommitSet { items, return_remainder: true });
        }
        let mean_run_time = held.run_times.0 / held.run_times.1.max(1);
        let straggling = finished >= unfinished
            && stalled_for >= STRAGGLER_MIN_WAIT.max(mean_run_time * STRAGGLER_FACTOR)
            && self.drain_until.is_none();
        // Finished items are committed before an item that may have crashed a daemon runs again.
        let crash_suspected = held.is_isolated()
            && finished > 0
            && !running
            && held.items.values().all(|item| item.is_finished() || item.attempts > 0);
        (straggling || crash_suspected).then_some(CommitSet { items, return_remainder: false })
    }

    fn store_results(&mut self, id: &ChunkId, set: CommitSet) {
        if set.items.is_empty() {
            return self.commit(id, set);
        }
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = true;
        let key = id.object(held.row.fence);
        let items = set.items.clone();
        held.phase = Phase::Storing(set);
        self.actions.push(Action::Store { chunk: id.clone(), key, items });
    }

    pub(super) fn results_stored(&mut self, id: &ChunkId, ok: bool) {
        let Some(held) = self.held.get_mut(id) else { return };
        let Phase::Storing(set) = held.phase.clone() else { return };
        held.busy = false;
        if ok {
            held.phase = Phase::Committing(set);
        } else {
            held.retry_at = self.now + self.backoff;
        }
    }

    fn commit(&mut self, id: &ChunkId, set: CommitSet) {
        if self.is_writing_job(&id.job) || !self.ensure_job_current(&id.job) {
            return;
        }
        let (Some(held), Some(cached)) = (self.held.get(id), self.jobs.get(&id.job)) else {
            return;
        };
        let mut job = cached.row.clone();
        let mut row = Chunk { current: None, attempts: held.attempts(), ..held.row.clone() };
        let mut remainder = None;
        if set.items.is_empty() {
            row.state = ChunkState::Returned;
            job.returned.push(id.number);
        } else {
            let (succeeded, failed) = held.counts(&set.items);
            job.succeeded += succeeded;
            job.failed += failed;
            job.done += 1;
            row.state = ChunkState::Done;
            row.object = Some(id.object(held.row.fence));
            row.attempts.clear();
            let unfinished: Vec<_> =
                held.items.keys().filter(|item| !set.items.contains(item)).copied().collect();
            if !unfinished.is_empty() {
                row.items = Some(set.items.clone());
                row.split = Some(job.chunks);
                remainder =
                    Some(Self::remainder(id, held, &mut job, unfinished, set.return_remainder));
            }
        }
        let mut transaction = Transaction::new()
            .with_condition(id.key(), held.version)
            .with_condition(job_key(&id.job), cached.version);
        if job.done == job.chunks && job.next == job.base_chunks() {
            job.state = State::Completed;
            transaction = job
                .open_keys(&id.job)
                .into_iter()
                .fold(transaction, |transaction, key| transaction.with_delete(key));
        }
        transaction = transaction.with_write(id.key(), &row).with_write(job_key(&id.job), &job);
        if let Some((remainder, row)) = &remainder {
            transaction =
                transaction.with_condition(remainder.key(), 0).with_write(remainder.key(), row);
        }
        if let Some(held) = self.held.get_mut(id) {
            held.phase = Phase::Committing(set.clone());
        }
        let kind = WriteKind::Commit { set, job, remainder };
        self.write(transaction, ChunkWrite { chunk: id.clone(), row, kind });
    }

    /// Returns a new chunk with the items that are not committed, and adds it to the job's row.
    fn remainder(
        id: &ChunkId,
        held: &HeldChunk,
        job: &mut Job,
        items: Vec<u32>,
        return_remainder: bool,
    ) -> (ChunkId, Chunk) {
        let number = job.chunks;
        job.chunks += 1;
        if return_remainder {
            job.returned.push(number);
        }
        let row = Chunk {
            state: if return_remainder { ChunkState::Returned } else { ChunkState::Held },
            current: None,
            attempts: held.attempts(),
            items: Some(items),
            object: None,
            split: None,
            ..held.row.clone()
        };
        (ChunkId { job: id.job.clone(), number }, row)
    }

    /// Emits the events of a commit that took effect; `job` is the row of the job after it.
    pub(super) fn emit_commit_events(&mut self, id: &ChunkId, set: &CommitSet, job: &Job) {
        if let Some(held) = self.held.get(id).filter(|_| !set.items.is_empty()) {
            let (succeeded, failed) = held.counts(&set.items);
            let deployment = job.deployment.clone();
            self.emit(Event::Committed { chunk: id.clone(), deployment, succeeded, failed });
        }
        if job.state == State::Completed {
            let Job { succeeded, failed, .. } = *job;
            self.emit(Event::Completed { job: id.job.clone(), succeeded, failed });
        }
    }

    /// Removes a chunk whose commit took effect. Unfinished items continue as part of the remainder
    /// chunk unless it was returned or another daemon may hold it; then their runs are stopped.
    pub(super) fn chunk_committed(
        &mut self,
        id: &ChunkId,
        set: &CommitSet,
        remainder: Option<(ChunkId, u64, Chunk)>,
    ) {
        let Some(mut held) = self.held.remove(id) else { return };
        let mut discarded = set.items.clone();
        match remainder {
            Some((remainder, version, row)) if version > 0 && !set.return_remainder => {
                held.items.retain(|item, _| !set.items.contains(item));
                for active in self.runs.values_mut().filter(|active| active.chunk == *id) {
                    active.chunk = remainder.clone();
                }
                held.row = row;
                held.version = version;
                held.phase = Phase::Working;
                held.busy = false;
                held.run_times = (Duration::ZERO, 0);
                held.last_progress = self.now;
                self.held.insert(remainder, held);
            }
            _ => {
                for run in held.runs() {
                    self.stop_run(run, false);
                }
                discarded = held.items.keys().copied().collect();
            }
        }
        self.actions.push(Action::Discard { job: id.job.clone(), items: discarded });
    }
}
