//! Interface between the batch dispatcher and the client that runs items at upstreams.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// A run in progress. Dropping the future cancels the stream at the upstream.
pub type Running = Pin<Box<dyn Future<Output = Summary> + Send>>;

/// Runs items at upstreams.
pub trait Runner: Send + Sync + 'static {
    /// Runs an item and appends each token to `transcript` as it arrives.
    ///
    /// The transcript already contains the tokens after which the stream resumes. The future is
    /// polled on the traffic runtime; an implementation must cancel the stream when the future is
    /// dropped.
    fn run(&self, call: Call, transcript: Transcript) -> Running;
}

/// Parameters of a run of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the deployment.
    pub deployment: String,
    /// Model that the upstream must serve.
    pub model: String,
    /// Version of the model that the upstream must serve; `None` accepts any version.
    pub version: Option<String>,
    pub prompt: String,
    /// Maximum number of tokens of the whole answer, including those that earlier runs received.
    pub max_tokens: u32,
    /// Number of tokens that earlier runs received; the stream resumes after them.
    pub resume_from: u32,
    /// Identifier of the stream, unique within the fleet.
    pub stream: String,
}

/// Outcome of a run and the latencies observed at the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    pub outcome: Outcome,
    /// Time to first token; `None` if no token arrived.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; `None` if fewer than two tokens arrived.
    pub between_tokens: Option<Duration>,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transcript contains the complete answer.
    Done,
    /// The upstream rejected the item permanently, for this reason.
    Rejected(String),
    /// The item was certainly not executed; no attempt is charged.
    NotRun,
    /// The item was executed and failed or was interrupted; an attempt is charged.
    Failed,
}

/// Number and text of the tokens of an item received so far; clones share the content.
#[derive(Clone, Debug, Default)]
pub struct Transcript(Arc<Mutex<(u32, String)>>);

impl Transcript {
    /// Creates a transcript that starts with the tokens of earlier runs.
    pub fn new(tokens: u32, text: String) -> Self {
        Self(Arc::new(Mutex::new((tokens, text))))
    }

    /// Appends a token.
    pub fn push(&self, text: &str) {
        let mut guard = self.lock();
        guard.0 += 1;
        guard.1.push_str(text);
    }

    /// Returns the number of tokens and their text.
    pub fn snapshot(&self) -> (u32, String) {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, (u32, String)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
