//! Interface through which online requests claim idempotency keys and record their answers.

use bytes::Bytes;
use cyclamengrade_caller::backend::BackendFuture;

/// Store of the claims of non-idempotent requests that carry an idempotency key.
///
/// [`begin`](Self::begin) is called before the first attempt of such a request, and
/// [`finish`](Self::finish) when the request has ended, unless the process ends in between.
pub trait Claims: Send + Sync + 'static {
    /// Claims a key of a client for a request whose content has the given digest.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` if the key was used with another digest or an earlier request with the
    /// key is still running, with `OutcomeUnknown` if it is not known whether an earlier request
    /// with the key ran, and with `Unavailable` and `not_run` if the table cannot be reached.
    fn begin(&self, client: String, key: String, digest: String) -> BackendFuture<Decision>;

    /// Records the outcome of a request for which `begin` returned [`Decision::Run`].
    fn finish(&self, client: String, key: String, outcome: Outcome) -> BackendFuture<()>;
}

/// Decision on a request that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request holds the claim and may be dispatched.
    Run,
    /// An earlier request with the key ended with this answer, which is returned to the caller
    /// again.
    Done(Answer),
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran. Repeated requests get this answer.
    Done(Answer),
    /// The request is known not to have run. The key may be used again.
    NotRun,
    /// It is not known whether the request ran. Repeated requests fail with `OutcomeUnknown`.
    Unknown,
}

/// Answer of a claimed request, as recorded for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub content_type: Option<String>,
    /// Body of the service's response, or a JSON object with the fields `text` and `finish_reason`
    /// of a completion.
    pub body: Bytes,
}
