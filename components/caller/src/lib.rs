//! HTTP server for the API of callers, the administration API of operators and the health checks of
//! the load balancer.

mod admin;
pub mod backend;
mod batch;
mod completion;
mod extract;
mod failure;
mod render;
mod request_body;
mod response;
mod route;
mod server;
mod service;

pub use crate::{
    failure::{Failure, Kind},
    server::{Options, Server},
};
