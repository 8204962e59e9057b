//! Starts runs of items at the upstreams, pauses them, and handles their outcomes.

use std::{cmp::Reverse, time::Duration};

use super::{
    Action, ChunkId, Dispatch, Outcome, Run, RunId,
    chunk::{HeldChunk, Item, ItemState, Phase},
    claim::{ChunkWrite, WriteKind},
};
use crate::{job::row::Chunk, store::Transaction, time::Time};

/// Time for which an upstream gets no further item after it did not execute one or a run was
/// interrupted. A connection to a crashing upstream may still be accepted, and would cost the next
/// item an attempt.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Reason of an item whose attempts are spent.
const ATTEMPTS_SPENT: &str = "every attempt failed at its upstream";

/// Number of charged attempts from which the next run of an item discards the text received before.
const DISCARD_TEXT_ATTEMPTS: u32 = 2;

/// Batch streams and runs at an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamState {
    pub deployment: String,
    /// Maximum number of streams that this daemon may hold open.
    streams: u32,
    /// Runs in the order in which they started.
    runs: Vec<RunId>,
    cooldown_until: Time,
    /// Run that excludes other batch runs at this upstream.
    exclusive_run: Option<RunId>,
    /// Whether new runs are held back until the upstream is free for an item that must run alone.
    reserved: bool,
}

/// Chunk, item and upstream of a run.
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
    pub chunk: ChunkId,
    item: u32,
    upstream: String,
}

/// An item that can start.
struct StartCandidate {
    chunk: ChunkId,
    item: u32,
    /// Whether the item must run without other batch items at its upstream.
    alone: bool,
    /// Whether the item must be recorded in the chunk's row before it starts.
    record_first: bool,
}

impl UpstreamState {
    fn free_streams(&self, now: Time) -> usize {
        if now < self.cooldown_until {
            0
        } else {
            (self.streams as usize).saturating_sub(self.runs.len())
        }
    }
}

impl Dispatch {
    /// Returns the number of streams that this daemon may hold open in a deployment, without
    /// upstreams in cooldown.
    pub(super) fn usable_streams(&self, deployment: &str) -> usize {
        let usable = |upstream: &&UpstreamState| {
            upstream.deployment == deployment && self.now >= upstream.cooldown_until
        };
        self.upstreams.values().filter(usable).map(|upstream| upstream.streams as usize).sum()
    }

    /// Returns whether the limits of all upstreams of a deployment are zero.
    pub(super) fn has_no_streams(&self, deployment: &str) -> bool {
        self.upstreams
            .values()
            .all(|upstream| upstream.deployment != deployment || upstream.streams == 0)
    }

    /// Sets the stream limit of an upstream and pauses the newest runs that exceed it.
    pub(super) fn set_limit(&mut self, name: String, deployment: String, streams: u32) {
        self.listings.entry(deployment.clone()).or_default();
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.deployment = deployment;
        upstream.streams = streams;
        let excess = upstream.runs.len().saturating_sub(streams as usize);
        let newest: Vec<_> = upstream.runs.iter().rev().take(excess).copied().collect();
        for run in newest {
            self.stop_run(run, true);
        }
        if streams == 0
            && self.upstreams.get(&name).is_some_and(|upstream| upstream.runs.is_empty())
        {
            self.upstreams.remove(&name);
        }
    }

    /// Charges an attempt to an item whose upstream crashed before its run was stopped.
    ///
    /// Otherwise an item that crashes its upstream would not be charged when the limit of the
    /// upstream falls in the same moment. Unless the item ran alone, one attempt always remains,
    /// since another item may have crashed the upstream.
    pub(super) fn charge_attempt(&mut self, job: &str, index: u32, alone: bool) {
        let limit = self.settings.item_attempts;
        let first = ChunkId { job: job.to_owned(), number: 0 };
        let mut held = self.held.range_mut(first..).take_while(|(id, _)| id.job == job);
        let found = held.find_map(|(id, held)| Some((id.clone(), held.items.get_mut(&index)?)));
        let Some((chunk, item)) = found.filter(|(_, item)| !item.is_finished()) else { return };
        let most = if alone { limit } else { limit.saturating_sub(1) };
        item.attempts = most.min(item.attempts + 1).max(item.attempts);
        if item.attempts < limit {
            return;
        }
        if let ItemState::Running { run, .. } = item.state {
            self.stop_run(run, false);
        }
        self.fail_item(&chunk, index, ATTEMPTS_SPENT);
    }

    /// Stops a run; its item waits for a stream again.
    pub(super) fn stop_run(&mut self, run: RunId, keep_text: bool) {
        let alone = self.upstreams.values().any(|upstream| upstream.exclusive_run == Some(run));
        let Some(active) = self.remove_run(run) else { return };
        if let Some(item) = self.item_mut(&active) {
            item.state = ItemState::Waiting;
            item.paused = keep_text;
        }
        self.actions.push(Action::Stop { run, keep_text, alone });
    }

    fn remove_run(&mut self, run: RunId) -> Option<ActiveRun> {
        let active = self.runs.remove(&run)?;
        if let Some(upstream) = self.upstreams.get_mut(&active.upstream) {
            upstream.runs.retain(|other| *other != run);
            upstream.exclusive_run = upstream.exclusive_run.filter(|alone| *alone != run);
        }
        Some(active)
    }

    fn item_mut(&mut self, active: &ActiveRun) -> Option<&mut Item> {
        self.held.get_mut(&active.chunk)?.items.get_mut(&active.item)
    }

    /// Requests the items of a chunk from the job's input.
    pub(super) fn load_items(&mut self, id: &ChunkId) {
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = true;
        let items = held.items.keys().copied().collect();
        self.actions.push(Action::Load { chunk: id.clone(), items });
    }

    pub(super) fn items_loaded(&mut self, id: &ChunkId, missing: Option<Vec<u32>>) {
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
        held.last_progress = self.now;
        let limit = self.settings.item_attempts;
        let exhausted = held.items.iter().filter(|(_, item)| item.attempts >= limit);
        let exhausted: Vec<_> = exhausted.map(|(index, _)| *index).collect();
        for item in missing {
            self.fail_item(id, item, "the item is missing in the stored input");
        }
        for item in exhausted {
            self.fail_item(id, item, "every attempt ended with the loss of its worker");
        }
    }

    fn fail_item(&mut self, id: &ChunkId, index: u32, reason: &'static str) {
        let item = self.held.get_mut(id).and_then(|held| held.items.get_mut(&index));
        let Some(item) = item.filter(|item| !item.is_finished()) else { return };
        item.state = ItemState::Done { bytes: reason.len() as u64, succeeded: false };
        self.actions.push(Action::Fail { job: id.job.clone(), item: index, reason });
    }

    /// Starts items while upstreams have free streams.
    ///
    /// Held items also start while the lease cannot be renewed because the table is down, since no
    /// other daemon can take them over without it.
    pub(super) fn start_items(&mut self) {
        let may_start = self.holds_lease() || (self.lease.failing && !self.lease.superseded);
        if !may_start || self.drain_until.is_some() {
            return;
        }
        let deployments: Vec<_> = self.listings.keys().cloned().collect();
        for deployment in deployments {
            self.start_items_of(&deployment);
        }
    }

    fn start_items_of(&mut self, deployment: &str) {
        if !self.upstreams.values().any(|upstream| {
            upstream.deployment == deployment && upstream.free_streams(self.now) > 0
        }) {
            return;
        }
        for upstream in
            self.upstreams.values_mut().filter(|upstream| upstream.deployment == deployment)
        {
            upstream.reserved = false;
        }
        if self.result_bytes() >= self.settings.max_result_bytes {
            return;
        }
        for candidate in self.start_candidates(deployment) {
            if candidate.record_first {
                self.record_current_item(&candidate.chunk, candidate.item);
            } else if candidate.alone {
                self.start_alone(deployment, &candidate);
            } else if let Some(upstream) = self.upstream_with_most_free_streams(deployment) {
                self.start_run(&candidate, upstream);
            }
        }
    }

    /// Returns the items that can start: last attempts first, then paused items, each in order of
    /// due time.
    fn start_candidates(&self, deployment: &str) -> Vec<StartCandidate> {
        let limit = self.settings.item_attempts;
        let mut candidates = Vec::new();
        for (id, held) in &self.held {
            let Some(cached) = self.jobs.get(&id.job) else { continue };
            if cached.row.deployment != deployment || !held.is_loaded() {
                continue;
            }
            let due = cached.row.due_unix_ms;
            if held.is_isolated() {
                candidates.extend(
                    Self::next_isolated_item(id, held)
                        .map(|next| ((!next.alone, false, due), next)),
                );
                continue;
            }
            for (index, item) in held.items.iter().filter(|(_, item)| item.is_waiting()) {
                let alone = item.is_last_attempt(limit);
                let next =
                    StartCandidate { chunk: id.clone(), item: *index, alone, record_first: false };
                candidates.push(((!alone, !item.paused, due), next));
            }
        }
        candidates.sort_by_key(|(order, _)| *order);
        candidates.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Returns the next item of a chunk whose items run one at a time; items with the fewest
    /// charged attempts come first.
    fn next_isolated_item(id: &ChunkId, held: &HeldChunk) -> Option<StartCandidate> {
        if held.busy || held.phase != Phase::Working || !held.runs().is_empty() {
            return None;
        }
        let waiting = held.items.iter().filter(|(_, item)| item.is_waiting());
        let (index, item) = waiting.min_by_key(|(_, item)| item.attempts)?;
        let record_first = held.row.current != Some(*index) || held.row.attempts != held.attempts();
        Some(StartCandidate {
            chunk: id.clone(),
            item: *index,
            alone: item.attempts > 0,
            record_first,
        })
    }

    fn upstream_with_most_free_streams(&self, deployment: &str) -> Option<String> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| {
                upstream.deployment == deployment
                    && upstream.exclusive_run.is_none()
                    && !upstream.reserved
            })
            .map(|(name, upstream)| (upstream.free_streams(self.now), Reverse(name)))
            .filter(|(free, _)| *free > 0)
            .max()
            .map(|(_, Reverse(name))| name.clone())
    }

    /// Starts an item at an upstream without other batch items. If there is none, reserves the
    /// upstream with the fewest runs until these have ended.
    fn start_alone(&mut self, deployment: &str, candidate: &StartCandidate) {
        let mut upstreams: Vec<_> = self
            .upstreams
            .iter_mut()
            .filter(|(_, upstream)| upstream.deployment == deployment)
            .collect();
        if upstreams
            .iter()
            .any(|(_, upstream)| upstream.exclusive_run.is_some() || upstream.reserved)
        {
            return;
        }
        upstreams
            .retain(|(_, upstream)| upstream.streams > 0 && self.now >= upstream.cooldown_until);
        let Some((name, upstream)) =
            upstreams.into_iter().min_by_key(|(_, upstream)| upstream.runs.len())
        else {
            return;
        };
        if upstream.runs.is_empty() {
            upstream.exclusive_run = Some(RunId(self.next_run));
            let name = name.clone();
            self.start_run(candidate, name);
        } else {
            upstream.reserved = true;
        }
    }

    fn start_run(&mut self, candidate: &StartCandidate, name: String) {
        let Some(upstream) = self.upstreams.get_mut(&name) else { return };
        let StartCandidate { chunk, item: index, .. } = candidate;
        let held = self.held.get_mut(chunk);
        let Some(item) = held.and_then(|held| held.items.get_mut(index)) else { return };
        let id = RunId(self.next_run);
        self.next_run += 1;
        upstream.runs.push(id);
        let active = ActiveRun { chunk: chunk.clone(), item: *index, upstream: name.clone() };
        self.runs.insert(id, active);
        let discard_text = !item.paused && item.attempts >= DISCARD_TEXT_ATTEMPTS;
        item.state = ItemState::Running { run: id, since: self.now };
        item.paused = false;
        self.actions.push(Action::Start(Run {
            id,
            job: chunk.job.clone(),
            item: *index,
            deployment: upstream.deployment.clone(),
            upstream: name,
            discard_text,
        }));
    }

    /// Records in the chunk's row which item runs next, so that a crash of this daemon is charged
    /// to it.
    fn record_current_item(&mut self, id: &ChunkId, item: u32) {
        let now = self.now;
        if !self.holds_lease() {
            return;
        }
        let Some(held) = self.held.get_mut(id).filter(|held| now >= held.retry_at) else { return };
        let row = Chunk { current: Some(item), attempts: held.attempts(), ..held.row.clone() };
        let transaction =
            Transaction::new().with_condition(id.key(), held.version).with_write(id.key(), &row);
        self.write(
            transaction,
            ChunkWrite { chunk: id.clone(), row, kind: WriteKind::RecordCurrent },
        );
    }

    pub(super) fn current_item_recorded(&mut self, id: &ChunkId, version: u64, row: Chunk) {
        let Some(held) = self.held.get_mut(id) else { return };
        held.busy = false;
        held.version = version;
        held.row = row;
    }

    /// Handles the end of a run and charges a failed one to its item.
    pub(super) fn run_ended(&mut self, run: RunId, outcome: Outcome) {
        let Some(active) = self.remove_run(run) else { return };
        let (now, limit) = (self.now, self.settings.item_attempts);
        if let Some(upstream) = self.upstreams.get_mut(&active.upstream) {
            match outcome {
                Outcome::NotRun | Outcome::Interrupted => {
                    upstream.cooldown_until = now + COOLDOWN;
                }
                Outcome::Answered(_) | Outcome::Rejected(_) | Outcome::Failed => {}
            }
        }
        let Some(held) = self.held.get_mut(&active.chunk) else { return };
        let Some(item) = held.items.get_mut(&active.item) else { return };
        let ItemState::Running { since, .. } = item.state else { return };
        held.last_run_failed =
            matches!(outcome, Outcome::NotRun | Outcome::Failed | Outcome::Interrupted);
        match outcome {
            Outcome::Answered(bytes) | Outcome::Rejected(bytes) => {
                let succeeded = matches!(outcome, Outcome::Answered(_));
                item.state = ItemState::Done { bytes, succeeded };
                held.last_progress = now;
                held.run_times = (held.run_times.0 + now.since(since), held.run_times.1 + 1);
            }
            Outcome::NotRun => item.state = ItemState::Waiting,
            Outcome::Failed | Outcome::Interrupted => {
                item.state = ItemState::Waiting;
                item.attempts += 1;
                held.last_progress = now;
                if item.attempts >= limit {
                    self.fail_item(&active.chunk, active.item, ATTEMPTS_SPENT);
                }
            }
        }
    }
}
