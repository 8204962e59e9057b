//! Forwards requests to upstreams and runs batch jobs, without interpreting the bodies of requests
//! and items.
//!
//! A relay reads its routes, the upstreams and the other relays from the platform's store. It keeps
//! no durable state of its own: batch jobs and their results are in the store.

mod admission;
mod allowance;
mod attempt;
mod batch;
pub mod body;
mod caller;
mod charge;
mod clock;
pub mod connection;
pub mod dialect;
mod directory;
mod error;
mod events;
mod evidence;
mod exchange;
mod explain;
mod flight;
mod follower;
mod front;
pub mod job;
mod learned;
mod leaving;
mod link;
mod listing;
pub mod memory;
mod meter;
mod native;
mod online;
mod origin;
mod peers;
mod pool;
mod quarantine;
mod question;
mod roll_call;
mod run;
mod shared;
mod slots;
mod stop;
mod successor;
pub mod task;

pub use crate::{
    caller::{check_object, read_accounts},
    error::Error,
    native::{Native, describe_malformed, query},
    run::{Parts, run},
};
