//! Client of a daemon for its admin calls and for batch jobs.

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

/// Number of newest revisions that are searched for a change whose reply was lost.
const MAX_SEARCHED_REVISIONS: usize = 100;

/// Retries of an idempotent call whose reply was lost. The default is 4 calls, 500 ms apart.
///
/// Only calls that carry a key or an identifier, or that may be repeated without harm, are retried:
/// [`Admin::apply`], [`Admin::submit`] and [`Admin::cancel`].
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Total number of calls, including the first one. 0 counts as 1.
    pub count: u32,
    /// Time from the failure of a call to the next call.
    pub interval: Duration,
}

impl Default for Attempts {
    fn default() -> Self {
        Self { count: 4, interval: Duration::from_millis(500) }
    }
}

/// Client of one daemon. Every call opens a connection of its own.
#[derive(Clone, Debug)]
pub struct Admin {
    server: Server,
    attempts: Attempts,
}

impl Admin {
    /// Creates a client of the daemon at `address`, a host and a port, without tokens.
    pub fn new(address: impl Into<String>) -> Self {
        let server = Server { address: address.into(), token: None, admin_token: None };
        Self { server, attempts: Attempts::default() }
    }

    /// Sets the bearer token of the client account, which batch jobs need. Admin calls send it too
    /// unless there is an [admin token](Self::with_admin_token).
    pub fn with_token(mut self, token: impl Into<String>) -> Self {
        self.server.token = Some(token.into());
        self
    }

    /// Sets the bearer token of operators, which calls about the configuration and the upstreams
    /// send. It is the value of the setting `admin_token` of the daemon.
    pub fn with_admin_token(mut self, token: impl Into<String>) -> Self {
        self.server.admin_token = Some(token.into());
        self
    }

    /// Sets how often and at which interval calls are retried after a lost reply.
    pub fn with_attempts(self, attempts: Attempts) -> Self {
        Self { attempts, ..self }
    }

    /// Returns the configuration in force at the daemon.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn configuration(&self) -> Result<Revision, Error> {
        self.server.json(Call::get("/admin/config")).await
    }

    /// Returns at most `limit` revisions of the configuration, newest first.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, Error> {
        self.server.json(Call::get(format!("/admin/config/history?limit={limit}"))).await
    }

    /// Returns the upstreams that the daemon knows, with their state at this daemon.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn upstreams(&self) -> Result<Vec<Upstream>, Error> {
        self.server.json(Call::get("/admin/upstreams")).await
    }

    /// Applies a plan and returns the new revision. `author` is the name that the history shows.
    ///
    /// After a lost reply the call is repeated with the same change identifier, which takes effect at
    /// most once. When the outcome is still unknown, or the daemon reports a conflict, the 100 newest
    /// revisions are searched for the identifier, because the conflict may come from the first call.
    ///
    /// # Errors
    ///
    /// The daemon refused the plan, or the outcome remains unknown.
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
        let error = match self.send_with_retries(call).await {
            Ok(revision) => return Ok(revision),
            Err(error) => error,
        };
        if !error.is_conflict() && !error.may_have_taken_effect() {
            return Err(error);
        }
        match self.history(MAX_SEARCHED_REVISIONS).await {
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

    /// Submits a batch job to `deployment`, with `input` as lines of JSON.
    ///
    /// `key` is the idempotency key: after a lost reply the call is repeated with the same key, and the
    /// daemon creates one job for it. `due` is the time until the job is due, counted from now and
    /// sent in whole seconds.
    ///
    /// # Errors
    ///
    /// The daemon refused the job, or it remains unknown whether the job was accepted.
    pub async fn submit(
        &self,
        deployment: &str,
        key: &str,
        due: Duration,
        input: impl Into<Bytes>,
    ) -> Result<Job, Error> {
        let input = input.into();
        let path = format!(
            "/v1/batches?deployment={}&due_s={}",
            percent_encode(deployment),
            due.as_secs()
        );
        let call = || {
            Call::post(&path, "application/jsonl", input.clone())
                .with_header("idempotency-key", key)
        };
        self.send_with_retries(call).await
    }

    /// Returns the state of a batch job.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn job(&self, id: &str) -> Result<Job, Error> {
        self.server.json(Call::get(format!("/v1/batches/{}", percent_encode(id)))).await
    }

    /// Cancels a batch job and returns its final state. The call is idempotent and is repeated after a
    /// lost reply.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable or refused the call.
    pub async fn cancel(&self, id: &str) -> Result<Job, Error> {
        let path = format!("/v1/batches/{}/cancel", percent_encode(id));
        self.send_with_retries(|| Call::post(&path, "application/json", Bytes::new())).await
    }

    /// Writes the committed results of a batch job to `output`, as lines of JSON, and returns their
    /// size in bytes.
    ///
    /// # Errors
    ///
    /// The daemon is unreachable, refused the call or ended the response early, or the output cannot
    /// be written. `output` may hold a part of the results then.
    pub async fn results(&self, id: &str, output: &mut dyn Write) -> Result<u64, Error> {
        let call = Call::get(format!("/v1/batches/{}/results", percent_encode(id)));
        let mut body = self.server.send(call).await?.into_body();
        let mut size = 0;
        while let Some(data) = self.server.next_data(&mut body).await? {
            output
                .write_all(&data)
                .map_err(|cause| Error::Argument(format!("cannot write the results: {cause}")))?;
            size += data.len() as u64;
        }
        Ok(size)
    }

    /// Waits until a batch job has ended and returns its final state. Reads the state every `period`
    /// and passes each state to `progress`.
    ///
    /// Transient errors, such as those of a daemon that restarts, are retried until `timeout` has
    /// passed since the last state was read.
    ///
    /// # Errors
    ///
    /// The daemon refused the call, or no state could be read for `timeout`.
    pub async fn wait(
        &self,
        id: &str,
        period: Duration,
        timeout: Duration,
        mut progress: impl FnMut(&Job),
    ) -> Result<Job, Error> {
        use cyclamengrade_caller::backend::JobState;

        let mut last_read = Instant::now();
        loop {
            match self.job(id).await {
                Ok(job) => {
                    last_read = Instant::now();
                    progress(&job);
                    if job.state != JobState::Open {
                        return Ok(job);
                    }
                }
                Err(error) if !is_transient(&error) || last_read.elapsed() > timeout => {
                    return Err(error);
                }
                Err(_) => {}
            }
            time::sleep(period).await;
        }
    }

    /// Sends an idempotent call, and repeats it while the outcome is unknown and attempts are left.
    async fn send_with_retries<T: serde::de::DeserializeOwned>(
        &self,
        call: impl Fn() -> Call,
    ) -> Result<T, Error> {
        let mut unresolved = None;
        for attempt in 0..self.attempts.count.max(1) {
            if attempt > 0 {
                time::sleep(self.attempts.interval).await;
            }
            match self.server.json(call()).await {
                Err(error) if error.may_have_taken_effect() => unresolved = Some(error),
                // An earlier call may have taken effect, so its error is the one to report.
                Err(Error::Unreachable { .. }) if unresolved.is_some() => {}
                other => return other,
            }
        }
        Err(unresolved.unwrap_or_else(|| Error::Argument("no call was made".into())))
    }
}

/// Returns whether the same call may succeed later.
fn is_transient(error: &Error) -> bool {
    match error {
        Error::Unreachable { .. } | Error::ReplyLost { .. } => true,
        Error::Refused { kind, .. } => {
            matches!(kind.as_str(), "unavailable" | "overloaded" | "limited" | "expired")
        }
        Error::Protocol { .. } | Error::Argument(_) => false,
    }
}

/// Percent-encodes every byte that is not an unreserved character of a URI.
fn percent_encode(text: &str) -> String {
    use std::fmt::Write as _;

    text.bytes().fold(String::with_capacity(text.len()), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a `String` cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}
