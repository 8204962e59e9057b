//! Runs the items of the batch jobs that this relay owns.

mod commit;
mod dispatcher;
mod handover;
mod item;
mod owned;
mod takeover;

pub use self::dispatcher::Dispatcher;
