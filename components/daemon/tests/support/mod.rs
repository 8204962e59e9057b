//! Fakes for the tests of online requests.
#![allow(dead_code, missing_docs, clippy::unwrap_used, clippy::panic)]

pub mod caller;
pub mod engine;
pub mod node;
