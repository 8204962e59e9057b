//! Client of the platform that records metrics and events of its calls.

use std::{
    future::Future,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use ::metrics::{counter, histogram};
use bytes::Bytes;
use cyclamengrade_platform::{
    Boxed, Error, Objects, Table, Vm, Vms, http,
    table::{Commit, Row, Transaction},
};
use cyclamengrade_telemetry::{event, metrics};

/// Number of consecutive failures after which a service counts as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;

/// Client of the platform that records metrics and events of its calls.
#[derive(Clone)]
pub struct Client {
    client: Arc<http::Client>,
    table: Arc<Service>,
    objects: Arc<Service>,
    vms: Arc<Service>,
}

/// State of the calls to one service of the platform.
struct Service {
    name: &'static str,
    consecutive_failures: AtomicU32,
    unreachable_since: Mutex<Option<Instant>>,
}

impl Client {
    pub fn new(client: http::Client) -> Self {
        Self {
            client: Arc::new(client),
            table: Service::new("table"),
            objects: Service::new("objects"),
            vms: Service::new("vms"),
        }
    }
}

impl Service {
    fn new(name: &'static str) -> Arc<Self> {
        let consecutive_failures = AtomicU32::new(0);
        Arc::new(Self { name, consecutive_failures, unreachable_since: Mutex::new(None) })
    }

    /// Awaits a call and records its duration and outcome.
    async fn record<T>(
        &self,
        operation: &'static str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        let result = call.await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(Error::Unreachable(_)) => "unreachable",
            Err(Error::RateLimited) => "limited",
            Err(Error::OutcomeUnknown(_)) => "unknown",
            Err(Error::Protocol(_)) => "protocol",
            Err(Error::Rejected(_)) => "rejected",
            Err(Error::HistoryLost(_)) => "history_lost",
        };
        let service = self.name;
        counter!(metrics::PLATFORM_CALLS, "service" => service, "operation" => operation, "outcome" => outcome)
            .increment(1);
        histogram!(metrics::PLATFORM_CALL_SECONDS, "service" => service, "operation" => operation)
            .record(start.elapsed());
        match &result {
            Ok(_) => self.record_success(),
            Err(error) => self.record_failure(error),
        }
        result
    }

    fn record_failure(&self, error: &Error) {
        if self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1
            != UNREACHABLE_AFTER_FAILURES
        {
            return;
        }
        event!(PlatformUnreachable, service = self.name, error:% = error);
        let mut since = self.unreachable_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = Some(Instant::now());
    }

    fn record_success(&self) {
        if self.consecutive_failures.swap(0, Ordering::Relaxed) < UNREACHABLE_AFTER_FAILURES {
            return;
        }
        let mut since = self.unreachable_since.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = since.take().map_or(0, |since| since.elapsed().as_millis());
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        event!(PlatformBack, service = self.name, elapsed_ms = elapsed_ms);
    }
}

impl Table for Client {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        Box::pin(self.table.record("read", self.client.read(keys)))
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        Box::pin(self.table.record("scan", self.client.scan(prefix, after, limit)))
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        Box::pin(self.table.record("commit", self.client.commit(transaction)))
    }
}

impl Objects for Client {
    fn delete(&self, key: String) -> Boxed<'_, ()> {
        Box::pin(self.objects.record("delete", self.client.delete(key)))
    }

    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool> {
        Box::pin(self.objects.record("put", self.client.put_new(key, content)))
    }

    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>> {
        Box::pin(self.objects.record("get", self.client.get(key)))
    }
}

impl Vms for Client {
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>> {
        Box::pin(self.vms.record("list", self.client.list(tag)))
    }
}
