//! Services in memory and their fault switches.

use cyclamengrade_platform::{
    Error, Objects as _, Table as _, Vms as _,
    memory::{Objects, Table, Vms},
    table::{Commit, Transaction},
};
use googletest::prelude::*;
use serde_json::json;

/// A write whose condition does not hold must change nothing, also not the other rows.
#[gtest]
#[tokio::test]
async fn conflicting_commit() -> Result<()> {
    let table = Table::new();
    let first = Transaction::new().with_condition("a", 0).with_write("a", json!(1));
    let Commit::Done { versions } = table.commit(first.clone()).await? else {
        return fail!("the first write conflicts");
    };
    let second = first.with_write("b", json!(2));
    let Commit::Conflict { rows } = table.commit(second).await? else {
        return fail!("the second write does not conflict");
    };
    expect_that!(rows[0].as_ref().map(|row| row.version), some(eq(versions[0])));
    expect_that!(table.read(vec!["b".into()]).await?, elements_are![none()]);
    expect_that!(table.counts().conflicts, eq(1));
    Ok(())
}

/// A row that is deleted and created again must not repeat a version, or an old condition would
/// hold for the new row.
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

/// A page of a scan must start behind the last key of the page before.
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

/// A lost reply must leave the effect, and a refusal must leave none.
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
    expect_that!(lost, err(matches_pattern!(Error::Unknown(_))));
    expect_that!(table.rows(""), len(eq(1)));
    expect_that!(table.commit(write).await, ok(anything()));

    let objects = Objects::new();
    objects.faults().set_lose_replies(1);
    expect_that!(objects.put_new("o".into(), "x".into()).await, err(anything()));
    expect_that!(objects.put_new("o".into(), "y".into()).await, ok(eq(&false)));
    expect_that!(objects.get("o".into()).await?.as_deref(), some(eq(b"x")));
    Ok(())
}

/// An unchanged list must not be sent again, and a changed one must.
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
