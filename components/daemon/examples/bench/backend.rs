//! A daemon that serves online completions only.

use bytes::Bytes;
use cyclamengrade_caller::{
    Failure, Kind,
    backend::{
        Backend, BackendFuture, Completion, ConfigurationChange, Event, HistoryEntry, Job,
        Revision, ServiceCall, ServiceResponse, Submission, Upstream,
    },
};
use cyclamengrade_daemon::online;
use tokio::sync::mpsc;

pub struct Online(pub online::Online);

fn none<T: Send + 'static>() -> BackendFuture<T> {
    Box::pin(async { Err(Failure::not_run(Kind::NotFound, "not part of the benchmark")) })
}

impl Backend for Online {
    fn client(&self, _: &str) -> Option<String> {
        Some("himal".into())
    }

    fn complete(&self, call: Completion) -> BackendFuture<mpsc::Receiver<Event>> {
        let online = self.0.clone();
        Box::pin(async move { online.complete(call).await })
    }

    fn call_service(&self, _: ServiceCall) -> BackendFuture<ServiceResponse> {
        none()
    }

    fn submit(&self, _: Submission) -> BackendFuture<Job> {
        none()
    }

    fn job(&self, _: String, _: String) -> BackendFuture<Job> {
        none()
    }

    fn results(
        &self,
        _: String,
        _: String,
    ) -> BackendFuture<mpsc::Receiver<Result<Bytes, Failure>>> {
        none()
    }

    fn cancel(&self, _: String, _: String) -> BackendFuture<Job> {
        none()
    }

    fn configuration(&self) -> BackendFuture<Revision> {
        none()
    }

    fn apply(&self, _: ConfigurationChange) -> BackendFuture<Revision> {
        none()
    }

    fn history(&self, _: usize) -> BackendFuture<Vec<HistoryEntry>> {
        none()
    }

    fn upstreams(&self) -> BackendFuture<Vec<Upstream>> {
        none()
    }

    fn ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        String::new()
    }
}
