//! The control logic of daemons and relays, without I/O, clocks or threads.
//!
//! Most modules hold a state machine that takes the current time and an input and returns the
//! actions that the daemon or the relay must carry out.

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
