//! Acceptance of configuration changes: guards against a change that is lost, accepted twice, or
//! accepted on top of a revision that its author has not seen.

use std::{sync::Arc, time::Duration};

use cyclamengrade_caller::{Failure, Kind, backend::ConfigurationChange};
use cyclamengrade_configuration::{Client, Deployment, Document};
use cyclamengrade_daemon::configuration::{apply, history};
use cyclamengrade_platform::{Table as _, memory::Table, table::Transaction};
use googletest::prelude::*;
use serde_json::json;

fn document(clients: &[&str]) -> Document {
    let mut document = Document::default();
    document.deployments.insert("print-relay".into(), Deployment::service());
    for name in clients {
        document.clients.insert((*name).into(), Client::new(format!("token-{name}")));
    }
    document
}

fn change(expected_revision: u64, id: &str, clients: &[&str]) -> ConfigurationChange {
    ConfigurationChange {
        expected_revision,
        change_id: id.into(),
        author: "asha".into(),
        document: json!(document(clients)),
    }
}

/// Applies a change and returns the number of its revision.
async fn accept(table: &Table, change: ConfigurationChange) -> std::result::Result<u64, Failure> {
    apply(table, 1, change).await.map(|revision| revision.revision)
}

/// Of concurrent changes with the same expected revision, one must be accepted. The others must get
/// a conflict that names the changed entries and the author.
#[gtest]
#[tokio::test]
async fn racing_operators() {
    let table = Arc::new(Table::new());
    let changes = (0..8).map(|index| {
        let table = Arc::clone(&table);
        let id = format!("change-{index}");
        tokio::spawn(async move { accept(&table, change(0, &id, &[&id])).await })
    });
    let mut outcomes = Vec::new();
    for task in changes.collect::<Vec<_>>() {
        outcomes.push(task.await.unwrap());
    }
    expect_that!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), eq(1));
    for failure in outcomes.into_iter().filter_map(std::result::Result::err) {
        expect_that!(failure.kind, eq(Kind::Conflict));
        expect_that!(failure.not_run, eq(true));
        expect_that!(failure.message, contains_substring("clients.change-"));
        expect_that!(failure.message, contains_substring("asha"));
    }
}

/// A change whose commit took effect must be accepted once, although the reply of the table was
/// lost and the change is sent again.
#[gtest]
#[tokio::test]
async fn lost_reply() {
    let table = Table::new();
    table.faults().set_lose_replies(1);
    expect_that!(accept(&table, change(0, "first", &["a"])).await, ok(eq(&1)));
    expect_that!(accept(&table, change(0, "first", &["a"])).await, ok(eq(&1)));
    expect_that!(table.rows("config/revision/").len(), eq(1));
}

/// A resent change must return its own revision although a later one exists. Reusing its identifier
/// for another document must be a conflict.
#[gtest]
#[tokio::test]
async fn resend_after_another_change() {
    let table = Table::new();
    expect_that!(accept(&table, change(0, "first", &["a"])).await, ok(eq(&1)));
    expect_that!(accept(&table, change(1, "second", &["a", "b"])).await, ok(eq(&2)));
    expect_that!(accept(&table, change(0, "first", &["a"])).await, ok(eq(&1)));
    let reused = accept(&table, change(0, "first", &["other"])).await;
    expect_that!(reused.unwrap_err().kind, eq(Kind::Conflict));
}

/// An invalid document must be refused with the path of the invalid entry, and must write no row.
#[gtest]
#[tokio::test]
async fn invalid_document() {
    let table = Table::new();
    let mut invalid = change(0, "bad", &["a"]);
    invalid.document["deployments"]["telaio-lm"] =
        json!({ "kind": "model", "model": "absent", "version": "1" });
    let failure = accept(&table, invalid).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Invalid));
    expect_that!(failure.message, contains_substring("deployments.telaio-lm.model"));
    expect_that!(table.rows("").len(), eq(0));
}

/// While the table is down, a change must be refused as not run, with a time to retry, and must
/// write no row.
#[gtest]
#[tokio::test]
async fn table_down() {
    let table = Table::new();
    table.faults().set_down(true);
    let failure = accept(&table, change(0, "first", &["a"])).await.unwrap_err();
    expect_that!(failure.kind, eq(Kind::Unavailable));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after, some(anything()));
    table.faults().set_down(false);
    expect_that!(table.rows("").len(), eq(0));
}

/// The history must list the newest revisions first, with their changed entries only. Snapshots
/// must be written at revisions 1, 100 and 200.
#[gtest]
#[tokio::test]
async fn long_history() {
    let table = Table::new();
    for number in 0..205_u64 {
        let name = format!("client-{number}");
        let accepted = accept(&table, change(number, &name, &[&name])).await;
        expect_that!(accepted, ok(eq(&(number + 1))));
    }
    expect_that!(table.rows("config/snapshot/").len(), eq(3));
    let entries = history(&table, 2).await.unwrap();
    let revisions: Vec<u64> = entries.iter().map(|entry| entry.revision).collect();
    expect_that!(revisions, elements_are![eq(&205), eq(&204)]);
    // Each revision replaces one client with another, which is two changes for a document of any
    // size.
    expect_that!(entries[0].changes.len(), eq(2));
}

/// Guards against a daemon that reads the same revisions over and over, until its memory is used up,
/// because another writer has put a record of an earlier number into the row of a revision.
#[gtest]
#[tokio::test]
async fn misplaced_record() {
    let table = Table::new();
    for (expected, id) in [(0, "first"), (1, "second"), (2, "third")] {
        accept(&table, change(expected, id, &[id])).await.unwrap();
    }
    let rows = table.rows("config/revision/");
    let (first, last) = (&rows[0], &rows[2]);
    let write = Transaction::new().with_write(&last.key, first.value.clone());
    table.commit(write).await.unwrap();
    // Without a delay, the calls would leave no time for the timeout.
    table.faults().set_slow(Duration::from_millis(5));
    let read = tokio::time::timeout(Duration::from_secs(5), history(&table, 10)).await;
    let failure = read.unwrap().unwrap_err();
    expect_that!(failure.kind, eq(Kind::Unavailable));
}
