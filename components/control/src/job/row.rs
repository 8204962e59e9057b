//! Rows of batch jobs in the table, and the keys of rows and objects.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Returns the key of a job's row.
pub fn job_key(job: &str) -> String {
    format!("job/{job}")
}

/// Returns the key of the row that maps a client's idempotency key to its job.
pub fn idempotency_row_key(client: &str, key: &str) -> String {
    format!("job-key/{client}/{key}")
}

/// Returns the common prefix of the row keys of a deployment's open jobs.
pub fn open_prefix(deployment: &str) -> String {
    format!("open/{deployment}/")
}

/// Returns the key of the row that lists a job as open; the keys sort by due time.
pub fn open_key(deployment: &str, due_unix_ms: u64, job: &str) -> String {
    format!("open/{deployment}/{due_unix_ms:016}/{job}")
}

/// Returns the common prefix of the row keys that count a client's open jobs at a deployment
/// towards a limit.
pub fn client_open_prefix(client: &str, deployment: &str) -> String {
    format!("client-open/{client}/{deployment}/")
}

/// Returns the key of the row that counts an open job towards the limit of its client.
pub fn client_open_key(client: &str, deployment: &str, job: &str) -> String {
    format!("client-open/{client}/{deployment}/{job}")
}

/// Returns the key of the guard row of a limit on open jobs. Every acceptance of a job under the
/// limit writes it, so that two concurrent acceptances cannot be based on the same count.
pub fn client_jobs_key(client: &str, deployment: &str) -> String {
    format!("client-jobs/{client}/{deployment}")
}

/// Returns the identifier of the job from the key of a row that lists it as open.
pub fn job_of_open_key(key: &str) -> Option<&str> {
    key.rsplit('/').next()
}

/// Returns the common prefix of the row keys of a job's chunks.
pub fn chunk_prefix(job: &str) -> String {
    format!("chunk/{job}/")
}

/// Returns the key of a chunk's row.
pub fn chunk_key(job: &str, chunk: u32) -> String {
    format!("chunk/{job}/{chunk:08}")
}

/// Returns the key of the object with a part of a job's input.
pub fn input_key(job: &str, part: usize) -> String {
    format!("jobs/{job}/input/{part:06}")
}

/// Returns the key of the object with the results of a chunk committed under a fencing number.
pub fn result_key(job: &str, chunk: u32, fence: u64) -> String {
    format!("jobs/{job}/results/{chunk:08}-{fence}")
}

/// Row that maps a client's idempotency key to its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRow {
    /// Identifier of the job.
    pub job: String,
    /// Digest of the deployment and the input.
    pub digest: String,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Items are waiting or running.
    Open,
    /// Every item has a result.
    Completed,
    Cancelled,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Client to which the job is charged.
    pub client: String,
    pub deployment: String,
    /// Number of items.
    pub items: u32,
    /// Number of items in each chunk created at acceptance, except for the last one.
    pub chunk_items: u32,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
    pub state: State,
    /// Number of chunks, including those split off.
    pub chunks: u32,
    /// Number of the next chunk that has never been claimed.
    pub next: u32,
    /// Chunks that were returned and wait to be claimed again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<u32>,
    /// Number of committed chunks.
    pub done: u32,
    /// Number of items with an answer.
    pub succeeded: u32,
    /// Number of items that ended as failed.
    pub failed: u32,
    /// Whether the job counts towards a limit of open jobs. While it is open, it then has a row of
    /// its own for the count.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub limited: bool,
}

impl Job {
    /// Returns the keys of the rows that exist only while the job is open.
    pub fn open_keys(&self, id: &str) -> Vec<String> {
        let mut keys = vec![open_key(&self.deployment, self.due_unix_ms, id)];
        if self.limited {
            keys.push(client_open_key(&self.client, &self.deployment, id));
        }
        keys
    }

    /// Returns the number of chunks into which the job was divided at acceptance.
    pub const fn base_chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items)
    }

    /// Returns the items of a chunk that was created at acceptance.
    pub fn items_of(&self, chunk: u32) -> Vec<u32> {
        let first = chunk * self.chunk_items;
        (first..self.items.min(first + self.chunk_items)).collect()
    }

    /// Returns whether a chunk can be claimed without a takeover.
    pub fn claimable(&self) -> bool {
        self.state == State::Open && (!self.returned.is_empty() || self.next < self.base_chunks())
    }
}

/// State of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkState {
    /// A daemon holds the chunk.
    Held,
    /// The holder returned the chunk, which can be claimed again.
    Returned,
    /// The results of the chunk are committed.
    Done,
}

/// Row of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Name of the daemon that holds the chunk.
    pub holder: String,
    /// Number of the holder's process among those that ran under its name.
    pub epoch: u64,
    /// Fencing number, incremented with each change of holder.
    pub fence: u64,
    /// Number of claims and takeovers, without claims after a return.
    pub claims: u32,
    pub state: ChunkState,
    /// Item that runs in isolation, if the items run one at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u32>,
    /// Number of attempts charged to each unfinished item; items without any are left out.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<u32, u32>,
    /// Key of the object with the results, once they are committed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Items of the chunk, if they differ from those at acceptance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub items: Option<Vec<u32>>,
    /// Number of the chunk to which unfinished items were split off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub split: Option<u32>,
}
