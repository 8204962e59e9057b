//! Decisions without I/O, clocks or threads.
//!
//! Each module is a state machine that takes the time and an input and returns actions.

pub mod admission;
pub mod claim;
pub mod drain;
pub mod fleet;
pub mod hash;
pub mod job;
pub mod lease;
pub mod membership;
pub mod order;
pub mod pacing;
pub mod relay;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod store;
pub mod time;
pub mod traffic;
