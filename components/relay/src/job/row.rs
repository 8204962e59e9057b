//! Rows of the store that relays write.

use std::{collections::BTreeMap, net::SocketAddr};

use cyclamengrade_control::relay::job::FinalState;
use serde::{Deserialize, Serialize};

/// Row of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Differs for each start.
    pub incarnation: u64,
}

/// The relay that runs a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the relay.
    pub name: String,
    /// Its start.
    pub incarnation: u64,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Items are waiting or running.
    Open,
    /// Every item has a result.
    Done,
    /// Its caller ended it.
    Ended,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Host of its route.
    pub host: String,
    /// Path that it was submitted to, which selects its route.
    pub path: String,
    /// Items.
    pub items: usize,
    /// When it was accepted, on the store's clock, in milliseconds.
    pub accepted_ms: u64,
    /// When its results are due, on the store's clock, in milliseconds.
    pub due_ms: u64,
    /// When its items may be abandoned, on the store's clock, in milliseconds.
    pub expires_ms: u64,
    /// Where it stands.
    pub state: State,
    /// Who runs it; absent when its owner handed it back.
    pub owner: Option<Owner>,
}

impl Job {
    /// Whether this start of a relay runs the job.
    pub fn is_owned_by(&self, owner: &Owner) -> bool {
        self.owner.as_ref() == Some(owner)
    }

    /// The row after `by` took the job over; `None` when it is not open or `from` no longer owns it.
    pub fn taken_over(&self, from: Option<&Owner>, by: &Owner) -> Option<Self> {
        let same = self.state == State::Open && self.owner.as_ref() == from;
        same.then(|| Self { owner: Some(by.clone()), ..self.clone() })
    }

    /// The row after its owner handed it back; `None` when `owner` is not its owner.
    pub fn handed_over(&self, owner: &Owner) -> Option<Self> {
        self.is_owned_by(owner).then(|| Self { owner: None, ..self.clone() })
    }

    /// The row after its caller ended the job; `None` when that was done.
    pub fn ended(&self) -> Option<Self> {
        (self.state != State::Ended).then(|| Self { state: State::Ended, ..self.clone() })
    }

    /// The row after every item got its result.
    pub fn done(&self) -> Self {
        Self { state: State::Done, ..self.clone() }
    }
}

/// Row of a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the item.
    pub item: String,
    /// How it ended.
    pub state: End,
    /// Text of the result; absent when it is in an object.
    pub text: Option<String>,
    /// Name of the object with the text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole text is there.
    Completed,
    /// It was given up.
    Abandoned,
}

impl From<FinalState> for End {
    fn from(verdict: FinalState) -> Self {
        match verdict {
            FinalState::Completed => Self::Completed,
            FinalState::Abandoned => Self::Abandoned,
        }
    }
}

impl From<End> for FinalState {
    fn from(end: End) -> Self {
        match end {
            End::Completed => Self::Completed,
            End::Abandoned => Self::Abandoned,
        }
    }
}

/// Row with the failures of a job's items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Failures by position of the item in the job.
    pub counts: BTreeMap<usize, u32>,
}

/// Row with the text of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Id of its last event.
    pub last: u64,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Events in the text.
    pub events: u64,
}
