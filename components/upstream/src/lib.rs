//! HTTP client for model engines and plain services.

mod error;
pub mod wire;

pub use crate::error::{Error, Ran};
