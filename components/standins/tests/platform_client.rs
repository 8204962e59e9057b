//! Tests of the platform's HTTP adapter against the platform stand-in.

mod support;

use std::time::Duration;

use cyclamengrade_platform::{
    Error, Objects, Table, Vm, Vms,
    http::Client as Platform,
    table::{Commit, Transaction},
};
use cyclamengrade_standins::client::{Call, Client};
use googletest::prelude::*;
use serde_json::{Value, json};
use support::Standin;

fn adapter(standin: &Standin, timeout: Duration) -> Platform {
    Platform::new(standin.address, standin.address, standin.address, timeout)
}

/// Guards against differences between the adapter and the stand-in in any call, also for keys with
/// spaces, slashes and non-ASCII characters.
#[gtest]
#[tokio::test]
async fn all_calls() -> Result<()> {
    let standin = Standin::start("platform", &[])?;
    let platform = adapter(&standin, Duration::from_secs(5));
    let write = Transaction::new().with_condition("a b/ü", 0).with_write("a b/ü", json!({"x": 1}));
    let done = platform.commit(write.clone()).await?;
    expect_that!(done, eq(&Commit::Done { versions: vec![1] }));
    expect_that!(platform.commit(write).await?, matches_pattern!(Commit::Conflict { .. }));
    let rows = platform.read(vec!["a b/ü".into(), "none".into()]).await?;
    expect_that!(rows[0].as_ref().map(|row| &row.value), some(eq(&json!({"x": 1}))));
    expect_that!(rows[1], none());
    expect_that!(platform.scan("a".into(), String::new(), 10).await?, len(eq(1)));
    expect_that!(platform.put_new("job/ä 1".into(), "content".into()).await?, is_true());
    expect_that!(platform.put_new("job/ä 1".into(), "other".into()).await?, is_false());
    expect_that!(platform.get("job/ä 1".into()).await?.as_deref(), some(eq(b"content")));
    expect_that!(platform.get("missing".into()).await?, none());
    Ok(())
}

/// Guards against a changed list of vms that is visible before the lag has passed or that keeps its
/// entity tag.
#[gtest]
#[tokio::test]
async fn lagging_list() -> Result<()> {
    let standin = Standin::start("platform", &["--lag-ms", "300"])?;
    let platform = adapter(&standin, Duration::from_secs(5));
    let (tag, vms) = platform.list(None).await?.or_fail()?;
    expect_that!(vms, is_empty());
    let vm = Vm {
        name: "telaio-lm-1".into(),
        address: standin.address,
        data_centre: "biella".into(),
        service: "telaio-lm".into(),
        leaving: false,
    };
    let call = Call::post(standin.address, "/_vms").with_json(&json!({"vms": [vm]}));
    Client::new().send(call).await?;
    expect_that!(platform.list(Some(tag.clone())).await?, none());
    let (changed, vms) =
        support::eventually(async || platform.list(Some(tag.clone())).await.ok().flatten()).await?;
    expect_that!(changed, not(eq(&tag)));
    expect_that!(vms, eq(&vec![vm]));
    Ok(())
}

/// Guards against an error that classifies a write with an unknown outcome as one without effect: a
/// caller would get the reply "not run" for a job that exists.
#[gtest]
#[tokio::test]
async fn classified_errors() -> Result<()> {
    let standin = Standin::start("platform", &[])?;
    let platform = adapter(&standin, Duration::from_millis(500));
    let write = |key: &str| Transaction::new().with_write(key, json!(1));

    standin.set_faults(json!({"down": true})).await?;
    let down = platform.commit(write("down")).await;
    expect_that!(down, err(matches_pattern!(Error::Unreachable(_))));
    standin.set_faults(json!({"down": false, "lose_replies": 1})).await?;
    let lost = platform.commit(write("lost")).await;
    expect_that!(lost, err(matches_pattern!(Error::OutcomeUnknown(_))));
    standin.set_faults(json!({"slow_ms": 2_000})).await?;
    let slow = platform.commit(write("slow")).await;
    expect_that!(slow, err(matches_pattern!(Error::OutcomeUnknown(_))));
    let read = platform.read(vec!["slow".into()]).await;
    expect_that!(read, err(matches_pattern!(Error::Unreachable(_))));
    standin.set_faults(json!({"slow_ms": 0})).await?;
    let rows = platform.read(vec!["down".into(), "lost".into()]).await?;
    expect_that!(rows[0], none());
    expect_that!(rows[1], some(anything()));

    let mut killed = Standin::start("platform", &[])?;
    killed.process.kill()?;
    let address = killed.address;
    let platform = Platform::new(address, address, address, Duration::from_millis(500));
    let refused = platform.commit(write("refused")).await;
    expect_that!(refused, err(matches_pattern!(Error::Unreachable(_))));
    Ok(())
}

/// Guards against repeated timeouts on a silent connection: after the first one, the next call must
/// use a new connection.
#[gtest]
#[tokio::test]
async fn silent_connection() -> Result<()> {
    let standin = Standin::start("platform", &[])?;
    let platform = adapter(&standin, Duration::from_millis(500));
    platform.read(vec!["a".into()]).await?;
    standin.set_faults(json!({"silent": true})).await?;
    expect_that!(platform.read(vec!["a".into()]).await, err(anything()));
    expect_that!(platform.read(vec!["a".into()]).await, ok(anything()));
    Ok(())
}

/// Guards against calls over the rate limit that fail although a retry fits into their timeout. The
/// platform must count the refused calls.
#[gtest]
#[tokio::test]
async fn rate_limit() -> Result<()> {
    let standin = Standin::start("platform", &["--writes-per-s", "10"])?;
    let platform = adapter(&standin, Duration::from_secs(5));
    for number in 0..15 {
        platform.commit(Transaction::new().with_write(format!("k{number}"), json!(0))).await?;
    }
    let stats = Client::new().send(Call::get(standin.address, "/_stats")).await?;
    let stats: Value = stats.json()?;
    expect_that!(stats["table_commits"], eq(&json!(15)));
    expect_that!(stats["limited"].as_u64(), some(ge(1)));
    Ok(())
}
