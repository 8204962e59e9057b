//! The answer, as a relay states it.

use serde::{Deserialize, Serialize};

/// What a relay would do with a request now, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Answer {
    /// Name of the relay.
    pub relay: String,
    /// Version of the configuration in force; 0 before one was read.
    pub configuration: u64,
    /// Whether the load balancer sends new connections to this relay.
    pub is_ready: bool,
    /// Whether revocation of keys is strict, and the age of the configuration.
    pub evidence: Evidence,
    pub outcome: Outcome,
    pub route: Option<Route>,
    /// Call about a submitted job, if the request is one.
    pub job: Option<Job>,
    pub caller: Option<Caller>,
    /// Quota of the account.
    pub quota: Option<Quota>,
    pub charge: Option<Charge>,
    /// What is known of the submission of a batch job.
    pub batch: Option<Batch>,
    /// Deployments that the route may use.
    pub deployments: Vec<Deployment>,
}

/// What would happen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Outcome {
    /// It is not known.
    #[default]
    Unknown,
    /// The request would be sent to one of these upstreams at once, one for each shard.
    Sent { upstreams: Vec<String>, stopped_items: usize },
    /// The request would wait for a slot.
    Queued { wait_ms: u64, ahead: usize },
    /// Another relay, a broker, would decide.
    Asked { broker: String },
    /// The job would be stored.
    Stored { owner: String },
    /// The relay would answer the call itself.
    Answered { text: String },
    /// The request would be refused, and would not run.
    Refused { status: u16, reason: String, retry_after_ms: Option<u64> },
}

/// How certain it is that the configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evidence {
    /// Age of the evidence; `None` without any.
    pub age_ms: Option<u64>,
    /// Age from which keys are not served; `None` if revocation is not strict.
    pub limit_ms: Option<u64>,
}

/// Route of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: String,
    pub is_public: bool,
    pub priority: u32,
    pub objective_ms: u64,
    pub timeout_ms: u64,
}

/// Submitted job that a call is about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    pub id: String,
    /// Whether this relay has read the row of the job.
    pub is_known: bool,
    /// Relay that runs the job.
    pub owner: Option<String>,
}

/// Who sends the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Caller {
    /// Whether the configuration has accounts.
    pub has_accounts: bool,
    /// Whether the question brought a key.
    pub has_key: bool,
    pub account: Option<String>,
}

/// Quota of an account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quota {
    pub rate_per_s: f64,
    pub burst: f64,
    /// Relay that keeps the tokens; `None` if this relay hears of no other one.
    pub owner: Option<String>,
    /// Whether it is the relay that answers.
    pub is_own: bool,
    /// Tokens that the owner has, or that it stated last.
    pub level: Option<f64>,
    /// Time since the owner stated the level.
    pub level_age_ms: Option<u64>,
}

/// Whom the slot is charged to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Charge {
    pub account: Option<String>,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Stated cost in tokens; 0 if not stated.
    pub tokens: u32,
}

/// Submission of a batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Batch {
    /// Tokens of open jobs that count towards the limit.
    pub waiting: u64,
    /// Tokens of jobs that this relay is storing.
    pub reserved: u64,
    pub limit: Option<u64>,
    /// Time since the store confirmed the jobs.
    pub age_ms: u64,
    /// Time since the store last answered.
    pub store_age_ms: u64,
    /// Time from the acceptance of the job until its items are due.
    pub completion_ms: u64,
}

/// A deployment that may serve the request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deployment {
    pub name: String,
    /// Share of the requests of the route, relative to the other deployments.
    pub weight: u32,
    /// Time within which an online request has to be sent.
    pub start_within_ms: u64,
    pub shards: Vec<Shard>,
    pub candidates: Vec<Candidate>,
}

/// A part of the upstreams of a deployment, with one broker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Shard {
    pub id: u32,
    /// Relay that grants the slots.
    pub broker: String,
    /// Address of its messages.
    pub broker_address: String,
    /// Whether it is the relay that answers.
    pub is_own: bool,
    /// Load in thousandths of the slots; of another broker, as it stated last.
    pub load_permille: Option<u32>,
    /// Expected wait of a further request, of the same time.
    pub load_wait_ms: Option<u64>,
    /// Online requests that wait.
    pub waiting: Option<usize>,
    /// Upstream that suits the request best, by this relay as the broker. If the request is refused for another
    /// reason, it would get it otherwise.
    pub best: Option<String>,
    /// Batch items that wait.
    pub waiting_items: Option<usize>,
    /// Slots that batch items hold.
    pub held_by_items: Option<u32>,
    /// Whether items wait because the broker has begun only now.
    pub is_learning: Option<bool>,
    /// Whether the account holds more than an equal share of those.
    pub is_above_share: Option<bool>,
}

/// An upstream that may run the request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Candidate {
    pub id: String,
    pub address: String,
    pub data_centre: String,
    pub version: String,
    pub shard: u32,
    pub slots: u32,
    /// Slots that online requests of all relays hold; only the broker knows.
    pub online: Option<u32>,
    /// Slots that batch items of all relays hold; only the broker knows.
    pub batch: Option<u32>,
    /// Requests of the relay that answers.
    pub own: u32,
    /// Further requests that its pace allows; `None` if it is not limited, or not known.
    pub pace: Option<u32>,
    /// Time between its events relative to the others at equal load.
    pub slowness: Option<f64>,
    /// Whether it suits the request best.
    pub is_best: bool,
    /// Whether it may be used at all.
    pub is_usable: bool,
    /// Why it does not get the request.
    pub passed_over: Option<String>,
}
