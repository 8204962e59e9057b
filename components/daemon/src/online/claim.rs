//! The claim of one request.

use std::sync::Arc;

use cyclamengrade_caller::Failure;

use super::claims::{Begin, Claims, End, Record};

/// Claim of a non-idempotent request that carries a key.
pub(super) struct Claim {
    pub(super) claims: Arc<dyn Claims>,
    pub(super) client: String,
    pub(super) key: String,
    pub(super) digest: String,
    pub(super) held: bool,
}

impl Claim {
    /// Takes the claim before the first dispatch; a result means that the request ran before.
    pub(super) async fn begin(&mut self) -> Result<Option<Record>, Failure> {
        if self.held {
            return Ok(None);
        }
        let (client, key, digest) = (self.client.clone(), self.key.clone(), self.digest.clone());
        match self.claims.begin(client, key, digest).await? {
            Begin::Run => {
                self.held = true;
                Ok(None)
            }
            Begin::Done(record) => Ok(Some(record)),
        }
    }

    /// Records the outcome; without a record the claim ends as unknown later.
    pub(super) async fn finish(&mut self, end: End) {
        if !std::mem::take(&mut self.held) {
            return;
        }
        let finished = self.claims.finish(self.client.clone(), self.key.clone(), end).await;
        if let Err(failure) = finished {
            log::warn!("the outcome of a claimed request cannot be recorded: {failure}");
        }
    }
}
