//! Decisions without I/O, clocks or threads.
//!
//! Each module is a state machine that takes the time and an input and returns actions.

pub mod drain;
pub mod fleet;
pub mod hash;
pub mod membership;
pub mod order;
pub mod revision;
pub mod time;
pub mod traffic;
