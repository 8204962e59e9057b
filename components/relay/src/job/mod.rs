//! Batch jobs in the store.
//!
//! A job consists of an object with its items, a row that names its owner, and a row for each
//! result. Results are numbered by position, in the order in which they are committed. They are
//! written on the condition that the job's row is unchanged and that their positions are free. A
//! former owner can therefore not write, and a result never changes its position.

pub mod cleanup;
pub mod key;
pub mod reservation;
pub mod row;
pub mod size;
pub mod store;
