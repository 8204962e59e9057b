//! The daemon: actors and tasks that run the state machines of the control crate and connect them
//! to callers, upstreams, the platform and the other daemons.

mod assembly;
pub mod batch;
pub mod claims;
pub mod configuration;
mod error;
mod instrumented;
pub mod lease;
pub mod membership;
pub mod node;
pub mod online;
mod orders;
mod peers;
mod runner;
mod serve;
mod shutdown;
mod store;
mod vms;

pub use crate::{assembly::run, error::Error};
