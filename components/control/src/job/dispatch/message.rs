//! Inputs, actions and parameters of the batch work.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    job::row::{chunk_key, result_key},
    store::{Call, CallId, Reply},
    time::Time,
};

/// Parameters of the batch work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Time between two reads of the open jobs.
    pub poll: Duration,
    /// Open jobs in one page.
    pub page: usize,
    /// Attempts of an item before it ends as failed.
    pub item_attempts: u32,
    /// Results that may wait to be committed, in bytes; above it no item starts.
    pub memory_bytes: u64,
    /// Length of a lease.
    pub lease: Duration,
    /// Additional time before another daemon's lease counts as ended.
    pub margin: Duration,
    /// Time before it is due from which a job precedes jobs with a later due time, whatever its
    /// client has received.
    pub urgent: Duration,
}

/// Identifies a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// Job.
    pub job: String,
    /// Number within the job.
    pub number: u32,
}

impl ChunkId {
    /// Key of the chunk's row.
    pub fn key(&self) -> String {
        chunk_key(&self.job, self.number)
    }

    /// Key of the object with the chunk's results under a fencing token.
    pub fn object(&self, fence: u64) -> String {
        result_key(&self.job, self.number, fence)
    }
}

/// Number of a run of an item within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// One run of an item at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number.
    pub id: RunId,
    /// Job.
    pub job: String,
    /// Index of the item in the job's input.
    pub item: u32,
    /// Deployment.
    pub deployment: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Whether text that earlier runs received is discarded instead of resumed.
    pub fresh: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer of this many bytes.
    Answered(u64),
    /// The upstream refused the item for good; the reason has this many bytes.
    Rejected(u64),
    /// The item certainly did not run.
    NotRun,
    /// The item ran and failed, or was cut off.
    Failed,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; sent every 100 ms.
    Tick {
        /// Wall-clock time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// The own lease was acquired or renewed.
    Lease {
        /// Number of the process.
        epoch: u64,
        /// End of the lease.
        until: Time,
    },
    /// The own lease cannot be renewed because the table is down.
    LeaseFailing,
    /// Another process with this daemon's name has started.
    Superseded,
    /// Batch streams that this daemon may hold open at an upstream.
    Limit {
        /// Name of the upstream.
        upstream: String,
        /// Deployment of the upstream.
        deployment: String,
        /// Streams.
        streams: u32,
    },
    /// Weights of the clients.
    Weights(BTreeMap<String, u32>),
    /// A call was answered.
    Reply {
        /// The call.
        call: CallId,
        /// When it was sent.
        sent: Time,
        /// The reply.
        reply: Reply,
    },
    /// Answer to `Action::Load`.
    Loaded {
        /// The chunk.
        chunk: ChunkId,
        /// Items that the input does not contain; `None` when the object store is down.
        missing: Option<Vec<u32>>,
    },
    /// Answer to `Action::Store`.
    Stored {
        /// The chunk.
        chunk: ChunkId,
        /// Whether the object exists now.
        ok: bool,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: End,
    },
    /// Another part of the system says that a job was accepted or cancelled.
    Notice {
        /// Identifier of the job.
        job: String,
    },
    /// Claim no more; items may run until this time, then the rest is handed back.
    Drain {
        /// End of the running items.
        until: Time,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and send `Reply`.
    Call {
        /// Number of the call.
        call: CallId,
        /// The call.
        request: Call,
    },
    /// Read items of the input and send `Loaded`.
    Load {
        /// The chunk.
        chunk: ChunkId,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// Run an item and send `Ended`.
    Start(Run),
    /// Cancel the stream of a run; no `Ended` is expected for it.
    Stop {
        /// The run.
        run: RunId,
        /// Whether to keep the received text for a later run.
        keep: bool,
    },
    /// Record that an item failed without a run of its own.
    Fail {
        /// Job.
        job: String,
        /// Index of the item.
        item: u32,
        /// Reason for the caller.
        reason: &'static str,
    },
    /// Write the results of these items in this order as one object and send `Stored`.
    Store {
        /// The chunk.
        chunk: ChunkId,
        /// Key of the object.
        key: String,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// Drop input, text and results of items.
    Forget {
        /// Job.
        job: String,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// All work is committed or handed back.
    Drained,
    /// A transaction took effect or was lost; for logs and metrics only.
    Note(Note),
}

/// What happened to a chunk or a job, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// This daemon claimed a chunk.
    Claimed {
        /// The chunk.
        chunk: ChunkId,
        /// Its fencing token.
        fence: u64,
    },
    /// This daemon took over a chunk.
    TakenOver {
        /// The chunk.
        chunk: ChunkId,
        /// Its fencing token.
        fence: u64,
        /// Daemon that held it before.
        holder: String,
    },
    /// Results of a chunk are in the table.
    Committed {
        /// The chunk.
        chunk: ChunkId,
        /// Deployment of the job.
        deployment: String,
        /// Items with an answer.
        succeeded: u32,
        /// Items that ended as failed.
        failed: u32,
    },
    /// This daemon gave up a chunk that another daemon holds or whose job has ended.
    Lost {
        /// The chunk.
        chunk: ChunkId,
    },
    /// Every item of a job has a result.
    Completed {
        /// The job.
        job: String,
        /// Items with an answer.
        succeeded: u32,
        /// Items that ended as failed.
        failed: u32,
    },
}
