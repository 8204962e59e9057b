//! HTTP client for model engines and plain services.

mod client;
mod error;
mod event;
mod pool;
mod stream;
mod wake;
pub mod wire;

pub use crate::{
    client::{Answer, Call, Client, Open},
    error::{Error, Ran},
    event::Token,
    pool::Options,
    stream::{Progress, Stream},
};
