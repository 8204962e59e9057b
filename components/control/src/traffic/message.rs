//! Inputs, actions and settings of the traffic state machine.

use std::{sync::Arc, time::Duration};

use cyclamengrade_configuration::Document;

use crate::{
    fleet::{UpstreamKey, Vm},
    time::Time,
};

/// Id of an online request, unique within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of an attempt, unique within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An online request before admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    /// Name of the client.
    pub client: String,
    /// Name of the deployment that the request addresses.
    pub deployment: String,
    /// Hash of the prompt prefix; zero when there is none.
    pub prefix: u64,
    /// Time at which the caller stops waiting.
    pub deadline: Option<Time>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// An attempt that is to be sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    pub id: AttemptId,
    pub upstream: UpstreamKey,
    /// Time without progress after which the attempt counts as silent; its stream is then resumed
    /// on a fresh connection.
    pub silence_timeout: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Done,
    /// The attempt is known not to have run.
    NotRun,
    /// The attempt ran and failed, or its answer was cut off.
    Failed,
    /// It is not known whether the attempt ran.
    Unknown,
    /// This daemon cancelled the attempt.
    Cancelled,
}

/// Load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are being processed.
    pub running: u32,
    /// Requests in the queue of the upstream.
    pub queued: u32,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Age of the report on arrival, in milliseconds.
    pub age_ms: u32,
    /// Whether the upstream announces that it is shutting down.
    pub leaving: bool,
    /// Whether the upstream serves the version that its deployment specifies.
    pub ready: bool,
}

/// Request rate that one daemon sees from one client at one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Name of the client.
    pub client: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Smoothed rate.
    pub requests_per_s: f64,
}

/// Reason for which a request ends without an answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The client exceeds its rate or concurrency limit.
    Limited,
    /// The queue is full, or the request would not be served before its deadline.
    Overloaded,
    /// No upstream is in service.
    Unavailable,
    /// The deadline passed, and the request is known not to have run or may safely run again.
    Expired,
    /// All attempts failed and no further retry is allowed.
    GivenUp,
    /// The result of a non-idempotent request is not known, so it is not retried.
    OutcomeUnknown,
}

/// Event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived and needs admission.
    Arrived(Request),
    /// The first token or byte of an attempt arrived.
    FirstToken { attempt: AttemptId },
    /// Merged samples of the tokens since the last input of this kind for the attempt.
    Tokens {
        attempt: AttemptId,
        count: u32,
        /// Time over which the tokens arrived.
        elapsed: Duration,
        /// Longest gap between two of the tokens.
        longest_gap: Duration,
    },
    /// An attempt made no progress within its silence timeout.
    Silent { attempt: AttemptId },
    /// An attempt ended.
    Ended {
        attempt: AttemptId,
        outcome: Outcome,
        /// Whether part of the answer has reached the caller.
        delivered: bool,
    },
    /// The caller disconnected.
    Abandoned { request: RequestId },
    /// An upstream reported its load.
    Load { upstream: String, load: Load },
    /// An upstream announced that it has a prompt prefix in its cache.
    Cached {
        upstream: String,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Another daemon reported its online requests in flight at an upstream.
    OnlineNotice {
        /// Name of the other daemon.
        from: String,
        upstream: String,
        in_flight: u32,
    },
    /// A batch stream was opened at an upstream.
    BatchStarted { upstream: String },
    /// A batch stream ended.
    BatchEnded {
        upstream: String,
        outcome: Outcome,
        /// Time to first token; `None` when no token arrived.
        first_token: Option<Duration>,
        /// Mean time between tokens; `None` when fewer than two arrived.
        between_tokens: Option<Duration>,
    },
    Fleet {
        /// Vms that serve as upstreams.
        vms: Arc<Vec<Vm>>,
        document: Arc<Document>,
    },
    /// The set of live daemons or their demand changed.
    Members {
        /// Names of the live daemons, including this one.
        names: Vec<String>,
        demand: Vec<Demand>,
    },
    /// Time passed. Sent every 5 ms while requests wait, and every 100 ms otherwise.
    Tick,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream. A second attempt while one is in flight is a hedge or a
    /// probe.
    Dispatch(Attempt),
    /// Cancel an attempt. No `Input::Ended` is expected for it.
    Cancel {
        attempt: AttemptId,
        /// Request to which the attempt belongs.
        request: RequestId,
    },
    Refuse {
        request: RequestId,
        refusal: Refusal,
        /// Whether the request is known not to have run.
        not_run: bool,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Change the number of batch streams that this daemon may hold open at an upstream. The newest
    /// streams above the limit are paused immediately.
    BatchLimit {
        upstream: String,
        deployment: String,
        /// New limit.
        streams: u32,
    },
    /// Notify the batch dispatcher of an upstream of the online requests that this daemon has in
    /// flight there.
    Notify { dispatcher: String, upstream: String, in_flight: u32 },
}

/// Settings of the traffic state machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub daemon: String,
    pub data_centre: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of upstreams of a deployment among which this daemon selects; all when there are
    /// fewer.
    pub subset: usize,
    /// Capacity of the queue of each deployment, in requests.
    pub queue: usize,
    /// Retries, hedges and probes that are allowed per successful request.
    pub retry_share: f64,
    /// Whether to use the naive policy: round robin, first come first served, fixed batch
    /// concurrency and retries without a budget.
    pub naive: bool,
}
