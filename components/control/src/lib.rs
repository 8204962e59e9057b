//! Decisions without I/O, clocks or threads.
//!
//! Each module is a state machine that takes the time and an input and returns actions.

pub mod admission;
pub mod fleet;
pub mod hash;
pub mod pacing;
pub mod retry;
pub mod routing;
pub mod time;
pub mod traffic;
