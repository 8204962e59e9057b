//! Client for the platform's table service, object store and VM list.

mod error;
pub mod feed;
pub mod http;
pub mod memory;
pub mod table;
pub mod transport;

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;

pub use crate::error::Error;

/// A boxed future, so that the traits can be used as trait objects.
pub type Boxed<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The platform's transactional table service.
pub trait Table: Send + Sync {
    /// Reads rows by key; `None` for a row that does not exist.
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<table::Row>>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// order of key.
    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<table::Row>>;

    /// Applies all writes if all conditions hold, and none otherwise.
    fn commit(&self, transaction: table::Transaction) -> Boxed<'_, table::Commit>;
}

/// The platform's feed of changes to a table.
pub trait Feed: Send + Sync {
    /// Reads all rows of a table as of one moment.
    fn snapshot(&self, table: String) -> Boxed<'_, feed::Changes>;

    /// Waits at most `wait` for changes of a table after a version; fails with
    /// [`Error::HistoryLost`] when the platform no longer has all of them.
    fn changes(&self, table: String, after: u64, wait: Duration) -> Boxed<'_, feed::Changes>;
}

/// The platform's object store.
pub trait Objects: Send + Sync {
    /// Writes an object unless one with this key exists; returns whether it was written.
    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool>;

    /// Reads an object; `None` when it does not exist.
    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>>;

    /// Deletes an object, if it exists.
    fn delete(&self, key: String) -> Boxed<'_, ()>;
}

/// The platform's list of vms, which lags behind reality.
pub trait Vms: Send + Sync {
    /// The list, or `None` when it still has the given entity tag.
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>>;
}

/// A vm as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the vm.
    pub name: String,
    /// Address and port of its process; of a daemon, the address for other daemons.
    pub address: std::net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Deployment that it serves; `cyclamengrade` for a daemon.
    pub service: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}
