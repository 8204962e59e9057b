//! Traits for the platform's table service, change feed, object store and list of vms, with an HTTP
//! client and an in-memory implementation for tests.

mod error;
pub mod feed;
pub mod http;
pub mod memory;
mod pool;
pub mod table;
pub mod transport;

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;

pub use crate::error::Error;

/// Future of a call to the platform; boxed, so that the traits can be used as trait objects.
pub type Boxed<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The platform's transactional table service.
pub trait Table: Send + Sync {
    /// Reads rows by key; `None` for a row that does not exist.
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<table::Row>>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// order of key.
    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<table::Row>>;

    /// Applies all writes atomically if all conditions hold, and none otherwise.
    fn commit(&self, transaction: table::Transaction) -> Boxed<'_, table::Commit>;
}

/// The platform's change feed, which reports the changes to its tables.
pub trait Feed: Send + Sync {
    /// Reads all rows of a table. Changes after the returned version may already be included;
    /// [`changes`](Self::changes) reports them again.
    fn snapshot(&self, table: String) -> Boxed<'_, feed::Changes>;

    /// Waits up to `wait` for changes to a table after the version `after`. Fails with
    /// [`Error::HistoryLost`] if the platform no longer has all of them.
    fn changes(&self, table: String, after: u64, wait: Duration) -> Boxed<'_, feed::Changes>;
}

/// The platform's object store.
pub trait Objects: Send + Sync {
    /// Writes an object unless one with this key exists. Returns whether it was written.
    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool>;

    /// Reads an object; `None` when it does not exist.
    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>>;

    /// Deletes an object; succeeds also if it does not exist.
    fn delete(&self, key: String) -> Boxed<'_, ()>;
}

/// The platform's list of vms, which is eventually consistent: it shows changes after a delay.
pub trait Vms: Send + Sync {
    /// Returns the list with its entity tag, or `None` if the list still has the entity tag `tag`.
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>>;
}

/// A vm as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    pub name: String,
    /// Address of the process on the vm; for a daemon, the address that other daemons use.
    pub address: std::net::SocketAddr,
    pub data_centre: String,
    /// Name of the deployment that the vm serves; `cyclamengrade` for a daemon.
    pub service: String,
    /// Whether the platform is about to remove the vm.
    pub leaving: bool,
}
