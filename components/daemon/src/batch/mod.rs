//! Batch jobs: acceptance, state, results and cancellation, and the work on their items.
//!
//! [`Jobs`] serves the callers. [`Dispatcher`] is the actor that claims chunks for upstreams whose
//! [`BatchLimit`] leaves room, runs items through a [`Runner`] and commits the results.

mod dispatcher;
mod input;
mod jobs;
mod reports;
mod results;
mod runner;
mod work;

pub use self::{
    dispatcher::{BatchLimit, Dispatcher, JobNotice, Parts},
    jobs::Jobs,
    runner::{Call, End, Finish, Runner, Running, Transcript},
};
