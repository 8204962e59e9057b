//! Trace context and spans.
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

#[derive(Clone, Debug, Default)]
struct Kept(Arc<Mutex<Vec<SpanData>>>);

impl SpanExporter for Kept {
    async fn export(&self, spans: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().unwrap().extend(spans);
        Ok(())
    }
}

/// Guards against accepting a malformed header, which would join unrelated traces.
#[gtest]
fn header_syntax() -> Result<()> {
    for fine in [SAMPLED, UNSAMPLED] {
        let context = trace::parse(fine).or_fail()?;
        expect_that!(trace::format(&context), eq(fine));
    }
    let newer = SAMPLED.replacen("00", "cc", 1) + "-more";
    expect_that!(trace::parse(&newer).map(|context| trace::format(&context)), some(eq(SAMPLED)));
    let other_flags = SAMPLED.replace("-01", "-03");
    expect_that!(
        trace::parse(&other_flags).map(|context| trace::format(&context)),
        some(eq(SAMPLED))
    );
    for bad in [
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
        expect_that!(trace::parse(bad).is_none(), eq(true), "{bad}");
    }
    Ok(())
}

/// Guards against a child that starts another trace or loses its parent.
#[gtest]
fn children_linked() -> Result<()> {
    let kept = Kept::default();
    let provider = trace::provider(0.0, kept.clone());
    let mut request = trace::start_with(&provider, "request", Some(SAMPLED));
    let attempt = request.child("attempt");
    let sent = trace::parse(&attempt.traceparent().or_fail()?).or_fail()?;
    request.set("deployment", "telaio-lm");
    attempt.end_with(|| [("upstream", Value::from("tl-1")), ("tokens", Value::from(7))]);
    request.end();

    let spans = kept.0.lock().unwrap();
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

/// Guards against recording unsampled traces, and against losing their context on the way.
#[gtest]
fn unsampled_forwarded() -> Result<()> {
    let kept = Kept::default();
    let provider = trace::provider(1.0, kept.clone());
    let span = trace::start_with(&provider, "request", Some(UNSAMPLED));
    expect_that!(span.is_sampled(), eq(false));
    expect_that!(span.child("attempt").traceparent(), some(eq(UNSAMPLED)));
    span.end_with::<0>(|| unreachable!("attributes of an unsampled span were computed"));
    verify_that!(kept.0.lock().unwrap().len(), eq(0))
}

/// Guards against a share of sampled requests that ignores the setting.
#[gtest]
fn root_share() -> Result<()> {
    for (share, least, most) in [(0.0, 0, 0), (1.0, 400, 400), (0.5, 120, 280)] {
        let kept = Kept::default();
        let provider = trace::provider(share, kept.clone());
        for _ in 0..400 {
            trace::start_with(&provider, "request", None).end();
        }
        let count = kept.0.lock().unwrap().len();
        expect_that!(count, all![ge(least), le(most)], "share {share}");
    }
    Ok(())
}

/// Guards against trace context that is dropped in a process that samples nothing.
#[gtest]
fn no_tracing() -> Result<()> {
    let span = trace::start("request", Some(UNSAMPLED));
    expect_that!(span.traceparent(), some(eq(UNSAMPLED)));
    expect_that!(trace::start("request", None).traceparent(), none());
    verify_that!(trace::Span::absent().child("attempt").traceparent(), none())
}
