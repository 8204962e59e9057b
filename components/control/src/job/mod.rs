//! Batch jobs: acceptance, execution in chunks, and cancellation.
//!
//! A job consists of items. Daemons claim them in chunks, run them, and commit each result exactly
//! once.

pub mod acceptance;
pub mod cancellation;
pub mod dispatch;
mod row;

pub use self::row::{
    Chunk, ChunkState, IdempotencyRow, Job, State, chunk_key, chunk_prefix, idempotency_row_key,
    input_key, job_key, job_of_open_key, open_key, open_prefix, result_key,
};
