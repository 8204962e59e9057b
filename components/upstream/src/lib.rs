//! HTTP/1.1 client for upstreams: model engines that stream completions, and plain services.

mod client;
mod error;
mod event;
mod pool;
mod stream;
mod wake;
pub mod wire;

pub use crate::{
    client::{Client, ServiceRequest, StreamRequest, UpstreamResponse},
    error::{Error, Execution},
    event::Token,
    pool::Options,
    stream::{Progress, Stream},
};
