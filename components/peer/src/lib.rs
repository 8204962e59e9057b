//! Communication between daemons, by gRPC calls and membership datagrams over UDP, and between
//! relays, by messages about slots over UDP.

mod client;
mod convert;
mod server;
pub mod slots;
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
