//! Client of a daemon for operators and for batch jobs.

use std::{
    io::Write,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_caller::backend::{ConfigurationChange, HistoryEntry, Job, Revision, Upstream};
use tokio::time;

use crate::{
    Error, Plan,
    wire::{Call, Server},
};

/// Newest revisions that are searched for a change whose reply was lost.
const SEARCHED_REVISIONS: usize = 100;

/// How a call whose effect is identified is repeated after a lost reply.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Calls in all.
    pub count: u32,
    /// Time between two calls.
    pub pause: Duration,
}

impl Default for Attempts {
    fn default() -> Self {
        Self { count: 4, pause: Duration::from_millis(500) }
    }
}

/// Client of one daemon.
#[derive(Clone, Debug)]
pub struct Admin {
    server: Server,
    attempts: Attempts,
}

impl Admin {
    /// A client for the daemon at `address`, a host and a port.
    pub fn new(address: impl Into<String>) -> Self {
        let server = Server { address: address.into(), token: None, admin_token: None };
        Self { server, attempts: Attempts::default() }
    }

    /// Sets the bearer token of the client account, for batch jobs.
    pub fn with_token(mut self, token: impl Into<String>) -> Self {
        self.server.token = Some(token.into());
        self
    }

    /// Sets the bearer token of operators, for configuration and upstreams: the daemon's setting
    /// `admin_token`.
    pub fn with_admin_token(mut self, token: impl Into<String>) -> Self {
        self.server.admin_token = Some(token.into());
        self
    }

    /// Sets how calls are repeated after a lost reply.
    pub fn with_attempts(self, attempts: Attempts) -> Self {
        Self { attempts, ..self }
    }

    /// The configuration in force at the daemon.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn configuration(&self) -> Result<Revision, Error> {
        self.server.json(Call::get("/admin/config")).await
    }

    /// The newest revisions, newest first.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, Error> {
        self.server.json(Call::get(format!("/admin/config/history?limit={limit}"))).await
    }

    /// The upstreams as the daemon sees them.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn upstreams(&self) -> Result<Vec<Upstream>, Error> {
        self.server.json(Call::get("/admin/upstreams")).await
    }

    /// Applies a plan. A lost reply is resolved: the call is repeated with the same change
    /// identifier, which takes effect once, and the history is searched for the identifier.
    ///
    /// # Errors
    ///
    /// The daemon refused the plan, or it stayed unknown whether it took effect.
    pub async fn apply(&self, plan: &Plan, author: &str) -> Result<Revision, Error> {
        let document =
            serde_json::to_value(&plan.document).map_err(|cause| self.server.protocol(cause))?;
        let apply = ConfigurationChange {
            expected_revision: plan.base_revision,
            change_id: plan.change_id.clone(),
            author: author.into(),
            document: document.clone(),
        };
        let body = serde_json::to_vec(&apply).map_err(|cause| self.server.protocol(cause))?;
        let body = Bytes::from(body);
        let call = || Call::post("/admin/config", "application/json", body.clone());
        let error = match self.repeat(call).await {
            Ok(revision) => return Ok(revision),
            Err(error) => error,
        };
        if !error.is_conflict() && !error.may_have_taken_effect() {
            return Err(error);
        }
        match self.history(SEARCHED_REVISIONS).await {
            Ok(entries) => match entries.iter().find(|entry| entry.change_id == plan.change_id) {
                Some(entry) => Ok(Revision {
                    revision: entry.revision,
                    digest: plan.document.digest(),
                    document,
                }),
                None => Err(error),
            },
            Err(_) => Err(error),
        }
    }

    /// Submits a batch job; a lost reply is resolved by repeating the call with the same key.
    ///
    /// # Errors
    ///
    /// The daemon refused the job, or it stayed unknown whether it was accepted.
    pub async fn submit(
        &self,
        deployment: &str,
        key: &str,
        due: Duration,
        input: impl Into<Bytes>,
    ) -> Result<Job, Error> {
        let input = input.into();
        let path = format!("/v1/batches?deployment={}&due_s={}", encode(deployment), due.as_secs());
        let call = || {
            Call::post(&path, "application/jsonl", input.clone())
                .with_header("idempotency-key", key)
        };
        self.repeat(call).await
    }

    /// State of a batch job.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn job(&self, id: &str) -> Result<Job, Error> {
        self.server.json(Call::get(format!("/v1/batches/{}", encode(id)))).await
    }

    /// Cancels a batch job and returns its final state. Repeating the call does no harm.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn cancel(&self, id: &str) -> Result<Job, Error> {
        let path = format!("/v1/batches/{}/cancel", encode(id));
        self.repeat(|| Call::post(&path, "application/json", Bytes::new())).await
    }

    /// Writes the committed results of a batch job to `output` and returns their size in bytes.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call, or the output cannot be written.
    pub async fn results(&self, id: &str, output: &mut dyn Write) -> Result<u64, Error> {
        let call = Call::get(format!("/v1/batches/{}/results", encode(id)));
        let mut body = self.server.send(call).await?.into_body();
        let mut size = 0;
        while let Some(part) = self.server.part(&mut body).await? {
            output
                .write_all(&part)
                .map_err(|cause| Error::Argument(format!("cannot write the results: {cause}")))?;
            size += part.len() as u64;
        }
        Ok(size)
    }

    /// Waits until a batch job has ended, reading its state every `period`; `progress` gets each
    /// state. A daemon that cannot be reached is tried again for `timeout`.
    ///
    /// # Errors
    ///
    /// The daemon refused the call or could not be reached for `timeout`.
    pub async fn wait(
        &self,
        id: &str,
        period: Duration,
        timeout: Duration,
        mut progress: impl FnMut(&Job),
    ) -> Result<Job, Error> {
        use cyclamengrade_caller::backend::JobState;

        let mut reached = Instant::now();
        loop {
            match self.job(id).await {
                Ok(job) => {
                    reached = Instant::now();
                    progress(&job);
                    if job.state != JobState::Open {
                        return Ok(job);
                    }
                }
                Err(error) if !may_pass(&error) || reached.elapsed() > timeout => {
                    return Err(error);
                }
                Err(_) => {}
            }
            time::sleep(period).await;
        }
    }

    /// Repeats a call whose effect is identified by a key until there is an answer.
    async fn repeat<T: serde::de::DeserializeOwned>(
        &self,
        call: impl Fn() -> Call,
    ) -> Result<T, Error> {
        let mut lost = None;
        for attempt in 0..self.attempts.count.max(1) {
            if attempt > 0 {
                time::sleep(self.attempts.pause).await;
            }
            match self.server.json(call()).await {
                Err(error) if error.may_have_taken_effect() => lost = Some(error),
                // After a lost reply an unreachable daemon says nothing about the first call.
                Err(Error::Unreachable { .. }) if lost.is_some() => {}
                other => return other,
            }
        }
        Err(lost.unwrap_or_else(|| Error::Argument("no attempt was allowed".into())))
    }
}

/// Whether the same call may succeed a little later.
fn may_pass(error: &Error) -> bool {
    match error {
        Error::Unreachable { .. } | Error::Lost { .. } => true,
        Error::Refused { kind, .. } => {
            matches!(kind.as_str(), "unavailable" | "overloaded" | "limited" | "expired")
        }
        Error::Protocol { .. } | Error::Argument(_) => false,
    }
}

/// Percent-encodes everything but unreserved characters.
fn encode(text: &str) -> String {
    use std::fmt::Write as _;

    text.bytes().fold(String::with_capacity(text.len()), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}
