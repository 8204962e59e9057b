//! Passes the work of a job on to its new owner when its former owner has lost the store.
//!
//! The former owner cannot commit results and does not learn of the takeover from the store. The new owner
//! therefore asks it, at its `peer_listen`. The question has the new row of the job, on which commits are
//! conditional, so that nothing of the former owner can take effect any more. The former owner ends its runs
//! and answers with the results that it could not commit and the texts of its unfinished items.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_control::relay::{owner, results::Entry};
use cyclamengrade_telemetry::event;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    batch::{Dispatcher, owned::Owned},
    body::Body,
    job::{row, size::encoded_bytes, store},
    online::empty,
    question,
    shared::{Job, lock},
};

/// Path of the question.
pub const PATH: &str = "/job";
/// Timeout of the exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes of encoded texts in an answer. The items of further texts run again.
const MAX_TEXT_BYTES: usize = 2 << 20;
/// Limit on the bytes of an answer, with what is not text.
const MAX_ANSWER_BYTES: usize = MAX_TEXT_BYTES + (1 << 20);
/// Time after the end of a job by its caller in which its owner may turn out to be without the store. Other
/// relays learn this within 2.5 s.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time between two checks whether the owner of an ended job reaches the store.
const NOTICE_PERIOD: Duration = Duration::from_millis(100);
/// Limit on the bytes of a question beyond those of a row.
const QUESTION_BYTES: usize = 4 << 10;

/// Tells the former owner of a job that it was taken over or ended.
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
        let size = |entry: &Entry| encoded_bytes(&entry.text);
        let entries = self.results.uncommitted_entries(MAX_TEXT_BYTES, size);
        let mut bytes: usize = entries.iter().map(size).sum();
        let texts = self.unsaved(1, MAX_TEXT_BYTES).into_iter().filter(|(_, partial)| {
            let with_text = bytes.saturating_add(encoded_bytes(&partial.text));
            let fits = with_text <= MAX_TEXT_BYTES;
            bytes = if fits { with_text } else { bytes };
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
        let Some(work) = ask(address, id, job).await else { return };
        let (results, texts) = owned.adopt(work);
        event!(
            JobPassedOn,
            job:% = id,
            member:% = former.name,
            results = results,
            texts = texts
        );
    }

    /// Tells the owner of a job that the caller has ended it, if it is or soon becomes known that the owner
    /// does not reach the store, where it would see this.
    pub fn notify_end(self: &Arc<Self>, id: &str) {
        let known = self.shared.jobs().get(id).cloned();
        let Some(job) = known.filter(|job| job.row.state == row::State::Ended) else { return };
        let Some(owner) = job.row.owner.clone().filter(|owner| owner.name != self.shared.name)
        else {
            return;
        };
        let (dispatcher, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            let started = Instant::now();
            while started.elapsed() < NOTICE_TIME {
                if let Some(address) = dispatcher.disconnected_address(&owner)
                    && ask(address, &id, &job).await.is_some()
                {
                    return;
                }
                sleep(NOTICE_PERIOD).await;
            }
        });
    }

    /// Returns the address of the owner of a job, if it does not reach the store.
    fn disconnected_address(&self, owner: &row::Owner) -> Option<SocketAddr> {
        let members = self.shared.members();
        let member = members.get(&owner.name)?;
        let is_disconnected =
            member.incarnation == owner.incarnation && !member.health.reaches_store();
        is_disconnected.then_some(member.address)
    }

    /// Answers the new owner of a job, or a relay at which the caller has ended it: ends the runs of the job
    /// and passes its work on. Only a question with a newer row has an effect.
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

    /// Releases a job whose row, of this version, names another owner or says that it was ended. Returns its
    /// work, or `None` if this relay does not run the job or knows a newer row.
    fn release_to(&self, id: &str, version: u64, row: row::Job) -> Option<Work> {
        let reason = match row.state {
            row::State::Ended => "its caller ended it",
            _ if row.is_owned_by(&self.shared.as_owner()) => return None,
            row::State::Open | row::State::Done => "another relay owns it",
        };
        let mut jobs = self.jobs();
        if jobs.get(id)?.job.version >= version {
            return None;
        }
        let mut owned = jobs.remove(id)?;
        // The new owner continues the texts as they are now.
        owned.stop();
        drop(jobs);
        store::record_row(&self.shared, id, version, row);
        event!(JobReleased, job:% = id, reason:% = reason);
        Some(owned.work())
    }
}

/// Tells the former owner of a job its new row, and returns the work that it had not stored.
async fn ask(address: SocketAddr, id: &str, job: &Job) -> Option<Work> {
    let question = Question { job: id.to_owned(), version: job.version, row: job.row.clone() };
    let body = Body::new(serde_json::to_vec(&question).ok()?);
    let exchange = question::send(address, Request::post(PATH), body, MAX_ANSWER_BYTES);
    timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?
}
