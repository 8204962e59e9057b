//! Backend of the HTTP server that serves online completions only.

use cyclamengrade_caller::{
    Failure, Kind,
    backend::{
        Backend, BackendFuture, Completion, ConfigurationChange, Event, HistoryEntry, Job, Results,
        Revision, ServiceCall, ServiceResponse, Submission, Upstream,
    },
};
use cyclamengrade_daemon::online;
use tokio::sync::mpsc;

pub struct Online(pub online::Online);

fn unsupported<T: Send + 'static>() -> BackendFuture<T> {
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
        unsupported()
    }

    fn submit(&self, _: Submission) -> BackendFuture<Job> {
        unsupported()
    }

    fn job(&self, _: String, _: String) -> BackendFuture<Job> {
        unsupported()
    }

    fn results(&self, _: String, _: String) -> BackendFuture<mpsc::Receiver<Results>> {
        unsupported()
    }

    fn cancel(&self, _: String, _: String) -> BackendFuture<Job> {
        unsupported()
    }

    fn configuration(&self) -> BackendFuture<Revision> {
        unsupported()
    }

    fn apply(&self, _: ConfigurationChange) -> BackendFuture<Revision> {
        unsupported()
    }

    fn history(&self, _: usize) -> BackendFuture<Vec<HistoryEntry>> {
        unsupported()
    }

    fn upstreams(&self) -> BackendFuture<Vec<Upstream>> {
        unsupported()
    }

    fn ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        String::new()
    }
}
