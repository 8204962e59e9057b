//! Whether a request may enter: limits of the client, bounded queue, deadline.

mod account;
mod queue;

pub use self::{
    account::{Account, Members},
    queue::Queue,
};
