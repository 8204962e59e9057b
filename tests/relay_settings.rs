//! Tests of reloading the settings of a running relay.

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use serde_json::json;

/// Guards against a relay that exits or loses its settings on a reload. Covers a key that needs a
/// restart, an invalid value and a log level that applies at once.
#[gtest]
#[tokio::test]
async fn reload() -> Result<()> {
    let harness = Harness::start(1).await?;
    let reloads = || harness.events(0, "settings_reloaded");
    harness.reload_relay(0, |settings| settings["listen"] = json!("127.0.0.1:1"))?;
    harness.eventually("a reload", async || (reloads().len() == 1).then_some(())).await?;
    expect_that!(reloads()[0]["restart_needed"], eq(&json!(true)));
    let address = json!(harness.address(0).to_string());
    harness.reload_relay(0, |settings| settings["listen"] = address)?;
    harness.eventually("a reload", async || (reloads().len() == 2).then_some(())).await?;
    expect_that!(reloads()[1]["restart_needed"], eq(&json!(false)));

    harness.reload_relay(0, |settings| settings["log_level"] = json!("loud"))?;
    let unusable = async || (!harness.events(0, "settings_unusable").is_empty()).then_some(());
    harness.eventually("the refusal of the settings", unusable).await?;
    expect_that!(harness.stream(0, "stream", "before", 2).await?.status, eq(200));
    let sent = |id: &str| {
        harness.events(0, "request_sent").iter().filter(|line| line["request"] == id).count()
    };
    harness.eventually("a line", async || (sent("before") == 1).then_some(())).await?;

    harness.reload_relay(0, |settings| settings["log_level"] = json!("error"))?;
    harness.eventually("a reload", async || (reloads().len() == 3).then_some(())).await?;
    expect_that!(harness.stream(0, "stream", "after", 2).await?.status, eq(200));
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    verify_that!(sent("after"), eq(0))
}
