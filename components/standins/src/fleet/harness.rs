//! Harness for process tests: a fleet whose replies to callers are recorded and verified.

use std::sync::Arc;

use cyclamengrade_caller::backend::Item;
use serde_json::json;
use tokio::task::JoinHandle;

use super::{Answer, Completion, Error, Fleet, Ledger, Plan, complete};
use crate::client::Client;

/// A fleet with small chunks and fast engines, and a ledger of the replies to callers.
#[derive(Debug)]
pub struct Harness {
    pub fleet: Fleet,
    pub ledger: Arc<Ledger>,
}

impl Harness {
    /// Starts a fleet of two daemons, three engines and one service.
    pub async fn start() -> Result<Self, Error> {
        Self::start_plan(Plan::new(2, 3, 1)).await
    }

    /// Starts a fleet from a plan, to which small chunks and short engine steps are added.
    pub async fn start_plan(plan: Plan) -> Result<Self, Error> {
        let plan = plan
            .with_settings(&json!({"limits": {"chunk_items": 16}}))
            .with_engine_arguments(["--step-ms", "5", "--stream-ms", "0.2"]);
        Ok(Self { fleet: Fleet::start(plan).await?, ledger: Arc::new(Ledger::new()) })
    }

    /// Waits until all jobs have ended, as the daemon with this number reports, and compares the
    /// replies to callers with what the stand-ins ran.
    ///
    /// # Errors
    ///
    /// There are contradictions, all of which the error lists, or a call failed.
    pub async fn verify(&self, daemon: usize) -> Result<(), Error> {
        let found = self.ledger.contradictions(&self.fleet, daemon).await?;
        match found.is_empty() {
            true => Ok(()),
            false => Err(Error::Contradictions(found)),
        }
    }

    /// Starts a task that sends a completion with a client of its own and records its outcome in the
    /// ledger.
    pub fn spawn(&self, daemon: usize, completion: Completion) -> JoinHandle<Answer> {
        let ledger = Arc::clone(&self.ledger);
        let address = self.fleet.daemons[daemon].address;
        tokio::spawn(async move {
            let result = complete(&Client::new(), address, &completion).await;
            ledger.record_completion(completion, result)
        })
    }

    /// Waits until at least one item of a job has succeeded.
    pub async fn await_progress(&self, daemon: usize, job: &str) -> Result<(), Error> {
        self.fleet
            .eventually("results of the job", async || {
                let job = self.fleet.job(daemon, job).await.ok()?;
                (job.succeeded > 0).then_some(())
            })
            .await
    }
}

/// Returns items of a job. Their prompts begin with `name`, so that jobs with different names share
/// no prompt.
pub fn items(name: &str, count: usize, max_tokens: u32) -> Vec<Item> {
    let item = |number| Item {
        id: format!("label-{number}"),
        prompt: format!("{name} {number}: wash felt by hand"),
        max_tokens,
    };
    (0..count).map(item).collect()
}
