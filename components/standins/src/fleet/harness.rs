//! A fleet with a ledger, for process tests.

use std::sync::Arc;

use cyclamengrade_caller::backend::Item;
use serde_json::json;
use tokio::task::JoinHandle;

use super::{Answer, Completion, Error, Fleet, Ledger, Plan, complete};
use crate::client::Client;

/// A fleet with small chunks and fast engines, and a ledger of what callers are told.
#[derive(Debug)]
pub struct Harness {
    /// The fleet.
    pub fleet: Fleet,
    /// What callers are told.
    pub ledger: Arc<Ledger>,
}

impl Harness {
    /// Starts two daemons, three engines and a service.
    pub async fn start() -> Result<Self, Error> {
        Self::start_plan(Plan::new(2, 3, 1)).await
    }

    /// Starts a fleet.
    pub async fn start_plan(plan: Plan) -> Result<Self, Error> {
        let plan = plan
            .with_settings(&json!({"limits": {"chunk_items": 16}}))
            .with_engine_arguments(["--step-ms", "5", "--stream-ms", "0.2"]);
        Ok(Self { fleet: Fleet::start(plan).await?, ledger: Arc::new(Ledger::new()) })
    }

    /// Fails with all contradictions between what callers were told and what ran. Waits until the
    /// jobs have ended at the daemon with this number.
    pub async fn verify(&self, daemon: usize) -> Result<(), Error> {
        let found = self.ledger.contradictions(&self.fleet, daemon).await?;
        match found.is_empty() {
            true => Ok(()),
            false => Err(Error::Contradictions(found)),
        }
    }

    /// Starts a completion whose outcome goes to the ledger.
    pub fn spawn(&self, daemon: usize, completion: Completion) -> JoinHandle<Answer> {
        let ledger = Arc::clone(&self.ledger);
        let address = self.fleet.daemons[daemon].address;
        tokio::spawn(async move {
            let result = complete(&Client::new(), address, &completion).await;
            ledger.record_completion(completion, result)
        })
    }

    /// Waits until some items of a job have results.
    pub async fn await_progress(&self, daemon: usize, job: &str) -> Result<(), Error> {
        self.fleet
            .eventually("results of the job", async || {
                let job = self.fleet.job(daemon, job).await.ok()?;
                (job.succeeded > 0).then_some(())
            })
            .await
    }
}

/// Items of a job, with prompts that no other name gives.
pub fn items(name: &str, count: usize, max_tokens: u32) -> Vec<Item> {
    let item = |number| Item {
        id: format!("label-{number}"),
        prompt: format!("{name} {number}: wash felt by hand"),
        max_tokens,
    };
    (0..count).map(item).collect()
}
