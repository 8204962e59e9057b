//! Metrics and events of the calls to the platform.

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
    Boxed, Error, Objects, Table, Vm, Vms,
    http::Client,
    table::{Commit, Row, Transaction},
};
use cyclamengrade_telemetry::{event, metrics};

/// Failures in a row after which a service counts as unreachable.
const FAILURES: u32 = 3;

/// A client of the platform that counts its calls.
#[derive(Clone)]
pub struct Observed {
    client: Arc<Client>,
    table: Arc<Service>,
    objects: Arc<Service>,
    vms: Arc<Service>,
}

/// One service of the platform.
struct Service {
    name: &'static str,
    failures: AtomicU32,
    unreachable_since: Mutex<Option<Instant>>,
}

impl Observed {
    /// Observes the calls of a client.
    pub fn new(client: Client) -> Self {
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
        let failures = AtomicU32::new(0);
        Arc::new(Self { name, failures, unreachable_since: Mutex::new(None) })
    }

    async fn call<T>(
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
            Err(Error::HistoryLost(_)) => "history_lost",
        };
        let service = self.name;
        counter!(metrics::PLATFORM_CALLS, "service" => service, "operation" => operation, "outcome" => outcome)
            .increment(1);
        histogram!(metrics::PLATFORM_CALL_SECONDS, "service" => service, "operation" => operation)
            .record(start.elapsed());
        match &result {
            Ok(_) => self.succeeded(),
            Err(error) => self.failed(error),
        }
        result
    }

    fn failed(&self, error: &Error) {
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 != FAILURES {
            return;
        }
        event!(PlatformUnreachable, service = self.name, error:% = error);
        let mut since = self.unreachable_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = Some(Instant::now());
    }

    fn succeeded(&self) {
        if self.failures.swap(0, Ordering::Relaxed) < FAILURES {
            return;
        }
        let mut since = self.unreachable_since.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = since.take().map_or(0, |since| since.elapsed().as_millis());
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        event!(PlatformBack, service = self.name, elapsed_ms = elapsed_ms);
    }
}

impl Table for Observed {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        Box::pin(self.table.call("read", self.client.read(keys)))
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        Box::pin(self.table.call("scan", self.client.scan(prefix, after, limit)))
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        Box::pin(self.table.call("commit", self.client.commit(transaction)))
    }
}

impl Objects for Observed {
    fn delete(&self, key: String) -> Boxed<'_, ()> {
        Box::pin(self.objects.call("delete", self.client.delete(key)))
    }

    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool> {
        Box::pin(self.objects.call("put", self.client.put_new(key, content)))
    }

    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>> {
        Box::pin(self.objects.call("get", self.client.get(key)))
    }
}

impl Vms for Observed {
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>> {
        Box::pin(self.vms.call("list", self.client.list(tag)))
    }
}
