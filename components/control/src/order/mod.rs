//! Rollout of model versions: orders to upstreams to load a new version and to drop old ones.
//!
//! Rendezvous hashing selects the daemon that sends the orders to an upstream. Before its first
//! order, that daemon claims the upstream's row in the table, which increases the fencing number. A
//! rollout loads the new version next to the old one on a few upstreams at a time. Requests move to
//! the new version once half of the upstreams have it, and the old version is dropped when no
//! request can need it any more.

mod machine;
mod message;
mod rollout;

pub use self::{
    machine::Machine,
    message::{Action, Input, Ownership, Settings},
    rollout::label,
};
