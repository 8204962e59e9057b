//! Decisions about opaque requests and their batch jobs.
//!
//! The relay does not read what it carries: a route names the deployment, and the kind of the route
//! says what may run more than once.

pub mod acceptance;
pub mod failure;
pub mod fleet;
pub mod framing;
pub mod job;
pub mod ledger;
pub mod listing;
pub mod order;
pub mod owner;
pub mod route;
