//! Claim of one request on its idempotency key.

use std::sync::Arc;

use cyclamengrade_caller::Failure;

use super::claims::{Answer, Claims, Decision, Outcome};

/// Claim of a non-idempotent request that carries an idempotency key.
pub(super) struct Claim {
    pub(super) claims: Arc<dyn Claims>,
    pub(super) client: String,
    pub(super) key: String,
    /// Digest of the content of the request.
    pub(super) digest: String,
    /// Whether the claim was granted and its outcome is not recorded yet.
    pub(super) held: bool,
}

impl Claim {
    /// Acquires the claim before the first attempt. Returns the recorded answer if an earlier
    /// request with the key has ended.
    pub(super) async fn begin(&mut self) -> Result<Option<Answer>, Failure> {
        if self.held {
            return Ok(None);
        }
        let (client, key, digest) = (self.client.clone(), self.key.clone(), self.digest.clone());
        match self.claims.begin(client, key, digest).await? {
            Decision::Run => {
                self.held = true;
                Ok(None)
            }
            Decision::Done(answer) => Ok(Some(answer)),
        }
    }

    /// Records the outcome if the claim is held. If that fails, the outcome of the claim becomes
    /// unknown later.
    pub(super) async fn finish(&mut self, outcome: Outcome) {
        if !std::mem::take(&mut self.held) {
            return;
        }
        let recorded = self.claims.finish(self.client.clone(), self.key.clone(), outcome).await;
        if let Err(failure) = recorded {
            log::warn!("failed to record the outcome of a claimed request: {failure}");
        }
    }
}
