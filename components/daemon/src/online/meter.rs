//! Metrics of one online request.

use std::time::Instant;

use cyclamengrade_telemetry::metrics::{
    ATTEMPTS, BETWEEN_TOKENS_SECONDS, CONNECTIONS_SILENT, FIRST_TOKEN_SECONDS, REFUSALS,
    REQUEST_SECONDS, REQUESTS, REQUESTS_IN_FLIGHT,
};
use metrics::{counter, gauge, histogram};

/// Outcome label of a request whose caller disconnected.
const ABANDONED: &str = "abandoned";

/// Records the metrics of one request. Counts it as abandoned when it is dropped before the request
/// has ended.
pub(super) struct Meter {
    deployment: String,
    arrived: Instant,
    first_token: Option<Instant>,
    /// Number of attempts so far.
    attempts: u32,
    ended: bool,
}

impl Meter {
    pub(super) fn new(deployment: &str) -> Self {
        gauge!(REQUESTS_IN_FLIGHT, "deployment" => deployment.to_owned()).increment(1.0);
        Self {
            deployment: deployment.to_owned(),
            arrived: Instant::now(),
            first_token: None,
            attempts: 0,
            ended: false,
        }
    }

    /// Counts an attempt that starts while `in_flight` others are in flight and after
    /// `delivered_tokens` have been delivered to the caller.
    pub(super) fn record_attempt(&mut self, in_flight: usize, delivered_tokens: u32) {
        let reason = match (self.attempts, in_flight, delivered_tokens) {
            (0, ..) => "first",
            (_, 1.., _) => "hedge",
            (_, 0, 0) => "retry",
            (_, 0, _) => "resume",
        };
        self.attempts += 1;
        counter!(ATTEMPTS, "deployment" => self.deployment.clone(), "reason" => reason)
            .increment(1);
    }

    /// Counts a silence timeout of an attempt.
    pub(super) fn record_silence(&self) {
        counter!(CONNECTIONS_SILENT, "deployment" => self.deployment.clone()).increment(1);
    }

    /// Records the time to first token, unless it has already been recorded.
    pub(super) fn record_first_token(&mut self, now: Instant) {
        if self.first_token.is_none() {
            self.first_token = Some(now);
            histogram!(FIRST_TOKEN_SECONDS, "deployment" => self.deployment.clone())
                .record(now.duration_since(self.arrived));
        }
    }

    /// Records a complete response and the mean time between its tokens.
    pub(super) fn record_response(&mut self, tokens: u32) {
        let now = Instant::now();
        if let Some(first) = self.first_token
            && tokens > 1
        {
            histogram!(BETWEEN_TOKENS_SECONDS, "deployment" => self.deployment.clone())
                .record(now.duration_since(first) / (tokens - 1));
        }
        self.end("ok");
    }

    /// Counts a failed request by the kind of the failure, and as refused if it did not run.
    pub(super) fn record_failure(&mut self, failure: &cyclamengrade_caller::Failure) {
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
