//! Tests of trace context in `traceparent` headers, and of the sampling and nesting of spans.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::{Arc, Mutex};

use cyclamengrade_telemetry::trace;
use googletest::prelude::*;
use opentelemetry::Value;
use opentelemetry_sdk::{
    error::OTelSdkResult,
    trace::{SpanData, SpanExporter},
};

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const UNSAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

/// An exporter that collects the finished spans.
#[derive(Clone, Debug, Default)]
struct Collector(Arc<Mutex<Vec<SpanData>>>);

impl SpanExporter for Collector {
    async fn export(&self, spans: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().unwrap().extend(spans);
        Ok(())
    }
}

/// Guards against accepting a malformed header, which would join unrelated traces.
#[gtest]
fn header_syntax() -> Result<()> {
    for valid in [SAMPLED, UNSAMPLED] {
        let context = trace::parse(valid).or_fail()?;
        expect_that!(trace::format(&context), eq(valid));
    }
    let newer = SAMPLED.replacen("00", "cc", 1) + "-more";
    expect_that!(trace::parse(&newer).map(|context| trace::format(&context)), some(eq(SAMPLED)));
    let other_flags = SAMPLED.replace("-01", "-03");
    expect_that!(
        trace::parse(&other_flags).map(|context| trace::format(&context)),
        some(eq(SAMPLED))
    );
    for malformed in [
        "",
        "00",
        &SAMPLED.to_uppercase(),
        &SAMPLED.replacen("00", "ff", 1),
        &(SAMPLED.to_string() + "-more"),
        &SAMPLED.replace('-', "_"),
        &SAMPLED[..54],
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0af7651916cd43dd8448eb211c80319é-b7ad6b716920333-01",
    ] {
        expect_that!(trace::parse(malformed).is_none(), eq(true), "{malformed}");
    }
    Ok(())
}

/// Guards against a child span that starts a new trace or has another parent than the span that
/// started it.
#[gtest]
fn children_linked() -> Result<()> {
    let collector = Collector::default();
    let provider = trace::provider(0.0, collector.clone());
    let mut request = trace::start_with(&provider, "request", Some(SAMPLED));
    let attempt = request.child("attempt");
    let sent = trace::parse(&attempt.traceparent().or_fail()?).or_fail()?;
    request.set("deployment", "telaio-lm");
    attempt.end_with(|| [("upstream", Value::from("tl-1")), ("tokens", Value::from(7))]);
    request.end();

    let spans = collector.0.lock().unwrap();
    expect_that!(spans.len(), eq(2));
    let (attempt, request) = (&spans[0], &spans[1]);
    expect_that!(request.parent_span_id.to_string(), eq("b7ad6b7169203331"));
    expect_that!(attempt.parent_span_id, eq(request.span_context.span_id()));
    expect_that!(attempt.span_context.span_id(), eq(sent.span_id()));
    expect_that!(sent.is_sampled(), eq(true));
    for span in [attempt, request] {
        expect_that!(
            span.span_context.trace_id().to_string(),
            eq("0af7651916cd43dd8448eb211c80319c")
        );
    }
    expect_that!(attempt.attributes.len(), eq(2));
    verify_that!(request.attributes.len(), eq(1))
}

/// Guards against recording the spans of an unsampled trace, and against not forwarding its
/// context.
#[gtest]
fn unsampled_forwarded() -> Result<()> {
    let collector = Collector::default();
    let provider = trace::provider(1.0, collector.clone());
    let span = trace::start_with(&provider, "request", Some(UNSAMPLED));
    expect_that!(span.is_sampled(), eq(false));
    expect_that!(span.child("attempt").traceparent(), some(eq(UNSAMPLED)));
    span.end_with::<0>(|| unreachable!("attributes of an unsampled span were computed"));
    verify_that!(collector.0.lock().unwrap().len(), eq(0))
}

/// Guards against sampling another share of the requests without trace context than the configured
/// one. The bounds for the share 0.5 of 400 requests allow for random variation.
#[gtest]
fn root_share() -> Result<()> {
    for (share, least, most) in [(0.0, 0, 0), (1.0, 400, 400), (0.5, 120, 280)] {
        let collector = Collector::default();
        let provider = trace::provider(share, collector.clone());
        for _ in 0..400 {
            trace::start_with(&provider, "request", None).end();
        }
        let count = collector.0.lock().unwrap().len();
        expect_that!(count, all![ge(least), le(most)], "share {share}");
    }
    Ok(())
}

/// Guards against dropping the trace context in a process without tracing.
#[gtest]
fn tracing_not_installed() -> Result<()> {
    let span = trace::start("request", Some(UNSAMPLED));
    expect_that!(span.traceparent(), some(eq(UNSAMPLED)));
    expect_that!(trace::start("request", None).traceparent(), none());
    verify_that!(trace::Span::absent().child("attempt").traceparent(), none())
}
