//! Communication between daemons: gRPC calls, and UDP datagrams for membership and occupancy.

mod client;
mod convert;
pub mod occupancy;
mod server;
mod socket;

pub use crate::{
    client::{Client, Error},
    server::{Handler, serve},
    socket::{Received, Socket},
};

/// Messages and services that `cyclamengrade-codegen` generates from `proto/peer.proto`.
#[allow(clippy::all, clippy::use_self, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "generated/cyclamengrade.peer.v1.rs"]
pub mod wire;
