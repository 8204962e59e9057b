//! Execution of the batch jobs that this relay owns: scheduling of items, commits of results,
//! takeover and handover.

mod commit;
mod dispatcher;
mod handover;
mod item;
mod owned;
mod takeover;
pub mod transfer;

pub use self::dispatcher::Dispatcher;
