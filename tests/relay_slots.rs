//! Tests of the brokers that grant the slots of upstreams, with relays in processes of their own.

use std::time::Duration;

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use tokio::time::sleep;

/// Guards against a dead relay that is asked for slots again and again because the store still lists
/// it.
#[gtest]
#[tokio::test]
async fn dead_broker() -> Result<()> {
    let mut harness = Harness::start(4).await?;
    for number in 0..20 {
        let id = format!("a-{number}");
        expect_that!(harness.stream(number % 4, "stream", &id, 2).await?.status, eq(200));
    }
    // The broker of the model's upstreams.
    let granted = harness.events(0, "broker_chosen");
    let names: Vec<String> =
        granted.iter().filter_map(|line| line["member"].as_str().map(str::to_owned)).collect();
    let number = |name: &str| name.strip_prefix("vm-").and_then(|number| number.parse().ok());
    let dead: usize = names.last().and_then(|name| number(name)).or_fail()?;
    harness.kill_relay(dead)?;
    sleep(Duration::from_secs(3)).await;
    let alive: Vec<usize> = (0..4).filter(|relay| *relay != dead).collect();
    let silent = |harness: &Harness| -> usize {
        alive.iter().map(|relay| harness.events(*relay, "broker_silent").len()).sum()
    };
    let before = silent(&harness);
    for number in 0..60 {
        let (relay, id) = (alive[number % 3], format!("b-{number}"));
        expect_that!(harness.stream(relay, "stream", &id, 2).await?.status, eq(200));
        sleep(Duration::from_millis(50)).await;
    }
    verify_that!(silent(&harness), eq(before))
}
