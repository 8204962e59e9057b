//! Ledger of the replies to callers, and its comparison with what the stand-ins ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cyclamengrade_caller::backend::{Item, Job, JobState};
use tokio::time::sleep;

use super::{Answer, Completion, Error, Fleet, POLL_PERIOD, VERSION};
use crate::{
    answer,
    client::{self, Reply},
    engine, service,
};

/// Time limit for waiting until a job has ended.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// What the reply told a caller about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It ran, and the caller has the complete answer.
    Answered,
    /// It certainly did not run.
    NotRun,
    /// It may have run, or the caller got no reply at all.
    Unknown,
}

/// Records the replies to all callers of a test.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<Records>,
}

#[derive(Debug, Default)]
struct Records {
    completions: Vec<(Completion, Outcome, String)>,
    services: BTreeMap<String, Vec<Outcome>>,
    jobs: BTreeMap<String, Vec<Item>>,
    cancelled: BTreeSet<String>,
}

impl Ledger {
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a completion and records its outcome. Each prompt must be used only once, because runs
    /// are counted by prompt.
    pub async fn complete(&self, fleet: &Fleet, daemon: usize, completion: Completion) -> Answer {
        let result = fleet.complete(daemon, &completion).await;
        self.record_completion(completion, result)
    }

    /// Records the outcome of a completion. A failure to connect counts as not run.
    pub fn record_completion(
        &self,
        completion: Completion,
        result: Result<Answer, client::Error>,
    ) -> Answer {
        let answer = result.unwrap_or_else(|error| Answer {
            error: Some(error.to_string()),
            not_run: matches!(error, client::Error::Connect(_)),
            ..Answer::default()
        });
        let outcome = match (answer.complete, answer.not_run) {
            (true, _) => Outcome::Answered,
            (false, true) => Outcome::NotRun,
            (false, false) => Outcome::Unknown,
        };
        self.lock().completions.push((completion, outcome, answer.text.clone()));
        answer
    }

    /// Calls the plain service with an idempotency key and records the outcome.
    pub async fn call_service(
        &self,
        fleet: &Fleet,
        daemon: usize,
        key: &str,
    ) -> Result<Reply, client::Error> {
        let result = fleet.call_service(daemon, key, Duration::from_secs(20)).await;
        let outcome = match &result {
            Ok(reply) if reply.status == 200 => Outcome::Answered,
            Ok(reply) if reply.not_run() => Outcome::NotRun,
            Err(client::Error::Connect(_)) => Outcome::NotRun,
            Ok(_) | Err(_) => Outcome::Unknown,
        };
        self.lock().services.entry(key.to_owned()).or_default().push(outcome);
        result
    }

    /// Submits a job and records it if it was accepted.
    pub async fn submit(
        &self,
        fleet: &Fleet,
        daemon: usize,
        key: &str,
        items: &[Item],
    ) -> Result<Job, Error> {
        let reply = fleet.submit(daemon, key, Duration::from_secs(600), items).await?;
        if !(200..300).contains(&reply.status) {
            return Err(Error::Refused(reply.status, reply.text()));
        }
        let job: Job = reply.json()?;
        self.lock().jobs.insert(job.id.clone(), items.to_vec());
        Ok(job)
    }

    /// Records that the caller of a job got the reply that it is cancelled.
    pub fn record_cancelled(&self, job: &Job) {
        self.lock().cancelled.insert(job.id.clone());
    }

    /// Returns all contradictions between the replies to callers and what the stand-ins ran, after
    /// waiting until all jobs have ended. `daemon` is the number of the daemon that is asked about
    /// jobs.
    pub async fn contradictions(&self, fleet: &Fleet, daemon: usize) -> Result<Vec<String>, Error> {
        let mut contradictions = Vec::new();
        self.check_jobs(fleet, daemon, &mut contradictions).await?;
        self.check_completions(fleet, &mut contradictions).await?;
        self.check_services(fleet, &mut contradictions).await?;
        Ok(contradictions)
    }

    async fn check_jobs(
        &self,
        fleet: &Fleet,
        daemon: usize,
        contradictions: &mut Vec<String>,
    ) -> Result<(), Error> {
        let jobs = self.lock().jobs.clone();
        let cancelled = self.lock().cancelled.clone();
        for (id, items) in jobs {
            let job = await_job(fleet, daemon, &id).await?;
            let results = fleet.results(daemon, &id).await?;
            let by_id: BTreeMap<_, _> =
                results.iter().map(|result| (result.id.as_str(), result)).collect();
            if by_id.len() != results.len() {
                contradictions.push(format!("job {id} has more than one result for an item"));
            }
            let expected = match cancelled.contains(&id) {
                true => JobState::Cancelled,
                false => JobState::Completed,
            };
            if job.state != expected {
                contradictions.push(format!("job {id} is {:?} instead of {expected:?}", job.state));
            }
            for item in &items {
                let Some(result) = by_id.get(item.id.as_str()) else {
                    if expected == JobState::Completed {
                        contradictions.push(format!("item {} of job {id} has no result", item.id));
                    }
                    continue;
                };
                let can_fail = [answer::FAIL_MARKER, answer::KILL_MARKER]
                    .iter()
                    .any(|marker| item.prompt.contains(marker));
                let expected_text = answer::text(&item.prompt, VERSION, item.max_tokens);
                let is_correct = match &result.text {
                    Some(text) => *text == expected_text && !can_fail,
                    None => can_fail && result.error.is_some(),
                };
                if !is_correct {
                    contradictions
                        .push(format!("item {} of job {id} has the result {result:?}", item.id));
                }
            }
        }
        Ok(())
    }

    async fn check_completions(
        &self,
        fleet: &Fleet,
        contradictions: &mut Vec<String>,
    ) -> Result<(), Error> {
        let completions = self.lock().completions.clone();
        let mut started: BTreeMap<String, u64> = BTreeMap::new();
        for engine in &fleet.engines {
            // The counters of a killed engine are lost.
            let Ok(runs) = engine.read::<engine::Runs>(&fleet.client, "/_runs").await else {
                continue;
            };
            for (prompt, runs) in runs.prompts {
                *started.entry(prompt).or_default() += runs.started;
            }
        }
        for (completion, outcome, text) in completions {
            let prompt = &completion.prompt;
            let runs = started.get(prompt).copied().unwrap_or(0);
            if outcome == Outcome::Answered && text != completion.expected() {
                contradictions.push(format!("{prompt:?} has the wrong answer {text:?}"));
            }
            if !completion.expected().starts_with(&text) {
                contradictions.push(format!(
                    "{prompt:?} has the answer {text:?}, which is no prefix of the right one"
                ));
            }
            if outcome == Outcome::NotRun && runs > 0 {
                contradictions
                    .push(format!("{prompt:?} was reported as not run but ran {runs} times"));
            }
            if completion.idempotent == Some(false) && runs > 1 {
                contradictions.push(format!("{prompt:?} is not idempotent but ran {runs} times"));
            }
        }
        Ok(())
    }

    async fn check_services(
        &self,
        fleet: &Fleet,
        contradictions: &mut Vec<String>,
    ) -> Result<(), Error> {
        let mut keys: BTreeMap<String, u64> = BTreeMap::new();
        for service in &fleet.services {
            let runs: service::Runs = service.read(&fleet.client, "/_runs").await?;
            for (key, count) in runs.keys {
                *keys.entry(key).or_default() += count;
            }
        }
        for (key, outcomes) in &self.lock().services {
            let runs = keys.get(key).copied().unwrap_or(0);
            if runs > 1 {
                contradictions.push(format!("service call {key} ran {runs} times"));
            }
            if outcomes.contains(&Outcome::Answered) && runs == 0 {
                contradictions.push(format!("service call {key} was answered but did not run"));
            }
            if outcomes.iter().all(|outcome| *outcome == Outcome::NotRun) && runs > 0 {
                contradictions.push(format!("service call {key} was reported as not run but ran"));
            }
        }
        Ok(())
    }
}

/// Waits until a job has ended and returns it. Returns it as it is if it is still open after the
/// time limit.
async fn await_job(fleet: &Fleet, daemon: usize, id: &str) -> Result<Job, Error> {
    let start = Instant::now();
    loop {
        let job = fleet.job(daemon, id).await;
        match job {
            Ok(job) if job.state != JobState::Open || start.elapsed() > JOB_TIMEOUT => {
                return Ok(job);
            }
            Err(error) if start.elapsed() > JOB_TIMEOUT => return Err(error),
            Ok(_) | Err(_) => sleep(POLL_PERIOD).await,
        }
    }
}
