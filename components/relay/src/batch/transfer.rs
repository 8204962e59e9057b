//! Passes the work of a job on to its new owner when its former owner has lost the store.
//!
//! The former owner cannot commit results and does not learn of the takeover from the store. The new owner
//! therefore asks it, at its `peer_listen`. The question has the new row of the job, on which commits are
//! conditional, so that nothing of the former owner can take effect any more. The former owner ends its runs
//! and answers with the results that it could not commit and the texts of its unfinished items.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{owner, results::Entry};
use cyclamengrade_telemetry::event;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    batch::{Dispatcher, owned::Owned},
    body::Body,
    job::{row, store},
    online::empty,
    question,
    shared::{Job, lock},
};

/// Path of the question.
pub const PATH: &str = "/job";
/// Timeout of the exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes of text in an answer. The items of further texts run again.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Limit on the bytes of an answer: JSON escapes at most double the length of an ordinary text.
const MAX_ANSWER_BYTES: usize = 3 * MAX_TEXT_BYTES;
/// Limit on the bytes of a question beyond those of a row.
const QUESTION_BYTES: usize = 4 << 10;

/// Tells the former owner of a job that it was taken over.
#[derive(Serialize, Deserialize)]
struct Question {
    job: String,
    /// Version of the row.
    version: u64,
    row: row::Job,
}

/// Result that is not committed.
#[derive(Serialize, Deserialize)]
struct Finished {
    /// Position of the item in the job.
    item: usize,
    state: row::FinalState,
    text: String,
}

/// What a former owner has that is not in the store. Items are identified by their positions in the job.
#[derive(Default, Serialize, Deserialize)]
pub struct Work {
    #[serde(default)]
    results: Vec<Finished>,
    /// Texts of unfinished items.
    #[serde(default)]
    texts: BTreeMap<usize, row::Partial>,
    /// Failures that count towards the limit of an item.
    #[serde(default)]
    failures: BTreeMap<usize, u32>,
}

impl Owned {
    /// Returns what is not in the store, with a limited number of bytes.
    fn work(&self) -> Work {
        let entries = self.results.uncommitted_entries(MAX_TEXT_BYTES);
        let mut bytes: usize = entries.iter().map(|entry| entry.text.len()).sum();
        let texts = self.unsaved(1, MAX_TEXT_BYTES).into_iter().filter(|(_, partial)| {
            let fits = bytes + partial.text.len() <= MAX_TEXT_BYTES;
            bytes += if fits { partial.text.len() } else { 0 };
            fits
        });
        let texts = texts.collect();
        let finished = |entry: Entry| {
            let Entry { item, state, text } = entry;
            Finished { item, state: state.into(), text }
        };
        let progress = self.results.progress();
        let failures = (0..self.items.len()).map(|item| (item, progress.failures(item)));
        Work {
            results: entries.into_iter().map(finished).collect(),
            texts,
            failures: failures.filter(|(_, count)| *count > 0).collect(),
        }
    }

    /// Adds the work of the former owner to what the store has. Returns the numbers of results and texts
    /// that were added.
    fn adopt(&mut self, work: Work) -> (usize, usize) {
        for (item, count) in work.failures {
            self.failures_changed |= self.results.raise_failures(item, count);
        }
        let entries = work.results.into_iter().map(|finished| {
            let Finished { item, state, text } = finished;
            Entry { item, state: state.into(), text }
        });
        let results = self.results.adopt(entries);
        let progress = self.results.progress();
        let is_usable = |item: usize, partial: &row::Partial| {
            progress.is_waiting(item) && partial.software.is_some() && partial.is_sound()
        };
        let texts: BTreeMap<usize, row::Partial> =
            work.texts.into_iter().filter(|(item, text)| is_usable(*item, text)).collect();
        let count = texts.len();
        let items: Vec<usize> = texts.keys().copied().collect();
        self.restore(texts);
        for item in items {
            if let Some(transcript) = self.transcripts.get(&item) {
                lock(transcript).saved = None;
            }
        }
        let progress = self.results.progress();
        self.transcripts.retain(|item, _| progress.is_waiting(*item));
        (results, count)
    }
}

impl Dispatcher {
    /// Asks the former owner of a job, which this relay has taken over, for its work, and adds it. A former
    /// owner that does not answer in time costs what is not in the store.
    pub(super) async fn adopt_work(
        &self,
        id: &str,
        job: &Job,
        former: &row::Owner,
        owned: &mut Owned,
    ) {
        let instance = owner::Instance { name: &former.name, incarnation: former.incarnation };
        if !owner::holds_work(self.shared.as_instance(), instance, &self.shared.peers()) {
            return;
        }
        let address = self.shared.members().get(&former.name).map(|member| member.address);
        let Some(address) = address else { return };
        let question = Question { job: id.to_owned(), version: job.version, row: job.row.clone() };
        let Ok(body) = serde_json::to_vec(&question) else { return };
        let exchange =
            question::send::<Work>(address, Request::post(PATH), Body::new(body), MAX_ANSWER_BYTES);
        let Ok(Some(work)) = timeout(EXCHANGE_TIMEOUT, exchange).await else { return };
        let (results, texts) = owned.adopt(work);
        event!(
            JobPassedOn,
            job:% = id,
            member:% = former.name,
            results = results,
            texts = texts
        );
    }

    /// Answers the new owner of a job: ends the runs of the job and passes its work on. Only a question with
    /// a newer row, of another owner, has an effect.
    pub async fn pass_on(&self, request: Request<Incoming>) -> Response<Body> {
        let max_bytes = self.shared.row_bytes.saturating_add(QUESTION_BYTES);
        let Ok(body) = Limited::new(request.into_body(), max_bytes).collect().await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Ok(Question { job: id, version, row }) = serde_json::from_slice(&body.to_bytes())
        else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let work = self.release_to(&id, version, row);
        match work.map(|work| serde_json::to_vec(&work)) {
            Some(Ok(body)) => Response::new(Body::new(body)),
            Some(Err(_)) => empty(StatusCode::INTERNAL_SERVER_ERROR),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Releases a job whose row, of this version, names another owner. Returns its work, or `None` if this
    /// relay does not run the job or knows a newer row.
    fn release_to(&self, id: &str, version: u64, row: row::Job) -> Option<Work> {
        if row.is_owned_by(&self.shared.as_owner()) {
            return None;
        }
        let mut jobs = self.jobs();
        if jobs.get(id)?.job.version >= version {
            return None;
        }
        let mut owned = jobs.remove(id)?;
        // The new owner continues the texts as they are now.
        owned.stop();
        drop(jobs);
        store::record_row(&self.shared, id, version, row);
        event!(JobReleased, job:% = id, reason:% = "another relay owns it");
        Some(owned.work())
    }
}
