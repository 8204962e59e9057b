//! Tests of relays that get no processor time for seconds while others run jobs.

use std::time::Duration;

use cyclamengrade_standins::bridge::Harness;
use googletest::prelude::*;
use tokio::time::sleep;

/// Longer than the silence after which the jobs of a relay go to others.
const PAUSE: Duration = Duration::from_millis(1_800);
/// Time in which the others report to a relay that goes on.
const REPORT_TIME: Duration = Duration::from_millis(800);

/// Guards against a job that a relay takes over from a live one, since it takes its own pause for the
/// silence of the others.
#[gtest]
#[tokio::test]
async fn own_pause() -> Result<()> {
    let harness = Harness::start(3).await?;
    for number in 0..6 {
        let (_, status) = harness.submit(0, &format!("j-{number}"), 40, 100).await?;
        expect_that!(status, eq(202));
    }
    let owned = |relay| harness.events(relay, "job_owned").len();
    let all = async || (owned(0) == 6).then_some(());
    harness.eventually("the first relay runs all jobs", all).await?;
    for paused in [1, 2, 1, 2] {
        harness.pause_relay(paused)?;
        sleep(PAUSE).await;
        harness.resume_relay(paused)?;
        sleep(REPORT_TIME).await;
        expect_that!(owned(paused), eq(0), "relay {paused}");
    }
    // Otherwise there was nothing to take over.
    let results = harness.results(0, "j-5", 0).await?;
    verify_that!(results.status, eq(200))
}
