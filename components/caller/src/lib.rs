//! HTTP server for callers, operators and the load balancer.

mod admin;
mod answer;
pub mod backend;
mod batch;
mod completion;
mod failure;
mod input;
mod prompt;
mod render;
mod route;
mod server;
mod service;

pub use crate::{
    failure::{Failure, Kind},
    server::{Options, Server},
};
