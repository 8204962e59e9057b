//! Results of a job in order of the items.

use std::sync::Arc;

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind};
use cyclamengrade_control::{
    job::{Chunk, ChunkState, Job, chunk_key},
    store::{Call, Reply},
};
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_telemetry::event;
use futures_util::{StreamExt, stream};
use tokio::sync::mpsc;

use crate::store;

/// Chunk rows in one read.
const PAGE: u32 = 64;

/// Chunks whose results are read ahead.
const AHEAD: usize = 4;

/// Streams the committed results of a job.
pub(super) fn stream(
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    id: String,
    job: Job,
) -> mpsc::Receiver<Result<Bytes, Failure>> {
    let (send, receive) = mpsc::channel(AHEAD);
    let reader = Reader { table, objects, id, job };
    tokio::spawn(async move {
        let claimed = reader.job.next.min(reader.job.base_chunks());
        let mut first = 0;
        while first < claimed {
            let page: Vec<_> = (first..claimed.min(first + PAGE)).collect();
            first += PAGE;
            let rows = match reader.rows(&page).await {
                Ok(rows) => rows,
                Err(failure) => {
                    let _ = send.send(Err(failure)).await;
                    return;
                }
            };
            let reads = page.into_iter().zip(rows).map(|(number, row)| reader.chunk(number, row));
            let mut contents = stream::iter(reads).buffered(AHEAD);
            while let Some(content) = contents.next().await {
                let last = content.is_err();
                if content.as_ref().is_ok_and(Bytes::is_empty) {
                    continue;
                }
                if send.send(content).await.is_err() || last {
                    return;
                }
            }
        }
    });
    receive
}

struct Reader {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    id: String,
    job: Job,
}

impl Reader {
    async fn rows(&self, numbers: &[u32]) -> Result<Vec<Option<Chunk>>, Failure> {
        let keys = numbers.iter().map(|number| chunk_key(&self.id, *number)).collect();
        match store::call(&*self.table, Call::Read(keys)).await {
            Reply::Rows(rows) => {
                Ok(rows.into_iter().map(|row| row.and_then(|row| row.decode())).collect())
            }
            _ => Err(Failure::may_have_run(
                Kind::Unavailable,
                "the platform's table is out of service; read the results again",
            )),
        }
    }

    /// Committed results of the items of a chunk, with those that were split off.
    async fn chunk(&self, number: u32, row: Option<Chunk>) -> Result<Bytes, Failure> {
        let mut lines = Vec::new();
        let mut next = row.map(|row| (number, row));
        let mut objects = 0;
        while let Some((number, row)) = next.take() {
            if row.state != ChunkState::Done {
                break;
            }
            let items = row.items.clone().unwrap_or_else(|| self.job.items_of(number));
            let content = self.object(&row).await?;
            let rest =
                content.split_inclusive(|byte| *byte == b'\n').map(|line| content.slice_ref(line));
            lines.extend(items.into_iter().zip(rest));
            objects += 1;
            if let Some(split) = row.split {
                let row = self.rows(&[split]).await?.into_iter().next().flatten();
                next = row.map(|row| (split, row));
            }
        }
        if objects > 1 {
            lines.sort_by_key(|(item, _)| *item);
        }
        let mut content = Vec::new();
        for (_, line) in lines {
            content.extend_from_slice(&line);
        }
        Ok(content.into())
    }

    async fn object(&self, row: &Chunk) -> Result<Bytes, Failure> {
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
                format!("the object store is out of service; read the results again: {error}"),
            )),
        }
    }
}
