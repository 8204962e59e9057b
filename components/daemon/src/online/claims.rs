//! What online requests need from the store of claims.

use bytes::Bytes;
use cyclamengrade_caller::backend::BackendFuture;

/// Claims of non-idempotent requests that carry an idempotency key.
///
/// `begin` is called before the first dispatch of such a request, and `finish` once its outcome
/// is known, unless the process ends in between.
pub trait Claims: Send + Sync + 'static {
    /// Claims the key of a client for content with the given digest.
    ///
    /// Fails with `Conflict` when the key was used with another digest or is being run,
    /// with `OutcomeUnknown` when an earlier run ended without a result, and with `Unavailable`
    /// and `not_run` when the table cannot be reached.
    fn begin(&self, client: String, key: String, digest: String) -> BackendFuture<Begin>;

    /// Records the outcome of a claim that `begin` granted.
    fn finish(&self, client: String, key: String, end: End) -> BackendFuture<()>;
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// The claim is held; the request may be dispatched.
    Run,
    /// An earlier request with this key ended with this result.
    Done(Record),
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran; resends get this result.
    Done(Record),
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// Whether it ran is not known; resends get `OutcomeUnknown`.
    Unknown,
}

/// Result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body: that of the service, or the JSON fields `text` and `finish_reason` of a completion.
    pub body: Bytes,
}
