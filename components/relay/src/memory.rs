//! Memory that is reserved for the bytes of requests or responses before it is used.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Limit on the memory of all requests, or all responses, together.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Semaphore>);

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / BYTES_PER_PERMIT as u64).unwrap_or(usize::MAX);
        Self(Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))))
    }

    /// Reserves memory for the first bytes. Returns `None` if the budget is used up.
    pub fn reserve(&self) -> Option<Reservation> {
        let permit = self.0.clone().try_acquire_owned().ok()?;
        Some(Reservation { budget: self.clone(), permit })
    }
}

/// Memory that is free for others again when this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// Reserves as much as `bytes` need. Returns whether the budget has it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let permits = 1 + bytes / BYTES_PER_PERMIT;
        let missing = permits.saturating_sub(self.permit.num_permits());
        let Ok(missing) = u32::try_from(missing) else { return false };
        match self.budget.0.clone().try_acquire_many_owned(missing) {
            Ok(permit) => {
                self.permit.merge(permit);
                true
            }
            Err(_) => false,
        }
    }
}
