//! Memory that is reserved for the bytes of requests or responses before it is used.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Limit on the memory of all requests, or all responses, together.
#[derive(Clone, Debug)]
pub struct Budget {
    semaphore: Arc<Semaphore>,
    /// Number of all permits.
    permits: usize,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / BYTES_PER_PERMIT as u64).unwrap_or(usize::MAX);
        let permits = permits.min(Semaphore::MAX_PERMITS);
        Self { semaphore: Arc::new(Semaphore::new(permits)), permits }
    }

    /// Waits until there is memory for this many bytes, and reserves it. More than the whole budget counts
    /// as all of it.
    pub async fn acquire(&self, bytes: usize) -> Reservation {
        let permits = (1 + bytes / BYTES_PER_PERMIT).min(self.permits);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        match self.semaphore.clone().acquire_many_owned(permits).await {
            Ok(permit) => Reservation { budget: self.clone(), permit },
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// Reserves memory for the first bytes. Returns `None` if the budget is used up.
    pub fn reserve(&self) -> Option<Reservation> {
        let permit = self.semaphore.clone().try_acquire_owned().ok()?;
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
        match self.budget.semaphore.clone().try_acquire_many_owned(missing) {
            Ok(permit) => {
                self.permit.merge(permit);
                true
            }
            Err(_) => false,
        }
    }
}
