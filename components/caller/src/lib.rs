//! HTTP server for callers, operators and the load balancer.

pub mod backend;
mod failure;

pub use crate::failure::{Failure, Kind};
