//! Admission control for online requests: limits of the client, bounded queue and deadline.

mod limiter;
mod queue;

pub use self::{
    limiter::{ClientLimiter, LiveDaemons},
    queue::Queue,
};
