//! Whether a response on a connection belongs to the request that was sent on it last.
//!
//! A faulty upstream may write a response once more on the same connection, also much later. Only two
//! things exclude that a response is such a repetition: it bears the id of the request, which no
//! earlier request on the connection had, or it is the first one on its connection.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::relay::failure::Failure;

/// Requests that one connection carries at most. Bounds the memory for their ids.
const MAX_REQUESTS: usize = 256;

/// Requests that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Hashes of the ids, the last one that of the current request. Two ids with one hash cost a new
    /// connection.
    ids: Vec<u64>,
}

impl History {
    /// Whether a request with this id may be sent on the connection, so that its response can be told
    /// from repetitions of earlier ones.
    pub fn admits(&self, id: &str) -> bool {
        !self.is_full() && !self.ids.contains(&hash(id.as_bytes()))
    }

    /// Whether the connection carries no further requests.
    pub const fn is_full(&self) -> bool {
        self.ids.len() >= MAX_REQUESTS
    }

    /// Records a request that is sent.
    pub fn record(&mut self, id: &str) {
        self.ids.push(hash(id.as_bytes()));
    }

    /// Returns the number of requests so far.
    pub const fn requests(&self) -> usize {
        self.ids.len()
    }

    /// Returns how a response is tied to the last request. `ids` are the request ids that the response
    /// bears.
    pub fn tie<'a>(&self, ids: impl IntoIterator<Item = &'a [u8]>) -> Tie {
        let mut ids = ids.into_iter().peekable();
        let bears_id = ids.peek().is_some();
        match self.ids.as_slice() {
            [_] if !bears_id => Tie::First,
            [.., last] if bears_id && ids.all(|id| hash(id) == *last) => Tie::Named,
            _ => Tie::Uncertain,
        }
    }
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// How a response is tied to the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tie {
    /// It bears the id of the request.
    Named,
    /// It bears no id and is the first response on the connection. Later ones cannot be told from its
    /// repetitions.
    First,
    /// It may be an answer to another request.
    Uncertain,
}

/// What the head of a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The upstream did not run the request.
    NotRun,
    /// The address belongs to another upstream, which did not run the request.
    Misdirected,
    /// The upstream itself answers the request.
    Answer,
    /// Nothing that an upstream says.
    Invalid,
}

impl Tie {
    /// Whether the response certainly belongs to the request, so that what it says of its upstream holds.
    pub const fn is_certain(self) -> bool {
        matches!(self, Self::Named | Self::First)
    }

    /// Whether the connection may carry another request after the response.
    pub const fn allows_reuse(self) -> bool {
        matches!(self, Self::Named)
    }

    /// Decides what a response means for the request.
    ///
    /// # Errors
    ///
    /// Returns the failure of the request. It may have run unless a refusal certainly belongs to it.
    pub const fn judge(self, claim: Claim) -> Result<(), Failure> {
        match (self, claim) {
            (Self::Named | Self::First, Claim::NotRun) => Err(Failure::NotRun),
            (Self::Named | Self::First, Claim::Misdirected) => Err(Failure::Misdirected),
            // An answer always bears the id of its request.
            (Self::Named, Claim::Answer) => Ok(()),
            (Self::First, Claim::Answer) | (Self::Uncertain, _) | (_, Claim::Invalid) => {
                Err(Failure::Broken)
            }
        }
    }
}
