//! Numbered log events, metrics and trace spans.

pub mod event;
pub mod logs;
pub mod metrics;
pub mod trace;

#[doc(hidden)]
pub use log;
