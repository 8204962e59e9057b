//! What the batch work needs from the client of the upstreams.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// A run of one item; dropping it cancels the stream at the upstream.
pub type Running = Pin<Box<dyn Future<Output = Finish> + Send>>;

/// Runs items at upstreams.
pub trait Runner: Send + Sync + 'static {
    /// Runs an item and pushes each token to `transcript` as it arrives.
    ///
    /// The transcript already holds the tokens after which the stream goes on. The future is
    /// polled on the traffic runtime. When it is dropped, the stream must be cancelled.
    fn run(&self, call: Call, transcript: Transcript) -> Running;
}

/// One run of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Deployment.
    pub deployment: String,
    /// Model that must answer.
    pub model: String,
    /// Version that must answer.
    pub version: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the whole answer, with those received before.
    pub max_tokens: u32,
    /// Tokens received before; the stream goes on after them.
    pub resume_from: u32,
    /// Identifier of the stream, unique in the fleet.
    pub stream: String,
}

/// How a run ended, and what it showed of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// How it ended.
    pub end: End,
    /// Time to the first token, when there was one.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, when there were two.
    pub between_tokens: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The transcript holds the whole answer.
    Done,
    /// The upstream refused the item for good, for this reason.
    Rejected(String),
    /// The item certainly did not run.
    NotRun,
    /// The item ran and failed, or was cut off.
    Failed,
}

/// The tokens of an item received so far.
#[derive(Clone, Debug, Default)]
pub struct Transcript(Arc<Mutex<(u32, String)>>);

impl Transcript {
    /// A transcript that starts with tokens received before.
    pub fn new(tokens: u32, text: String) -> Self {
        Self(Arc::new(Mutex::new((tokens, text))))
    }

    /// Appends a token.
    pub fn push(&self, text: &str) {
        let mut guard = self.lock();
        guard.0 += 1;
        guard.1.push_str(text);
    }

    /// Number of tokens and their text.
    pub fn snapshot(&self) -> (u32, String) {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, (u32, String)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
