//! The daemon: actors around the decisions, and the traffic between peers.

mod assembly;
pub mod batch;
pub mod claims;
pub mod configuration;
mod error;
pub mod lease;
pub mod membership;
pub mod node;
mod observed;
pub mod online;
mod orders;
mod peers;
mod runner;
mod serve;
mod shutdown;
mod store;
mod vms;

pub use crate::{assembly::run, error::Error};
