//! Tests of a relay that uses up its share of the connections that an upstream accepts.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Fault, Harness};
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::json;

/// Connections that an upstream accepts.
const CONNECTIONS: usize = 2;
/// Time for which the first requests use all connections.
const BUSY: Duration = Duration::from_millis(1_000);

/// Guards against a sound upstream that is not used for seconds, since requests found no connection to it
/// free within a smaller share, as a new configuration may state.
#[gtest]
#[tokio::test]
async fn smaller_share() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    harness.max_connections = CONNECTIONS;
    harness.configure(json!([]));
    let versions = async || (harness.events(0, "configuration_in_force").len() == 2).then_some(());
    harness.eventually("the smaller share", versions).await?;
    harness.plain.queue_faults(&[Fault::QuietAfter(0, BUSY); CONNECTIONS]);
    let send = async |number: usize| {
        let reply = harness.send(harness.call(0, "safe", &format!("p-{number}"))).await;
        reply.map(|reply| reply.status).unwrap_or(0)
    };
    let statuses = join_all((0..3 * CONNECTIONS).map(send)).await;
    expect_that!(statuses, contains(eq(&200)).times(eq(CONNECTIONS)));
    expect_that!(statuses, contains(eq(&503)).times(eq(2 * CONNECTIONS)));
    // All connections are free again.
    expect_that!(send(3 * CONNECTIONS).await, eq(200));
    verify_that!(harness.events(0, "upstream_paused"), is_empty())
}
