//! Performs the calls that state machines make to the platform's table service.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::store::{Call, Reply, Row, Transaction};
use cyclamengrade_platform::{Error, Table, table};
use tokio::time;

/// Timeout of a call, regardless of the timeouts and retries of the platform client.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Performs a call and returns its reply.
///
/// The reply is `Unknown` if a commit may have taken effect, and `Failed` if the call certainly had
/// no effect.
pub async fn call(table: &dyn Table, call: Call) -> Reply {
    let is_commit = matches!(call, Call::Commit(_));
    match time::timeout(CALL_TIMEOUT, perform(table, call)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) if is_commit && error.may_have_taken_effect() => Reply::Unknown,
        Ok(Err(_)) => Reply::Failed,
        Err(_) if is_commit => Reply::Unknown,
        Err(_) => Reply::Failed,
    }
}

async fn perform(table: &dyn Table, call: Call) -> Result<Reply, Error> {
    match call {
        Call::Read(keys) => {
            let rows = table.read(keys).await?;
            Ok(Reply::Rows(rows.into_iter().map(|row| row.map(convert)).collect()))
        }
        Call::Scan { prefix, after, limit } => {
            let rows = table.scan(prefix, after, limit).await?;
            Ok(Reply::Rows(rows.into_iter().map(|row| Some(convert(row))).collect()))
        }
        Call::Commit(transaction) => commit(table, transaction).await,
    }
}

async fn commit(table: &dyn Table, transaction: Transaction) -> Result<Reply, Error> {
    let keys: Vec<_> = transaction.writes.keys().cloned().collect();
    let mut request = table::Transaction::new();
    for (key, version) in transaction.conditions {
        request = request.with_condition(key, version);
    }
    for (key, value) in transaction.writes {
        request = match value {
            Some(value) => request.with_write(key, value),
            None => request.with_delete(key),
        };
    }
    Ok(match table.commit(request).await? {
        table::Commit::Done { versions } => {
            Reply::Done(keys.into_iter().zip(versions).collect::<BTreeMap<_, _>>())
        }
        table::Commit::Conflict { rows } => {
            Reply::Conflict(rows.into_iter().map(|row| row.map(convert)).collect())
        }
    })
}

fn convert(row: table::Row) -> Row {
    Row { key: row.key, version: row.version, value: row.value }
}
