//! The daemon: actors around the decisions, and the traffic between peers.

pub mod configuration;
mod error;
pub mod membership;
pub mod node;
pub mod online;
pub mod vms;

pub use crate::error::Error;
