//! Inputs, actions and settings of the batch dispatcher.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    job::row::{chunk_key, result_key},
    store::{Call, CallId, Reply},
    time::Time,
};

/// Settings of the batch dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Time between two polls; each poll lists the open jobs of at most one deployment.
    pub poll_period: Duration,
    /// Maximum number of open jobs in one page of a listing.
    pub page_size: usize,
    /// Number of attempts after which an item ends as failed.
    pub item_attempts: u32,
    /// Size in bytes of uncommitted results from which no item starts and no chunk is claimed.
    pub max_result_bytes: u64,
    /// Lease length assumed for a daemon that has no lease row.
    pub lease: Duration,
    /// Additional time after which the lease of another daemon counts as expired.
    pub margin: Duration,
    /// Time before the due time of a job from which it is claimed first, regardless of the fair
    /// share of its client.
    pub urgent_window: Duration,
}

/// Identifier of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// Identifier of the job.
    pub job: String,
    /// Number of the chunk within the job.
    pub number: u32,
}

impl ChunkId {
    /// Returns the key of the chunk's row.
    pub fn key(&self) -> String {
        chunk_key(&self.job, self.number)
    }

    /// Returns the key of the object that holds the results committed under a fencing number.
    pub fn object(&self, fence: u64) -> String {
        result_key(&self.job, self.number, fence)
    }
}

/// Number of a run, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An execution of an item at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub id: RunId,
    /// Identifier of the job.
    pub job: String,
    /// Index of the item in the job's input.
    pub item: u32,
    pub deployment: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Whether the text received by earlier runs is discarded instead of resumed.
    pub discard_text: bool,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream returned a complete answer of this many bytes.
    Answered(u64),
    /// The upstream rejected the item permanently, with a reason of this many bytes.
    Rejected(u64),
    /// The item was certainly not executed; no attempt is charged.
    NotRun,
    /// The upstream executed the item and answered with an error; an attempt is charged.
    Failed,
    /// The connection broke off or fell silent, as it does when the upstream crashes; an attempt is
    /// charged.
    Interrupted,
}

/// Input of the batch dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; sent every 100 ms.
    Tick {
        /// Wall-clock time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// This daemon's lease was acquired or renewed.
    Lease {
        /// Number of the process among those that ran under this name.
        epoch: u64,
        /// Time at which the lease ends.
        until: Time,
    },
    /// This daemon's lease cannot be renewed because the table is down.
    LeaseFailing,
    /// Another process with this daemon's name has started.
    Superseded,
    /// Limit of the batch streams that this daemon may hold open at an upstream.
    Limit {
        /// Name of the upstream.
        upstream: String,
        /// Deployment of the upstream.
        deployment: String,
        /// Maximum number of streams.
        streams: u32,
    },
    /// Weights of the clients; a client without an entry has a weight of 1.
    Weights(BTreeMap<String, u32>),
    /// The table answered a call.
    Reply {
        call: CallId,
        /// Time at which the call was sent.
        sent: Time,
        reply: Reply,
    },
    /// Result of [`Action::Load`].
    Loaded {
        chunk: ChunkId,
        /// Items that are missing in the stored input; `None` when the object store is down.
        missing: Option<Vec<u32>>,
    },
    /// Result of [`Action::Store`].
    Stored {
        chunk: ChunkId,
        /// Whether the object exists now.
        ok: bool,
    },
    /// A run has ended.
    Ended { run: RunId, outcome: Outcome },
    /// The upstream of a run that was stopped did not accept the cancellation, because it has
    /// crashed.
    StoppedAtCrash {
        /// Identifier of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// Whether the item ran without other batch items at the upstream.
        alone: bool,
    },
    /// A job was accepted or cancelled, here or at another daemon.
    Notice {
        /// Identifier of the job.
        job: String,
    },
    /// Start a graceful shutdown: claim no more chunks and start no more items.
    Drain {
        /// Time at which the remaining runs are stopped and their items are returned.
        until: Time,
    },
}

/// Action requested by the batch dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and send [`Input::Reply`].
    Call { call: CallId, request: Call },
    /// Read items of the job's input and send [`Input::Loaded`].
    Load {
        chunk: ChunkId,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// Run an item and send [`Input::Ended`].
    Start(Run),
    /// Cancel the stream of a run; no [`Input::Ended`] is expected for it.
    Stop {
        run: RunId,
        /// Whether a later run resumes from the text received so far.
        keep_text: bool,
        /// Whether the item ran without other batch items at the upstream.
        alone: bool,
    },
    /// Record that an item has failed without a further run.
    Fail {
        /// Identifier of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// Reason that the caller finds in the result of the item.
        reason: &'static str,
    },
    /// Write the results of these items in this order as one object and send [`Input::Stored`].
    Store {
        chunk: ChunkId,
        /// Key of the object.
        key: String,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// Discard the input, the received text and the results of items.
    Discard {
        /// Identifier of the job.
        job: String,
        /// Indices of the items.
        items: Vec<u32>,
    },
    /// The graceful shutdown is complete: all results are committed and all other items returned.
    Drained,
    /// Report an event; for logs and metrics only.
    Event(Event),
}

/// Change of a chunk or a job that is reported in logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This daemon claimed a chunk.
    Claimed {
        chunk: ChunkId,
        /// Fencing number of the chunk.
        fence: u64,
    },
    /// This daemon took over a chunk.
    TakenOver {
        chunk: ChunkId,
        /// Fencing number of the chunk.
        fence: u64,
        /// Daemon that held the chunk before.
        holder: String,
    },
    /// The results of a chunk were committed.
    Committed {
        chunk: ChunkId,
        deployment: String,
        /// Number of items with an answer.
        succeeded: u32,
        /// Number of items that ended as failed.
        failed: u32,
    },
    /// This daemon dropped a chunk that another daemon has taken over or whose job has ended.
    Lost { chunk: ChunkId },
    /// The last results of a job were committed.
    Completed {
        /// Identifier of the job.
        job: String,
        /// Number of items with an answer.
        succeeded: u32,
        /// Number of items that ended as failed.
        failed: u32,
    },
}
