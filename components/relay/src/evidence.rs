//! Evidence that the configuration of this relay is current.

use std::time::Duration;

use crate::shared::Shared;

impl Shared {
    /// Whether this relay has evidence that its configuration was the newest one less than `within` ago.
    pub const fn is_configuration_current(&self, _within: Duration) -> bool {
        true
    }

    /// Returns the time for which a key that was taken away may be used at most; `None` if revocation is not
    /// strict.
    pub const fn revocation_time(&self) -> Option<Duration> {
        None
    }
}
