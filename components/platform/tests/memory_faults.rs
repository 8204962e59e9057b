//! Tests of the in-memory services and their fault injection.

use cyclamengrade_platform::{
    Error, Objects as _, Table as _, Vms as _,
    memory::{Objects, Table, Vms},
    table::{Commit, Transaction},
};
use googletest::prelude::*;
use serde_json::json;

/// Guards against a transaction that applies some of its writes although a condition does not hold.
#[gtest]
#[tokio::test]
async fn conflicting_commit() -> Result<()> {
    let table = Table::new();
    let first = Transaction::new().with_condition("a", 0).with_write("a", json!(1));
    let Commit::Done { versions } = table.commit(first.clone()).await? else {
        return fail!("the first transaction conflicts");
    };
    let second = first.with_write("b", json!(2));
    let Commit::Conflict { rows } = table.commit(second).await? else {
        return fail!("the second transaction does not conflict");
    };
    expect_that!(rows[0].as_ref().map(|row| row.version), some(eq(versions[0])));
    expect_that!(table.read(vec!["b".into()]).await?, elements_are![none()]);
    expect_that!(table.counts().conflicts, eq(1));
    Ok(())
}

/// Guards against a row that repeats an old version after it is deleted and created again, because
/// a condition on the old row would then hold for the new one.
#[gtest]
#[tokio::test]
async fn created_again() -> Result<()> {
    let table = Table::new();
    let write = Transaction::new().with_write("a", json!(1));
    table.commit(write.clone()).await?;
    let before = table.rows("a")[0].version;
    table.commit(Transaction::new().with_delete("a")).await?;
    table.commit(write).await?;
    expect_that!(table.rows("a")[0].version, gt(before));
    Ok(())
}

/// Guards against a page of a scan that repeats or skips keys, or returns keys outside the prefix.
/// A page starts after the last key of the previous page.
#[gtest]
#[tokio::test]
async fn scan_pages() -> Result<()> {
    let table = Table::new();
    let keys = ["a/1", "job/1", "job/2", "job/3", "k"];
    let write = |transaction: Transaction, key: &&str| transaction.with_write(*key, json!(0));
    table.commit(keys.iter().fold(Transaction::new(), write)).await?;
    let first = table.scan("job/".into(), String::new(), 2).await?;
    let second = table.scan("job/".into(), first[1].key.clone(), 2).await?;
    expect_that!(first.iter().map(|row| &*row.key).collect::<Vec<_>>(), eq(&["job/1", "job/2"]));
    expect_that!(second.iter().map(|row| &*row.key).collect::<Vec<_>>(), eq(&["job/3"]));
    Ok(())
}

/// Guards against a write that takes effect although it is refused, and against one that does not
/// take effect when its answer is dropped.
#[gtest]
#[tokio::test]
async fn fault_switches() -> Result<()> {
    let table = Table::new();
    let write = Transaction::new().with_write("a", json!(1));
    table.faults().set_down(true);
    let refused = table.commit(write.clone()).await;
    expect_that!(refused, err(matches_pattern!(Error::Unreachable(_))));
    expect_that!(table.rows(""), is_empty());
    table.faults().set_down(false);
    table.faults().set_lose_replies(1);
    let lost = table.commit(write.clone()).await;
    expect_that!(lost, err(matches_pattern!(Error::OutcomeUnknown(_))));
    expect_that!(table.rows(""), len(eq(1)));
    expect_that!(table.commit(write).await, ok(anything()));

    let objects = Objects::new();
    objects.faults().set_lose_replies(1);
    expect_that!(objects.put_new("o".into(), "x".into()).await, err(anything()));
    expect_that!(objects.put_new("o".into(), "y".into()).await, ok(eq(&false)));
    expect_that!(objects.get("o".into()).await?.as_deref(), some(eq(b"x")));
    Ok(())
}

/// Guards against returning the list of vms again while its entity tag is unchanged, and against
/// not returning it after a change.
#[gtest]
#[tokio::test]
async fn tagged_list() -> Result<()> {
    let vms = Vms::new(Vec::new());
    let (tag, _) = vms.list(None).await?.or_fail()?;
    expect_that!(vms.list(Some(tag.clone())).await?, none());
    vms.set(Vec::new());
    expect_that!(vms.list(Some(tag)).await?, some(anything()));
    Ok(())
}
