//! The daemon: actors around the decisions, and the traffic between peers.

pub mod node;
pub mod online;
