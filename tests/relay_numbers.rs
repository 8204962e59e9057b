//! Tests of numbers from outside that are far from what they stand for.

use cyclamengrade_standins::{bridge::Harness, client::Call};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Numbers of seconds or milliseconds that do not fit into a clock, or nearly so.
const NUMBERS: [&str; 5] =
    ["4294967295", "9223372036854775807", "9223372036854775808", "18446744073709551615", "1e300"];

/// Guards against a relay that ends the task of an item, or closes the connection of a caller without a response,
/// because of the idle timeout that an upstream states.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_timeouts() -> Result<()> {
    let harness = Harness::start(1).await?;
    for (number, seconds) in NUMBERS.into_iter().enumerate() {
        for runner in harness.runners.iter().chain([&harness.plain]) {
            runner.set_keep_alive(&format!("timeout={seconds}"));
        }
        let (job, status) = harness.submit(0, &format!("j-{number}"), 3, 4).await?;
        expect_that!(status, eq(202));
        let results = harness.await_results(0, &job).await?;
        expect_that!(Harness::complete_items(&results, 4).len(), eq(3), "{seconds}");
        for route in ["safe", "unsafe", "stream"] {
            let call = harness.call(0, route, &format!("{route}-{number}"));
            expect_that!(harness.send(call).await?.status, eq(200), "{route}, {seconds}");
        }
    }
    verify_that!(harness.log(0), not(contains_substring("panicked")))
}

/// Guards against requests and connections that end because of a time in the configuration that no clock can hold.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configured_times() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    for number in NUMBERS {
        let number: Value = serde_json::from_str(number)?;
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "Name": name, "Host": "calls.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
                "TimeoutMs": number, "TargetLatencyMs": number, "GapAimMs": number, "MaxAttempts": 2,
                "Service": service, "Resumable": kind == "stream", "CompletionTargetMs": number,
                "RetentionS": number
            })
        };
        let limits = json!({"HeaderTimeoutMs": number, "IdleTimeoutMs": number});
        harness.limits = Some(limits);
        harness.configure(json!([
            route("endless", "safe", "plain"),
            route("flow", "stream", "model"),
            route("lot", "batch", "model")
        ]));
        let revision = harness.version();
        let applied = async || {
            let lines = harness.events(0, "configuration_in_force");
            lines.iter().any(|line| line["revision"] == revision).then_some(())
        };
        harness.eventually("the configuration", applied).await?;
        for name in ["endless", "flow"] {
            // Without a time limit of its own.
            let call = Call::post(harness.address(0), format!("/{name}/path"))
                .with_header("host", "calls.example")
                .with_header("request-id", format!("{name}-{revision}"));
            expect_that!(harness.send(call).await?.status, eq(200), "{name}, {number}");
        }
        let (job, status) = harness.submit_to(0, "lot", &format!("j-{revision}"), 2, 3).await?;
        expect_that!(status, eq(202));
        let results = harness.await_results(0, &job).await?;
        expect_that!(Harness::complete_items(&results, 3).len(), eq(2), "{number}");
    }
    verify_that!(harness.log(0), not(contains_substring("panicked")))
}
