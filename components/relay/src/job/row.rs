//! Values of the rows that relays write to the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use cyclamengrade_control::relay::{account::Caller, job};
use serde::{Deserialize, Serialize};

/// Largest id of an event whose text is continued: the largest integer that every writer of JSON
/// represents exactly.
const MAX_EVENT_ID: u64 = (1 << 53) - 1;

/// Row of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for messages about slots.
    pub address: SocketAddr,
    /// Random number that identifies this start of the relay.
    pub incarnation: u64,
    /// Processor time that the relay may use, in thousandths of a core. Larger vms serve as brokers
    /// and monitors.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// When the relay joined, on the store's clock in milliseconds.
    #[serde(default)]
    pub joined_ms: u64,
    /// Whether it answers roll calls, which builds before them do not.
    #[serde(default)]
    pub answers_calls: bool,
}

/// Row of a roll call. Its version identifies the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollCall {
    /// Name of the relay that asks.
    pub by: String,
}

const fn default_capacity() -> u32 {
    1_000
}

/// Owner of a job: one start of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the relay.
    pub name: String,
    /// Random number that identifies this start of the relay.
    pub incarnation: u64,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Items are waiting or running.
    Open,
    /// Every item has a result.
    Done,
    /// The caller has ended the job.
    Ended,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Host of the submission. Selects the route together with `path`.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// Number of items.
    pub items: usize,
    /// Tokens of the items that count towards the limit of the route: those of all items, or of the
    /// unfinished ones while the route is near its limit.
    #[serde(default)]
    pub tokens: u64,
    /// Time of acceptance, in milliseconds on the store's clock.
    pub accepted_ms: u64,
    /// Time when the results are due, in milliseconds on the store's clock.
    pub due_ms: u64,
    /// Time from which waiting items are abandoned, in milliseconds on the store's clock.
    pub expires_ms: u64,
    pub state: State,
    /// Owner of the job; `None` after its last owner has handed it over.
    pub owner: Option<Owner>,
    /// Version of the configuration that had the route of the job when it was accepted. Zero after a
    /// relay of a build without this field has written the row.
    #[serde(default)]
    pub configuration: u64,
    /// Name of the account whose key the job was submitted with; `None` without a known key, and after a
    /// relay of a build without this field has written the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Whether the job was submitted without a known key on a public route, so that calls about it need
    /// none.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

impl Job {
    /// Whether this start of a relay owns the job.
    pub fn is_owned_by(&self, owner: &Owner) -> bool {
        self.owner.as_ref() == Some(owner)
    }

    /// Whether a caller may read and end the job.
    pub fn admits(&self, caller: &Caller) -> bool {
        match (caller, &self.account) {
            _ if self.public => true,
            (Caller::Unchecked, _) | (Caller::Holder { .. }, None) => true,
            (Caller::Holder { account, .. }, Some(name)) => account.name == *name,
            (Caller::Anonymous, _) => false,
        }
    }

    /// Returns the row after a takeover by `by`, or `None` if the job is not open or `from` is no
    /// longer its owner.
    pub fn taken_over(&self, from: Option<&Owner>, by: &Owner) -> Option<Self> {
        let is_current = self.state == State::Open && self.owner.as_ref() == from;
        is_current.then(|| Self { owner: Some(by.clone()), ..self.clone() })
    }

    /// Returns the row after `owner` handed the job over, or `None` if `owner` does not own it.
    pub fn handed_over(&self, owner: &Owner) -> Option<Self> {
        self.is_owned_by(owner).then(|| Self { owner: None, ..self.clone() })
    }

    /// Returns the row after the caller ended the job, or `None` if it has already ended.
    pub fn ended(&self) -> Option<Self> {
        (self.state != State::Ended).then(|| Self { state: State::Ended, ..self.clone() })
    }

    /// Returns the row with the number of tokens of the unfinished items.
    pub fn with_tokens(&self, tokens: u64) -> Self {
        Self { tokens, ..self.clone() }
    }

    /// Returns the row after every item got its result.
    pub fn done(&self) -> Self {
        Self { state: State::Done, ..self.clone() }
    }
}

/// Row of a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the item.
    pub item: String,
    /// Final state of the item.
    pub state: FinalState,
    /// Text of the result; `None` if it is stored in an object.
    pub text: Option<String>,
    /// Name of the object with the text, if it does not fit into the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalState {
    /// The text is complete.
    Completed,
    /// The item will not be run again.
    Abandoned,
}

impl From<job::FinalState> for FinalState {
    fn from(state: job::FinalState) -> Self {
        match state {
            job::FinalState::Completed => Self::Completed,
            job::FinalState::Abandoned => Self::Abandoned,
        }
    }
}

impl From<FinalState> for job::FinalState {
    fn from(state: FinalState) -> Self {
        match state {
            FinalState::Completed => Self::Completed,
            FinalState::Abandoned => Self::Abandoned,
        }
    }
}

/// Row with the failures of a job's items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Number of failures by position of the item in the job.
    pub counts: BTreeMap<usize, u32>,
}

/// Row with the parts of prompts that are quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// End of the quarantine by part, in milliseconds on the store's clock.
    pub ends_ms: BTreeMap<u64, u64>,
}

impl Quarantine {
    /// Adds parts for `duration` from `now_ms`, and removes those whose quarantine is over. Of more
    /// than `limit` parts, those whose quarantine ends first are dropped.
    pub fn extend(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        now_ms: u64,
        duration: Duration,
        limit: usize,
    ) {
        let end_ms = now_ms.saturating_add(duration.as_millis() as u64);
        self.ends_ms.retain(|_, end_ms| *end_ms > now_ms);
        self.ends_ms.extend(parts.into_iter().map(|part| (part, end_ms)));
        let mut by_end: Vec<(u64, u64)> =
            self.ends_ms.iter().map(|(part, end_ms)| (*end_ms, *part)).collect();
        by_end.sort_unstable();
        for (_, part) in by_end.iter().take(by_end.len().saturating_sub(limit)) {
            self.ends_ms.remove(part);
        }
    }
}

/// Row of an upstream that said that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// Identifies the start of the upstream, if its entry states it.
    pub born: Option<u64>,
}

/// Row with the text of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Id of the last event in the text.
    pub last: u64,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Number of events in the text.
    pub events: u64,
    /// Hash of the software that wrote the text. A text without it is not continued.
    #[serde(default)]
    pub software: Option<u32>,
}

impl Partial {
    /// Whether the row has as many events as its text may have, and ids that can be continued.
    pub const fn is_sound(&self) -> bool {
        self.events <= self.text.len() as u64 + 1 && self.last <= MAX_EVENT_ID
    }
}

/// Row with the software versions of all deployments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    pub deployments: BTreeMap<String, VersionSet>,
}

/// The software versions that the upstreams of a deployment have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSet {
    /// Identifiers of the software, see `origin::Software`.
    pub software: BTreeSet<u32>,
    /// Since when they are these, in milliseconds on the store's clock. Zero if no relay has ever seen
    /// others.
    pub since_ms: u64,
}

/// Row with the origins of the recent streams of one relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origins {
    /// Stream, software that began it, and time on the store's clock, in milliseconds, until which it may
    /// be continued.
    pub streams: Vec<(u64, u32, u64)>,
}
