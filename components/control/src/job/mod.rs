//! Acceptance, claiming, committing and cancelling of batch jobs.

pub mod acceptance;
pub mod cancellation;
pub mod dispatch;
mod row;

pub use self::row::{
    Chunk, ChunkState, Job, KeyRow, State, chunk_key, chunk_prefix, input_key, job_key, key_key,
    open_id, open_key, open_prefix, result_key,
};
