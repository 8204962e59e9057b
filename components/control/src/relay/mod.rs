//! Decisions for relayed requests and their batch jobs.
//!
//! The relay does not interpret request or response bodies. A route names the deployments that
//! serve a request, and the kind of the route says what may run more than once.

pub mod account;
pub mod allowance;
pub mod broker;
pub mod ending;
pub mod entry;
pub mod evidence;
pub mod failure;
pub mod framing;
pub mod job;
pub mod limit;
pub mod link;
pub mod monitor;
pub mod origin;
pub mod owner;
pub mod priority;
pub mod quarantine;
pub mod quota;
pub mod registry;
pub mod response;
pub mod results;
pub mod roll_call;
pub mod route;
pub mod running;
pub mod selector;
pub mod shard;
pub mod stop;
pub mod submission;
