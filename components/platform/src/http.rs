//! Client of the platform's published HTTP protocol.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | `POST /v1/table/read` | [`Read`] | [`Rows`], with `null` for a missing row |
//! | `POST /v1/table/scan` | [`Scan`] | [`Rows`] |
//! | `POST /v1/table/commit` | [`Transaction`] | [`Commit`] |
//! | `PUT /v1/objects/{key}` with `If-None-Match: *` | content | 201, or 412 when it exists |
//! | `GET /v1/objects/{key}` | | 200 with the content, or 404 |
//! | `GET /v1/vms` with `If-None-Match` | | 200 with `ETag` and [`List`], or 304 |
//!
//! The platform answers 429 and 503 before it changes anything. After any other failure of a write
//! on an established connection, it is unknown whether the write took effect.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode, header::ETAG};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    Boxed, Error, Objects, Table, Vm, Vms,
    table::{Commit, Row, Transaction},
    transport::{self, Answer, Call, Effect, Transport},
};

/// Body of `POST /v1/table/read`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    pub keys: Vec<String>,
}

/// Body of `POST /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys.
    pub prefix: String,
    /// Lower bound of the keys, exclusive.
    pub after: String,
    /// Maximum number of rows in the answer.
    pub limit: usize,
}

/// Answer of a read or a scan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows<T> {
    pub rows: Vec<T>,
}

/// Answer of `GET /v1/vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    pub vms: Vec<Vm>,
}

/// Answer of `GET /v1/vms` with entries of any form. Other writers may leave some in the list.
#[derive(Deserialize)]
struct Entries {
    vms: Vec<Value>,
}

/// Longest logged reason for which an entry cannot be read, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Client of the table service, the object store and the service that lists the vms.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
    /// For calls about objects, whose answers to different calls may be alike.
    object_transport: Transport,
    table: SocketAddr,
    objects: SocketAddr,
    vms: SocketAddr,
}

impl Client {
    /// Creates a client of the services at the three addresses. `timeout` bounds one call,
    /// including its retries after a rate limit.
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr, timeout: Duration) -> Self {
        let transport = Transport::new(timeout);
        let object_transport = transport.clone().with_new_connections();
        Self { transport, object_transport, table, objects, vms }
    }

    async fn call_table<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        effect: Effect,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|error| {
            Error::Unreachable(format!("body of table {operation} cannot be serialized: {error}"))
        })?;
        let answer = self
            .transport
            .call(Call {
                effect,
                method: Method::POST,
                address: self.table,
                path: format!("/v1/table/{operation}"),
                tag: None,
                body: body.into(),
            })
            .await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected());
        }
        serde_json::from_slice(&answer.body).map_err(|error| Error::Protocol(error.to_string()))
    }

    async fn call_objects(
        &self,
        effect: Effect,
        method: Method,
        key: &str,
        tag: Option<String>,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let (address, path) = (self.objects, object_path(key));
        self.object_transport.call(Call { effect, method, address, path, tag, body }).await
    }
}

impl Table for Client {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        Box::pin(async move {
            let expected = keys.len();
            let rows: Rows<Option<Row>> =
                self.call_table("read", Effect::Read, &Read { keys }).await?;
            match rows.rows.len() == expected {
                true => Ok(rows.rows),
                false => Err(Error::Protocol(format!(
                    "table read returned {} rows for {expected} keys",
                    rows.rows.len()
                ))),
            }
        })
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        Box::pin(async move {
            let scan = Scan { prefix, after, limit };
            let rows: Rows<Row> = self.call_table("scan", Effect::Read, &scan).await?;
            Ok(rows.rows)
        })
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        Box::pin(async move { self.call_table("commit", Effect::Write, &transaction).await })
    }
}

impl Objects for Client {
    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool> {
        Box::pin(async move {
            let tag = Some("*".into());
            let answer = self.call_objects(Effect::Write, Method::PUT, &key, tag, content).await?;
            match answer.status {
                StatusCode::CREATED => Ok(true),
                StatusCode::PRECONDITION_FAILED => Ok(false),
                _ => Err(answer.unexpected()),
            }
        })
    }

    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>> {
        Box::pin(async move {
            let answer = self
                .object_transport
                .read_object(Call {
                    effect: Effect::Read,
                    method: Method::GET,
                    address: self.objects,
                    path: object_path(&key),
                    tag: None,
                    body: Bytes::new(),
                })
                .await?;
            match answer.status {
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(answer.unexpected()),
            }
        })
    }

    fn delete(&self, key: String) -> Boxed<'_, ()> {
        Box::pin(async move {
            let answer =
                self.call_objects(Effect::Write, Method::DELETE, &key, None, Bytes::new()).await?;
            match answer.status {
                StatusCode::NOT_FOUND => Ok(()),
                status if status.is_success() => Ok(()),
                _ => Err(answer.unexpected()),
            }
        })
    }
}

impl Vms for Client {
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>> {
        Box::pin(async move {
            let answer = self
                .transport
                .call(Call {
                    effect: Effect::Read,
                    method: Method::GET,
                    address: self.vms,
                    path: "/v1/vms".into(),
                    tag,
                    body: Bytes::new(),
                })
                .await?;
            match answer.status {
                StatusCode::NOT_MODIFIED => return Ok(None),
                StatusCode::OK => {}
                _ => return Err(answer.unexpected()),
            }
            let list: Entries = serde_json::from_slice(&answer.body)
                .map_err(|error| Error::Protocol(error.to_string()))?;
            let tag =
                answer.headers.get(ETAG).and_then(|tag| tag.to_str().ok()).ok_or_else(|| {
                    Error::Protocol("the list of vms has no `ETag` header".into())
                })?;
            Ok(Some((tag.to_owned(), list.vms.into_iter().filter_map(read_entry).collect())))
        })
    }
}

/// Returns the vm of an entry, or `None` after logging that it cannot be read.
fn read_entry(entry: Value) -> Option<Vm> {
    match Vm::deserialize(&entry) {
        Ok(vm) => Some(vm),
        Err(error) => {
            let reason: String = error.to_string().chars().take(MAX_REASON_CHARS).collect();
            log::warn!("the list of vms has an entry that cannot be read: {reason}");
            None
        }
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{}", transport::encode(key))
}
