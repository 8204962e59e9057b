//! Settings files of daemons and relays: their types, and their validation.
//!
//! A settings file configures one process; what operators configure for the whole fleet is in the
//! configuration document.

mod check;
mod daemon;
mod error;
pub mod key;
mod read;
pub mod relay;

pub use crate::{
    daemon::{Daemon, Lease, Level, Limits, Peer, Platform, Policy, Telemetry, Timers},
    error::{Error, Problem},
    relay::Relay,
};
