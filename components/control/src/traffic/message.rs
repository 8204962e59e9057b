//! Inputs and actions of the traffic decisions.

use std::{sync::Arc, time::Duration};

use cyclamengrade_configuration::Document;

use crate::{
    fleet::{UpstreamKey, Vm},
    time::Time,
};

/// Number of an online request within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of an attempt of a request within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An online request that asks to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number of the request.
    pub id: RequestId,
    /// Client account.
    pub client: String,
    /// Deployment that it addresses.
    pub deployment: String,
    /// Hash of the prompt's first part; zero when there is none.
    pub prefix: u64,
    /// When the caller stops waiting.
    pub deadline: Option<Time>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Request that it serves.
    pub request: RequestId,
    /// Number of the attempt.
    pub id: AttemptId,
    /// Upstream that gets it.
    pub upstream: UpstreamKey,
    /// The attempt without progress for this long is silent: open a fresh connection and resume.
    pub silence: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done,
    /// The attempt certainly did not run.
    NotRun,
    /// The attempt ran and failed, or was cut off.
    Failed,
    /// Whether the attempt ran is not known.
    Unknown,
    /// This daemon cancelled the attempt.
    Cancelled,
}

/// Load as an upstream reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait in the upstream.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Age of the report when it arrived, in milliseconds.
    pub age_ms: u32,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
    /// Whether the upstream has the version that its deployment wants.
    pub ready: bool,
}

/// Requests a second that one daemon sees from one client at one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Client account.
    pub client: String,
    /// Deployment.
    pub deployment: String,
    /// Requests a second, smoothed.
    pub requests_per_s: f64,
}

/// Why a request ends without an answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The client is over its rate or concurrency.
    Limited,
    /// Queue or upstreams are full.
    Overloaded,
    /// No upstream is in service.
    Unavailable,
    /// The deadline has passed.
    Expired,
    /// Attempts failed and no retry is allowed.
    GivenUp,
    /// The result of a non-idempotent request is not known.
    OutcomeUnknown,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request asks to be admitted.
    Arrived(Request),
    /// The first token or byte of an attempt arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Merged samples of the tokens since the last report of this attempt.
    Tokens {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens.
        count: u32,
        /// Time over which they arrived.
        elapsed: Duration,
        /// Longest gap between two of them.
        longest_gap: Duration,
    },
    /// An attempt made no progress for the time that its action gave.
    Silent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Whether a part of the answer has reached the caller.
        delivered: bool,
    },
    /// The caller went away.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// An upstream reported its load.
    Load {
        /// Name of the upstream.
        upstream: String,
        /// The report.
        load: Load,
    },
    /// An upstream announced that it has a prompt prefix in its cache.
    Cached {
        /// Name of the upstream.
        upstream: String,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Another daemon has this many online requests in flight at an upstream.
    OnlineNotice {
        /// Name of the other daemon.
        from: String,
        /// Name of the upstream.
        upstream: String,
        /// Requests in flight.
        in_flight: u32,
    },
    /// A batch stream was opened at an upstream.
    BatchStarted {
        /// Name of the upstream.
        upstream: String,
    },
    /// A batch stream ended.
    BatchEnded {
        /// Name of the upstream.
        upstream: String,
        /// How it ended.
        outcome: Outcome,
        /// Time to the first token, when there was one.
        first_token: Option<Duration>,
        /// Mean time between tokens, when there were two.
        between_tokens: Option<Duration>,
    },
    /// The configuration or the list of vms changed.
    Fleet {
        /// Vms that serve as upstreams.
        vms: Arc<Vec<Vm>>,
        /// Configuration in force.
        document: Arc<Document>,
    },
    /// The set of live daemons changed, this one included.
    Members {
        /// Names of the live daemons.
        names: Vec<String>,
        /// Demand that the other daemons reported.
        demand: Vec<Demand>,
    },
    /// Time passed; sent every 5 ms while requests wait and every 100 ms otherwise.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream. A second attempt while one runs is a hedge.
    Dispatch(Attempt),
    /// Cancel an attempt; no `Ended` is expected for it.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Request that it serves.
        request: RequestId,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason.
        refusal: Refusal,
        /// Whether the request certainly did not run.
        not_run: bool,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Number of batch streams that this daemon may hold open at an upstream; newest streams over
    /// the number are paused at once.
    BatchLimit {
        /// Name of the upstream.
        upstream: String,
        /// Deployment of the upstream.
        deployment: String,
        /// Streams.
        streams: u32,
    },
    /// Tell the batch dispatcher of an upstream how much online work this daemon has there.
    Notify {
        /// Name of the daemon that dispatches batch work to the upstream.
        dispatcher: String,
        /// Name of the upstream.
        upstream: String,
        /// Requests in flight.
        in_flight: u32,
    },
}

/// Parameters of the traffic decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Data centre of this daemon.
    pub data_centre: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Upstreams of a deployment that this daemon considers; all when there are fewer.
    pub subset: usize,
    /// Requests that may wait for an upstream in one deployment.
    pub queue: usize,
    /// Share of successes that may be spent on retries and hedges.
    pub retry_share: f64,
    /// Uses round robin, first come first served, fixed batch concurrency and unlimited retries.
    pub naive: bool,
}
