//! Rows of batch jobs in the table.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Key of a job's row.
pub fn job_key(job: &str) -> String {
    format!("job/{job}")
}

/// Key of the row that a client's job key leads to.
pub fn key_key(client: &str, key: &str) -> String {
    format!("job-key/{client}/{key}")
}

/// Common start of the rows of a deployment's open jobs.
pub fn open_prefix(deployment: &str) -> String {
    format!("open/{deployment}/")
}

/// Key of the row of an open job; the order of the keys is the order of due times.
pub fn open_key(deployment: &str, due_unix_ms: u64, job: &str) -> String {
    format!("open/{deployment}/{due_unix_ms:016}/{job}")
}

/// Common start of the rows of a client's open jobs of a deployment, while their number is limited.
pub fn client_open_prefix(client: &str, deployment: &str) -> String {
    format!("client-open/{client}/{deployment}/")
}

/// Key of the row of an open job whose client's number of open jobs is limited.
pub fn client_open_key(client: &str, deployment: &str, job: &str) -> String {
    format!("client-open/{client}/{deployment}/{job}")
}

/// Key of the row that every acceptance of a job under such a limit changes, so that two of them
/// cannot count the same open jobs.
pub fn client_jobs_key(client: &str, deployment: &str) -> String {
    format!("client-jobs/{client}/{deployment}")
}

/// The job of a row of an open job.
pub fn open_id(key: &str) -> Option<&str> {
    key.rsplit('/').next()
}

/// Common start of the rows of a job's chunks.
pub fn chunk_prefix(job: &str) -> String {
    format!("chunk/{job}/")
}

/// Key of a chunk's row.
pub fn chunk_key(job: &str, chunk: u32) -> String {
    format!("chunk/{job}/{chunk:08}")
}

/// Key of the object with a part of a job's input.
pub fn input_key(job: &str, part: usize) -> String {
    format!("jobs/{job}/input/{part:06}")
}

/// Key of the object with the results of a chunk.
pub fn result_key(job: &str, chunk: u32, fence: u64) -> String {
    format!("jobs/{job}/results/{chunk:08}-{fence}")
}

/// Row of a client's job key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Job.
    pub job: String,
    /// Digest of deployment and input.
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
    /// Cancelled.
    Cancelled,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Client that pays.
    pub client: String,
    /// Deployment.
    pub deployment: String,
    /// Number of items.
    pub items: u32,
    /// Items of a chunk.
    pub chunk_items: u32,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
    /// State.
    pub state: State,
    /// Number of chunks, with those that were split off.
    pub chunks: u32,
    /// Next chunk that was never claimed.
    pub next: u32,
    /// Chunks that were handed back and wait to be claimed again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<u32>,
    /// Chunks that are done.
    pub done: u32,
    /// Items with an answer.
    pub succeeded: u32,
    /// Items that ended as failed.
    pub failed: u32,
    /// Whether it counts towards a limit of open jobs, in a row of its own while it is open.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub limited: bool,
}

impl Job {
    /// Keys of the rows that the job has while it is open.
    pub fn open_keys(&self, id: &str) -> Vec<String> {
        let mut keys = vec![open_key(&self.deployment, self.due_unix_ms, id)];
        if self.limited {
            keys.push(client_open_key(&self.client, &self.deployment, id));
        }
        keys
    }

    /// Chunks into which the job was cut at acceptance.
    pub const fn base_chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items)
    }

    /// Items of a chunk that was cut at acceptance.
    pub fn items_of(&self, chunk: u32) -> Vec<u32> {
        let first = chunk * self.chunk_items;
        (first..self.items.min(first + self.chunk_items)).collect()
    }

    /// Whether a chunk can be claimed without a takeover.
    pub fn claimable(&self) -> bool {
        self.state == State::Open && (!self.returned.is_empty() || self.next < self.base_chunks())
    }
}

/// State of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkState {
    /// A holder works on it.
    Held,
    /// Handed back.
    Returned,
    /// Its results are committed.
    Done,
}

/// Row of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Daemon that works on it.
    pub holder: String,
    /// Process of the holder.
    pub epoch: u64,
    /// Fencing token, raised with each change of holder.
    pub fence: u64,
    /// Claims and takeovers so far.
    pub claims: u32,
    /// State.
    pub state: ChunkState,
    /// Item that runs in isolation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u32>,
    /// Attempts charged to items.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<u32, u32>,
    /// Object with the results.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Items, when they differ from those of the cut at acceptance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub items: Option<Vec<u32>>,
    /// Chunk to which unfinished items were split off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub split: Option<u32>,
}
