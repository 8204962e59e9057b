//! Interface between the batch dispatcher and the client that runs items at upstreams.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// A run in progress. Dropping the future closes the connection of the stream.
pub type Running = Pin<Box<dyn Future<Output = Summary> + Send>>;

/// A cancellation in progress. Returns whether the upstream has crashed.
pub type Cancelling = Pin<Box<dyn Future<Output = bool> + Send>>;

/// Runs items at upstreams.
pub trait Runner: Send + Sync + 'static {
    /// Runs an item and appends the tokens to `transcript` as they arrive, the last ones together
    /// with the mark that the answer is complete.
    ///
    /// The transcript already contains the tokens after which the stream resumes. The future is
    /// polled on the traffic runtime.
    fn run(&self, call: Call, transcript: Transcript) -> Running;

    /// Cancels the stream of a run whose future was dropped.
    fn cancel(&self, address: SocketAddr, stream: String) -> Cancelling;
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
    /// The upstream executed the item and answered with this error; an attempt is charged.
    Failed(String),
    /// The connection broke off or fell silent, for this reason; an attempt is charged.
    Interrupted(String),
}

/// Tokens of an item received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Number of tokens.
    pub tokens: u32,
    pub text: String,
    /// Whether the answer has ended.
    pub complete: bool,
}

/// Tokens of an item that a run appends to; clones share the content.
#[derive(Clone, Debug, Default)]
pub struct Transcript(Arc<Mutex<Received>>);

impl Transcript {
    /// Creates a transcript that starts with the tokens of earlier runs.
    pub fn new(received: Received) -> Self {
        Self(Arc::new(Mutex::new(received)))
    }

    /// Appends tokens. `complete` marks them as the last ones of the answer; a run that is stopped
    /// at this moment never keeps the tokens without the mark.
    pub fn extend<T: AsRef<str>>(&self, tokens: impl IntoIterator<Item = T>, complete: bool) {
        let mut received = self.lock();
        for token in tokens {
            received.tokens += 1;
            received.text.push_str(token.as_ref());
        }
        received.complete |= complete;
    }

    /// Returns a copy of the content.
    pub fn snapshot(&self) -> Received {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Received> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
