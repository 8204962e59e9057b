//! Which model versions upstreams load, and when they drop old ones.
//!
//! The daemon that rendezvous hashing names gives the orders of an upstream, after it has claimed
//! the upstream's row in the table, which raises the fencing number. A rollout loads the new
//! version beside the old one on a few upstreams at a time, and drops the old version when no
//! request can need it. Requests move once half of the upstreams have the new version.

mod machine;
mod message;
mod rollout;

pub use self::{
    machine::Machine,
    message::{Action, Input, Ownership, Settings},
    rollout::label,
};
