//! Log events and metrics of batch jobs.

use std::collections::BTreeMap;

use cyclamengrade_control::job::{
    self,
    dispatch::{Event, Run},
};
use cyclamengrade_telemetry::{
    event,
    metrics::{BATCH_ITEMS, BATCH_PAUSES, BATCH_STREAM_LIMIT, BATCH_STREAMS, CHUNKS, JOBS},
};
use metrics::{counter, gauge};

use super::BatchLimit;

/// Limits of the batch streams that this daemon may hold open, summed up per deployment.
#[derive(Debug, Default)]
pub(super) struct Limits {
    /// Maximum number of streams by deployment and upstream.
    streams: BTreeMap<String, BTreeMap<String, u32>>,
}

impl Limits {
    /// Sets the limit of one upstream and updates the gauge of its deployment.
    pub fn set(&mut self, limit: &BatchLimit) {
        let BatchLimit { upstream, deployment, streams } = limit;
        let upstreams = self.streams.entry(deployment.clone()).or_default();
        if *streams == 0 {
            upstreams.remove(upstream);
        } else {
            upstreams.insert(upstream.clone(), *streams);
        }
        let sum = upstreams.values().map(|streams| f64::from(*streams)).sum::<f64>();
        gauge!(BATCH_STREAM_LIMIT, "deployment" => deployment.clone()).set(sum);
    }
}

pub(super) fn stream_opened(deployment: &str) {
    gauge!(BATCH_STREAMS, "deployment" => deployment.to_owned()).increment(1.0);
}

pub(super) fn stream_closed(deployment: &str) {
    gauge!(BATCH_STREAMS, "deployment" => deployment.to_owned()).decrement(1.0);
}

/// Counts a stream that was stopped because the limit of its upstream fell.
pub(super) fn stream_paused(deployment: &str) {
    counter!(BATCH_PAUSES, "deployment" => deployment.to_owned()).increment(1);
}

/// Logs a run that is charged to its item. `received` is the number of tokens that all runs of the
/// item received.
pub(super) fn run_failed(run: &Run, attempts: u32, received: u32, error: &str) {
    event!(
        RunFailed,
        job = run.job.as_str(),
        item = run.item,
        upstream = run.upstream.as_str(),
        attempts = attempts,
        received = received,
        error = error
    );
}

/// Logs an item that has failed permanently.
pub(super) fn item_failed(job: &str, item: u32, attempts: u32, error: &str) {
    event!(ItemFailed, job = job, item = item, attempts = attempts, error = error);
}

/// Logs and counts an event of a chunk or a job.
pub(super) fn dispatch_event(event: &Event) {
    match event {
        Event::Claimed { chunk, fence } => {
            count_chunk("claimed");
            event!(ChunkClaimed, job = chunk.job.as_str(), chunk = chunk.number, fence = *fence);
        }
        Event::TakenOver { chunk, fence, holder } => {
            count_chunk("taken_over");
            event!(
                ChunkTakenOver,
                job = chunk.job.as_str(),
                chunk = chunk.number,
                fence = *fence,
                holder = holder.as_str()
            );
        }
        Event::Committed { chunk, deployment, succeeded, failed } => {
            count_chunk("committed");
            event!(ChunkCommitted, job = chunk.job.as_str(), chunk = chunk.number);
            count_items(deployment, "succeeded", *succeeded);
            count_items(deployment, "failed", *failed);
        }
        Event::Lost { chunk } => {
            count_chunk("lost");
            event!(ChunkCommitLost, job = chunk.job.as_str(), chunk = chunk.number);
        }
        Event::Completed { job, succeeded, failed } => {
            count_job("completed");
            event!(JobCompleted, job = job.as_str(), succeeded = *succeeded, failed = *failed);
        }
    }
}

/// Logs and counts a job that this daemon accepted.
pub(super) fn job_accepted(id: &str, job: &job::Job) {
    count_job("accepted");
    let (client, deployment) = (job.client.as_str(), job.deployment.as_str());
    event!(JobAccepted, job = id, client = client, deployment = deployment, items = job.items);
}

/// Logs and counts a job that this daemon cancelled.
pub(super) fn job_cancelled(id: &str, job: &job::Job) {
    count_job("cancelled");
    event!(JobCancelled, job = id, client = job.client.as_str());
}

fn count_chunk(outcome: &'static str) {
    counter!(CHUNKS, "outcome" => outcome).increment(1);
}

fn count_items(deployment: &str, outcome: &'static str, items: u32) {
    counter!(BATCH_ITEMS, "deployment" => deployment.to_owned(), "outcome" => outcome)
        .increment(items.into());
}

fn count_job(state: &'static str) {
    counter!(JOBS, "state" => state).increment(1);
}
