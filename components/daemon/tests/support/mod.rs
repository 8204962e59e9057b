//! Fake engine, node and callers for the tests of online requests.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod caller;
pub mod engine;
pub mod node;
