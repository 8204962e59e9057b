//! At-most-once execution of non-idempotent requests.
//!
//! A row is written before a request is dispatched, and its result is recorded in the row. Claims
//! and results that come up while a transaction is in flight go into the next one together.

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

/// Key of the row of a claim.
pub fn key(client: &str, key: &str) -> String {
    format!("claim/{client}/{key}")
}

/// Row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Daemon that runs the request.
    pub holder: String,
    /// Process of the holder.
    pub epoch: u64,
    /// Number of the attempt to claim within that process, by which it recognises its own write.
    pub attempt: u64,
    /// State.
    pub state: State,
    /// Digest of the request.
    pub digest: String,
    /// Answer, once there is one.
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
    /// Whether the request ran is not known, and it never runs again.
    Unknown,
}

/// Recorded answer of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Body.
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
    /// Key of an object with a body that is too large for a row.
    Object(String),
}

/// Number of a request that asks for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Parameters of the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Length of a lease.
    pub lease: Duration,
    /// Additional time before another daemon's lease counts as ended.
    pub margin: Duration,
    /// Time after which a request that has no claim is refused.
    pub timeout: Duration,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request asks for a claim.
    Begin {
        /// Number of the request.
        id: RequestId,
        /// Key of the row.
        key: String,
        /// Digest of the request.
        digest: String,
    },
    /// A request that may run has ended.
    Finish {
        /// Key of the row.
        key: String,
        /// How it ended.
        outcome: Outcome,
    },
    /// A call was answered.
    Reply {
        /// The call.
        call: CallId,
        /// When it was sent.
        sent: Time,
        /// The reply.
        reply: Reply,
    },
    /// The own lease was acquired or renewed.
    Lease {
        /// Number of the process.
        epoch: u64,
        /// End of the lease.
        until: Time,
    },
    /// The own lease is lost for good.
    Superseded,
    /// Time passed; sent every 100 ms.
    Tick,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With this answer.
    Done(Answer),
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
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
    /// Tell a request whether it may run.
    Answer {
        /// Number of the request.
        id: RequestId,
        /// The answer.
        begun: Begun,
    },
    /// A claim whose holder is gone ended as `outcome_unknown`; for logs and metrics only.
    MarkedUnknown {
        /// Key of the row.
        key: String,
    },
    /// The outcome of a request is in the table, or nobody needs it there any more.
    Recorded {
        /// Key of the row.
        key: String,
    },
}

/// Answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begun {
    /// The request may be dispatched before this time, once.
    Run {
        /// End of the lease.
        until: Time,
    },
    /// An earlier request with this key ended with this answer.
    Done(Answer),
    /// Another request with this key is running.
    InProgress,
    /// An earlier request with this key may have run; it never runs again.
    OutcomeUnknown,
    /// The key was used for another request.
    Conflict,
    /// The table is down or the lease lapsed; the request did not run.
    Refused,
}
