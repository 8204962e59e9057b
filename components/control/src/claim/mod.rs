//! At-most-once execution of non-idempotent requests.
//!
//! A daemon claims a client's idempotency key by writing a row before it dispatches the request,
//! and records the outcome in that row. Claims and outcomes that arrive while a transaction is in
//! flight are batched into the next one.

mod entry;
mod machine;
mod resolve;

use serde::{Deserialize, Serialize};

pub use self::machine::Claims;
use crate::{
    store::{Call, CallId, Reply},
    time::Time,
};
use std::time::Duration;

/// Returns the row key of a client's claim.
pub fn key(client: &str, key: &str) -> String {
    format!("claim/{client}/{key}")
}

/// Content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Daemon that runs the request.
    pub holder: String,
    /// Epoch of the holder's process.
    pub epoch: u64,
    /// Number of the attempt within that process, by which the process recognises its own write.
    pub attempt: u64,
    pub state: State,
    /// Digest of the request.
    pub digest: String,
    /// Answer of the request; present only in the state `Done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Answer>,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may run.
    Running,
    /// The request ran and has an answer.
    Done,
    /// The request may have run; it never runs again.
    Unknown,
}

/// Answer of a request, as recorded in the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    pub body: Body,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Other bytes as hexadecimal digits.
    Hex(String),
    /// Key of the object that holds a body too large for a row.
    Object(String),
}

/// Identifies a request that asks for a claim, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Parameters of the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Length of a lease.
    pub lease: Duration,
    /// Additional time before another daemon's lease is considered expired.
    pub margin: Duration,
    /// Time after which a request that waits for a claim is refused.
    pub timeout: Duration,
}

/// Event that the state machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request asks for a claim.
    Begin {
        /// Identifies the request in the answer.
        id: RequestId,
        /// Key of the row.
        key: String,
        /// Digest of the request; the same key with another digest is a conflict.
        digest: String,
    },
    /// A request that was allowed to run has ended.
    Finish {
        /// Key of the row.
        key: String,
        outcome: Outcome,
    },
    /// A call has been answered.
    Reply {
        /// The answered call.
        call: CallId,
        /// Time at which the call was sent.
        sent: Time,
        reply: Reply,
    },
    /// This daemon has acquired or renewed its lease.
    Lease {
        /// Epoch of this process.
        epoch: u64,
        /// End of the lease.
        until: Time,
    },
    /// Another process has taken over this daemon's name; the lease cannot be regained.
    Superseded,
    /// Time has passed; sent every 100 ms.
    Tick,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and got this answer.
    Done(Answer),
    /// It certainly did not run; the row is deleted and the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and pass the result back as `Input::Reply`.
    Call {
        /// Identifies the call in the reply.
        call: CallId,
        /// Call to make.
        request: Call,
    },
    /// Tell a request whether it may run.
    Answer {
        /// The request as passed in `Input::Begin`.
        id: RequestId,
        /// Whether it may run, and if not, why.
        decision: Decision,
    },
    /// The claim of a dead holder has been marked as `outcome_unknown`; for logs and metrics only.
    MarkedUnknown {
        /// Key of the row.
        key: String,
    },
    /// The outcome of a request has been recorded in the table, or need not be recorded any more.
    Recorded {
        /// Key of the row.
        key: String,
    },
}

/// Decision on a request that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be dispatched once, before this time.
    Run {
        /// End of this daemon's lease.
        until: Time,
    },
    /// An earlier request with this key has ended with this answer.
    Done(Answer),
    /// Another request with this key is running.
    InProgress,
    /// An earlier request with this key may have run; it never runs again.
    OutcomeUnknown,
    /// The key has already been used for a request with another digest.
    Conflict,
    /// The table is unavailable or this daemon holds no lease; the request did not run.
    Refused,
}
