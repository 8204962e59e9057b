//! Batch jobs in the store.
//!
//! A job is one object with its items, one row that names its owner, and one row for each result.
//! Results are written under the condition that the job's row is unchanged and that their positions
//! are free, so that an owner that was replaced cannot write and no position changes.

pub mod cleanup;
pub mod key;
pub mod row;
pub mod store;
