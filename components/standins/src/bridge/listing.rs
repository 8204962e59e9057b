//! What relays list as the results of accepted jobs.

use std::{collections::BTreeSet, iter::zip};

use futures_util::future::join_all;
use serde_json::Value;

use crate::{
    bridge::{Contradiction, Harness, ITEM_EVENTS, Job, Promise},
    fleet::Error,
};

impl Harness {
    /// Waits until all items of jobs have results, and returns what is wrong with them. Two of the
    /// relays list each job.
    pub async fn job_contradictions(&self, relays: &[usize], jobs: &[Job]) -> Vec<Contradiction> {
        let pairs = zip(relays, relays.iter().cycle().skip(1)).cycle();
        let checks = zip(jobs, pairs).map(|(job, (first, second))| async {
            match self.job_contradiction(*first, *second, job).await {
                Ok(()) => Vec::new(),
                Err(contradictions) => contradictions,
            }
        });
        join_all(checks).await.into_iter().flatten().collect()
    }

    /// Returns the jobs that relays list for a caller without a key or with one of no account.
    pub async fn reader_contradictions(
        &self,
        relays: &[usize],
        jobs: &[Job],
    ) -> Vec<Contradiction> {
        let checks = zip(jobs, relays.iter().cycle()).map(|(job, relay)| async move {
            let mut contradictions = Vec::new();
            for key in ["", "kx-unknown"] {
                let reply = self.send(job.query(self.address(*relay), key)).await;
                if let Ok(reply) = reply
                    && reply.status != 401
                    && reply.status != 503
                {
                    let text = format!("{} from relay {relay} for key {key:?}", reply.status);
                    contradictions.push(Contradiction::new(Promise::Reader, &job.id, text));
                }
            }
            contradictions
        });
        join_all(checks).await.into_iter().flatten().collect()
    }

    async fn job_contradiction(
        &self,
        first: usize,
        second: usize,
        job: &Job,
    ) -> Result<(), Vec<Contradiction>> {
        let item = |text| vec![Contradiction::new(Promise::Item, &job.id, text)];
        let late = |error: Error| item(error.to_string());
        let results = self.listing(first, job).await.map_err(late)?;
        let others = self.listing(second, job).await.map_err(late)?;
        let id = |result: &Value| result["Id"].as_str().unwrap_or_default().to_owned();
        let mut ids: Vec<String> = results.iter().map(id).collect();
        ids.sort_unstable();
        if ids != job.items {
            return Err(item(format!("lists the items {ids:?}")));
        }
        if results != others {
            return Err(item(format!("listed as {results:?} and as {others:?}")));
        }
        let texts = results.iter().filter_map(|result| {
            let text = result["Text"].as_str().unwrap_or_default();
            Some(Contradiction::new(broken_promise(text)?, &id(result), format!("text {text:?}")))
        });
        let contradictions: Vec<Contradiction> = texts.collect();
        if contradictions.is_empty() { Ok(()) } else { Err(contradictions) }
    }

    /// Returns the results of a job that a relay lists, when they are as many as its items or more.
    async fn listing(&self, relay: usize, job: &Job) -> Result<Vec<Value>, Error> {
        self.eventually(&format!("all results of a job at relay {relay}"), async || {
            let page: Value = self
                .send(job.query(self.address(relay), &job.key).with_header("wait-ms", "500"))
                .await
                .ok()?
                .json()
                .ok()?;
            let results = page["Results"].as_array()?;
            (results.len() >= job.items.len()).then(|| results.clone())
        })
        .await
    }
}

/// Returns the promise that the text of an item breaks.
fn broken_promise(text: &str) -> Option<Promise> {
    let pieces: Vec<(&str, &str)> = text.lines().filter_map(|line| line.rsplit_once(' ')).collect();
    let versions: BTreeSet<&str> = pieces.iter().map(|(_, version)| *version).collect();
    let events = pieces.iter().map(|(event, _)| *event);
    match events.eq((1..=ITEM_EVENTS).map(|event| format!("piece {event}"))) {
        false => Some(Promise::Item),
        true if versions.len() > 1 => Some(Promise::Version),
        true => None,
    }
}
