//! Stand-ins (test doubles) for the platform and the upstreams, a harness that starts whole fleets
//! of processes, a load generator and a demo.

pub mod answer;
pub mod bridge;
pub mod capacity;
pub mod cli;
pub mod client;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod process;
pub mod server;
pub mod service;
