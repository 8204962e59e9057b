//! A daemon that serves online completions only.

use bytes::Bytes;
use cyclamengrade_caller::{
    Failure, Kind,
    backend::{
        Apply, Backend, Boxed, Completion, Event, HistoryEntry, Job, Revision, ServiceAnswer,
        ServiceCall, Submission, Upstream,
    },
};
use cyclamengrade_daemon::online;
use tokio::sync::mpsc;

pub struct Online(pub online::Online);

fn none<T: Send + 'static>() -> Boxed<T> {
    Box::pin(async { Err(Failure::not_run(Kind::NotFound, "not part of the benchmark")) })
}

impl Backend for Online {
    fn client(&self, _: &str) -> Option<String> {
        Some("himal".into())
    }

    fn complete(&self, call: Completion) -> Boxed<mpsc::Receiver<Event>> {
        let online = self.0.clone();
        Box::pin(async move { online.complete(call).await })
    }

    fn call_service(&self, _: ServiceCall) -> Boxed<ServiceAnswer> {
        none()
    }

    fn submit(&self, _: Submission) -> Boxed<Job> {
        none()
    }

    fn job(&self, _: String, _: String) -> Boxed<Job> {
        none()
    }

    fn results(&self, _: String, _: String) -> Boxed<mpsc::Receiver<Result<Bytes, Failure>>> {
        none()
    }

    fn cancel(&self, _: String, _: String) -> Boxed<Job> {
        none()
    }

    fn configuration(&self) -> Boxed<Revision> {
        none()
    }

    fn apply(&self, _: Apply) -> Boxed<Revision> {
        none()
    }

    fn history(&self, _: usize) -> Boxed<Vec<HistoryEntry>> {
        none()
    }

    fn upstreams(&self) -> Boxed<Vec<Upstream>> {
        none()
    }

    fn ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        String::new()
    }
}
