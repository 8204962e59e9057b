//! Admission control for online requests: limits of the client, bounded queue and deadline.

mod account;
mod queue;

pub use self::{
    account::{ClientLimiter, LiveDaemons},
    queue::Queue,
};
