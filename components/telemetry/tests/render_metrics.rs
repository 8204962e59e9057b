//! Test of the Prometheus text that `/metrics` serves.

use cyclamengrade_telemetry::metrics::{self, install};
use googletest::prelude::*;

/// Guards against metrics without a description, against histograms without the latency targets as
/// bucket bounds, and against a second recorder in one process.
#[gtest]
fn text_format() -> Result<()> {
    let handle = install().or_fail()?;
    ::metrics::counter!(metrics::REQUESTS, "deployment" => "telaio-lm", "outcome" => "ok")
        .increment(3);
    ::metrics::histogram!(metrics::BETWEEN_TOKENS_SECONDS, "deployment" => "telaio-lm")
        .record(0.05);
    handle.upkeep();
    let text = handle.render();
    expect_that!(text, contains_substring("# HELP requests_total Online requests that ended"));
    expect_that!(text, contains_substring("# TYPE requests_total counter"));
    expect_that!(
        text,
        contains_substring("requests_total{deployment=\"telaio-lm\",outcome=\"ok\"} 3")
    );
    expect_that!(
        text,
        contains_substring(
            "between_tokens_seconds_bucket{deployment=\"telaio-lm\",le=\"0.079\"} 1"
        )
    );
    verify_that!(install().is_err(), eq(true))
}
