//! Batch jobs: acceptance, status, results and cancellation, and the execution of their items.
//!
//! [`Jobs`] serves the requests of callers. [`Dispatcher`] is the actor that claims chunks while a
//! [`BatchLimit`] leaves streams free, runs their items through a [`Runner`] and commits the
//! results.

mod dispatcher;
mod input;
mod items;
mod jobs;
mod reports;
mod results;
mod runner;

pub use self::{
    dispatcher::{BatchLimit, Dependencies, Dispatcher, JobNotice},
    jobs::Jobs,
    runner::{Call, Cancelling, Outcome, Received, Runner, Running, Summary, Transcript},
};
