//! Metrics of one online request.

use std::time::Instant;

use cyclamengrade_telemetry::metrics::{
    ATTEMPTS, BETWEEN_TOKENS_SECONDS, CONNECTIONS_SILENT, FIRST_TOKEN_SECONDS, REFUSALS,
    REQUEST_SECONDS, REQUESTS, REQUESTS_IN_FLIGHT,
};
use metrics::{counter, gauge, histogram};

/// Outcome of a request whose caller went away.
const ABANDONED: &str = "abandoned";

/// Measures one request; counts it as abandoned when dropped early.
pub(super) struct Meter {
    deployment: String,
    arrived: Instant,
    first: Option<Instant>,
    attempts: u32,
    ended: bool,
}

impl Meter {
    pub(super) fn new(deployment: &str) -> Self {
        gauge!(REQUESTS_IN_FLIGHT, "deployment" => deployment.to_owned()).increment(1.0);
        Self {
            deployment: deployment.to_owned(),
            arrived: Instant::now(),
            first: None,
            attempts: 0,
            ended: false,
        }
    }

    /// Counts an attempt that starts while `running` others run, after `received` tokens.
    pub(super) fn attempt(&mut self, running: usize, received: u32) {
        let reason = match (self.attempts, running, received) {
            (0, ..) => "first",
            (_, 1.., _) => "hedge",
            (_, 0, 0) => "retry",
            (_, 0, _) => "resume",
        };
        self.attempts += 1;
        counter!(ATTEMPTS, "deployment" => self.deployment.clone(), "reason" => reason)
            .increment(1);
    }

    /// Counts a connection that went silent.
    pub(super) fn silent(&self) {
        counter!(CONNECTIONS_SILENT, "deployment" => self.deployment.clone()).increment(1);
    }

    /// Measures the time to the first token.
    pub(super) fn first_token(&mut self, now: Instant) {
        if self.first.is_none() {
            self.first = Some(now);
            histogram!(FIRST_TOKEN_SECONDS, "deployment" => self.deployment.clone())
                .record(now.duration_since(self.arrived));
        }
    }

    /// Measures a whole answer.
    pub(super) fn whole(&mut self, tokens: u32) {
        let now = Instant::now();
        if let Some(first) = self.first
            && tokens > 1
        {
            histogram!(BETWEEN_TOKENS_SECONDS, "deployment" => self.deployment.clone())
                .record(now.duration_since(first) / (tokens - 1));
        }
        self.end("ok");
    }

    /// Counts a request that failed, by kind.
    pub(super) fn failed(&mut self, failure: &cyclamengrade_caller::Failure) {
        let kind = failure.kind.name();
        if failure.not_run {
            counter!(REFUSALS, "deployment" => self.deployment.clone(), "kind" => kind)
                .increment(1);
        }
        self.end(kind);
    }

    fn end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let deployment = || self.deployment.clone();
        counter!(REQUESTS, "deployment" => deployment(), "outcome" => outcome).increment(1);
        histogram!(REQUEST_SECONDS, "deployment" => deployment()).record(self.arrived.elapsed());
        gauge!(REQUESTS_IN_FLIGHT, "deployment" => deployment()).decrement(1.0);
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.end(ABANDONED);
    }
}
