//! Numbered log events, structured log lines, Prometheus metrics and trace spans.

pub mod event;
pub mod logs;
pub mod metrics;
pub mod trace;

// The `event!` macro expands to paths through this re-export.
#[doc(hidden)]
pub use log;
