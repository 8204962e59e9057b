//! The daemon: actors around the decisions, and the traffic between peers.

pub mod batch;
pub mod lease;
pub mod node;
pub mod store;
