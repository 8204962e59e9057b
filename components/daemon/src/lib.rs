//! The daemon: actors around the decisions, and the traffic between peers.

pub mod batch;
pub mod configuration;
mod error;
pub mod lease;
pub mod membership;
pub mod node;
pub mod online;
pub mod store;
pub mod vms;

pub use crate::error::Error;
