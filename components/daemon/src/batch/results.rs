//! Reading of a job's results in order of the items.

use std::sync::Arc;

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind, backend::Results};
use cyclamengrade_control::{
    job::{Chunk, ChunkState, Job, chunk_key},
    store::{Call, Reply},
};
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_telemetry::event;
use futures_util::{StreamExt, stream};
use tokio::sync::mpsc;

use crate::store;

/// Maximum number of chunk rows that one call to the table reads.
const ROWS_PER_READ: u32 = 64;

/// Maximum number of chunks whose results are read concurrently, ahead of the caller.
const READ_AHEAD_CHUNKS: usize = 4;

/// Streams the committed results of a job, given its row, as JSON lines.
///
/// Chunks without committed results are skipped. The first failure ends the stream.
pub(super) fn stream(
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    id: String,
    job: Job,
) -> mpsc::Receiver<Results> {
    let (sender, receiver) = mpsc::channel(READ_AHEAD_CHUNKS);
    let reader = Reader { table, objects, id, job };
    tokio::spawn(async move {
        let last = match reader.send_lines(&sender).await {
            Ok(()) => Results::End,
            Err(failure) => Results::Failed(failure),
        };
        // The caller may have closed its connection.
        let _ = sender.send(last).await;
    });
    receiver
}

/// Reads the rows and the result objects of one job's chunks.
struct Reader {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    id: String,
    job: Job,
}

impl Reader {
    /// Sends the committed results of all chunks. Stops early if the caller has closed its connection.
    async fn send_lines(&self, sender: &mpsc::Sender<Results>) -> Result<(), Failure> {
        let claimed_chunks = self.job.next.min(self.job.base_chunks());
        let mut first = 0;
        while first < claimed_chunks {
            let page: Vec<_> = (first..claimed_chunks.min(first + ROWS_PER_READ)).collect();
            first += ROWS_PER_READ;
            let rows = self.read_rows(&page).await?;
            let reads =
                page.into_iter().zip(rows).map(|(number, row)| self.read_chunk(number, row));
            let mut contents = stream::iter(reads).buffered(READ_AHEAD_CHUNKS);
            while let Some(content) = contents.next().await {
                let lines = content?;
                if !lines.is_empty() && sender.send(Results::Lines(lines)).await.is_err() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn read_rows(&self, numbers: &[u32]) -> Result<Vec<Option<Chunk>>, Failure> {
        let keys = numbers.iter().map(|number| chunk_key(&self.id, *number)).collect();
        match store::call(&*self.table, Call::Read(keys)).await {
            Reply::Rows(rows) => {
                Ok(rows.into_iter().map(|row| row.and_then(|row| row.decode())).collect())
            }
            _ => Err(Failure::may_have_run(
                Kind::Unavailable,
                "the platform's table is unavailable; request the results again",
            )),
        }
    }

    /// Returns the committed results of a chunk, including those of chunks that were split off it,
    /// in order of the items.
    async fn read_chunk(&self, number: u32, row: Option<Chunk>) -> Result<Bytes, Failure> {
        let mut lines = Vec::new();
        let mut next_chunk = row.map(|row| (number, row));
        let mut object_count = 0;
        while let Some((number, row)) = next_chunk.take() {
            if row.state != ChunkState::Done {
                break;
            }
            let items = row.items.clone().unwrap_or_else(|| self.job.items_of(number));
            let content = self.read_object(&row).await?;
            check_lines(&content, items.len())?;
            let chunk_lines =
                content.split_inclusive(|byte| *byte == b'\n').map(|line| content.slice_ref(line));
            lines.extend(items.into_iter().zip(chunk_lines));
            object_count += 1;
            if let Some(split) = row.split {
                let row = self.read_rows(&[split]).await?.into_iter().next().flatten();
                next_chunk = row.map(|row| (split, row));
            }
        }
        if object_count > 1 {
            lines.sort_by_key(|(item, _)| *item);
        }
        let mut content = Vec::new();
        for (_, line) in lines {
            content.extend_from_slice(&line);
        }
        Ok(content.into())
    }

    async fn read_object(&self, row: &Chunk) -> Result<Bytes, Failure> {
        let key = row.object.clone().unwrap_or_default();
        match self.objects.get(key.clone()).await {
            Ok(Some(content)) => Ok(content),
            Ok(None) => {
                let message = format!("the result object {key:?} is missing");
                event!(InternalFault, error = message.as_str());
                Err(Failure::may_have_run(Kind::Internal, message))
            }
            Err(error) => Err(Failure::may_have_run(
                Kind::Unavailable,
                format!("the object store is unavailable; request the results again: {error}"),
            )),
        }
    }
}

/// Checks that a result object has a whole line for each item, so that a part of it is not taken for all
/// of it.
fn check_lines(content: &Bytes, items: usize) -> Result<(), Failure> {
    let lines = content.iter().filter(|byte| **byte == b'\n').count();
    if lines == items {
        return Ok(());
    }
    let message = format!("a result object has {lines} whole lines for {items} items");
    event!(InternalFault, error = message.as_str());
    Err(Failure::may_have_run(Kind::Internal, message))
}
