//! Trace spans with W3C trace context, written as log events when they end.
//!
//! A span that is not sampled allocates nothing: it only forwards the trace context that it
//! received.

use std::{fmt, sync::OnceLock, time::Duration};

use opentelemetry::{
    Context, KeyValue, SpanId, TraceFlags, TraceId, Value,
    trace::{Span as _, SpanContext, TraceContextExt, TraceState, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};

use crate::event::{Event, TARGET};

/// Length of a version 00 `traceparent` header, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Tracing of this process, set by [`install`].
static TRACING: OnceLock<Tracing> = OnceLock::new();

struct Tracing {
    tracer: SdkTracer,
    /// Whether requests without trace context may be sampled, so whether the sampled share is above
    /// zero.
    samples_roots: bool,
}

/// Installs the tracing of this process, which samples `share` (0 to 1) of the requests that arrive
/// without trace context. A request with trace context is sampled if its sampled flag is set.
///
/// Only the first call in a process takes effect.
pub fn install(share: f64) {
    TRACING.get_or_init(|| Tracing {
        tracer: provider(share, LogExporter).tracer("cyclamengrade"),
        samples_roots: share > 0.0,
    });
}

/// Creates a provider that samples `share` (0 to 1) of the traces that start here, and traces that
/// arrive with the sampled flag. Finished spans go to `exporter`.
pub fn provider(share: f64, exporter: impl SpanExporter + 'static) -> SdkTracerProvider {
    let root_sampler = Sampler::TraceIdRatioBased(share.clamp(0.0, 1.0));
    SdkTracerProvider::builder()
        .with_sampler(Sampler::ParentBased(Box::new(root_sampler)))
        .with_simple_exporter(exporter)
        .build()
}

/// Starts a span for a request, as a child of the caller's span if `traceparent` is well-formed.
pub fn start(name: &'static str, traceparent: Option<&str>) -> Span {
    let parent = traceparent.and_then(parse);
    match (TRACING.get(), parent) {
        (Some(tracing), Some(parent)) if parent.is_sampled() => {
            start_child(&tracing.tracer, name, parent)
        }
        (Some(tracing), None) if tracing.samples_roots => start_root(&tracing.tracer, name),
        (_, Some(parent)) => Span(State::Forwarded(parent)),
        (_, None) => Span(State::Absent),
    }
}

/// Starts a span like [`start`], but with a tracer of the given provider. Used to test exporters.
pub fn start_with(
    provider: &SdkTracerProvider,
    name: &'static str,
    traceparent: Option<&str>,
) -> Span {
    let tracer = provider.tracer("cyclamengrade");
    match traceparent.and_then(parse) {
        Some(parent) if parent.is_sampled() => start_child(&tracer, name, parent),
        Some(parent) => Span(State::Forwarded(parent)),
        None => start_root(&tracer, name),
    }
}

fn start_root(tracer: &SdkTracer, name: &'static str) -> Span {
    let span = tracer.build_with_context(tracer.span_builder(name), &Context::new());
    if span.is_recording() {
        Span(State::Recording(Box::new(Recording { span, tracer: tracer.clone() })))
    } else {
        Span(State::Absent)
    }
}

fn start_child(tracer: &SdkTracer, name: &'static str, parent: SpanContext) -> Span {
    let context = Context::new().with_remote_span_context(parent);
    let span = tracer.build_with_context(tracer.span_builder(name), &context);
    Span(State::Recording(Box::new(Recording { span, tracer: tracer.clone() })))
}

/// A started span, which ends when it is dropped.
#[derive(Debug)]
pub struct Span(State);

#[derive(Debug)]
enum State {
    /// The request has no trace context.
    Absent,
    /// The trace is not sampled; its context is passed on unchanged.
    Forwarded(SpanContext),
    /// The trace is sampled and the span is recorded.
    Recording(Box<Recording>),
}

struct Recording {
    span: opentelemetry_sdk::trace::Span,
    tracer: SdkTracer,
}

impl fmt::Debug for Recording {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.span.fmt(f)
    }
}

impl Span {
    /// Returns a span that belongs to no trace.
    pub const fn absent() -> Self {
        Self(State::Absent)
    }

    /// Returns whether the span is recorded, with its attributes.
    pub const fn is_sampled(&self) -> bool {
        matches!(self.0, State::Recording(_))
    }

    /// Starts a child of this span.
    pub fn child(&self, name: &'static str) -> Self {
        match &self.0 {
            State::Absent => Self(State::Absent),
            State::Forwarded(context) => Self(State::Forwarded(context.clone())),
            State::Recording(recording) => {
                start_child(&recording.tracer, name, recording.span.span_context().clone())
            }
        }
    }

    /// Returns the `traceparent` header for requests sent within this span, or `None` without trace
    /// context.
    pub fn traceparent(&self) -> Option<String> {
        match &self.0 {
            State::Absent => None,
            State::Forwarded(context) => Some(format(context)),
            State::Recording(recording) => Some(format(recording.span.span_context())),
        }
    }

    /// Sets an attribute. Has no effect when the span is not sampled.
    pub fn set(&mut self, key: &'static str, value: impl Into<Value>) {
        if let State::Recording(recording) = &mut self.0 {
            recording.span.set_attribute(KeyValue::new(key, value));
        }
    }

    pub fn end(self) {
        drop(self);
    }

    /// Sets attributes and ends the span. The attributes are computed only when the span is
    /// sampled.
    pub fn end_with<const N: usize>(
        mut self,
        attributes: impl FnOnce() -> [(&'static str, Value); N],
    ) {
        if self.is_sampled() {
            for (key, value) in attributes() {
                self.set(key, value);
            }
        }
        self.end();
    }
}

/// Parses a W3C `traceparent` header; returns `None` if it is malformed.
///
/// A version higher than 00 may have more fields after the flags; they are ignored.
pub fn parse(text: &str) -> Option<SpanContext> {
    let text = text.trim();
    let version = text.get(..2)?;
    let is_lower_hex =
        |text: &str| text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_lower_hex(version) || version == "ff" {
        return None;
    }
    let has_valid_length = match version {
        "00" => text.len() == TRACEPARENT_BYTES,
        _ => {
            text.len() == TRACEPARENT_BYTES || text.as_bytes().get(TRACEPARENT_BYTES) == Some(&b'-')
        }
    };
    let (trace, span, flags) = (text.get(3..35)?, text.get(36..52)?, text.get(53..55)?);
    let has_hyphens = [2, 35, 52].iter().all(|at| text.as_bytes().get(*at) == Some(&b'-'));
    if !has_valid_length || !has_hyphens || ![trace, span, flags].into_iter().all(is_lower_hex) {
        return None;
    }
    let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?) & TraceFlags::SAMPLED;
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        flags,
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

/// Formats a W3C `traceparent` header of version 00.
pub fn format(context: &SpanContext) -> String {
    let flags = context.trace_flags() & TraceFlags::SAMPLED;
    std::format!("00-{}-{}-{:02x}", context.trace_id(), context.span_id(), flags.to_u8())
}

/// Writes finished spans as log events.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, spans: Vec<SpanData>) -> OTelSdkResult {
        for span in spans {
            log_span(&span);
        }
        Ok(())
    }
}

fn log_span(span: &SpanData) {
    let event = Event::SpanEnded;
    if !log::log_enabled!(target: TARGET, event.level()) {
        return;
    }
    let duration = span.end_time.duration_since(span.start_time).unwrap_or(Duration::ZERO);
    let mut fields: Vec<(&str, log::kv::Value<'_>)> =
        vec![("event", event.number().into()), ("name", event.name().into())];
    let ids = [
        span.span_context.trace_id().to_string(),
        span.span_context.span_id().to_string(),
        span.parent_span_id.to_string(),
    ];
    let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    fields.extend([
        ("span", span.name.as_ref().into()),
        ("trace_id", ids[0].as_str().into()),
        ("span_id", ids[1].as_str().into()),
        ("duration_us", duration_us.into()),
    ]);
    if span.parent_span_id != SpanId::INVALID {
        fields.push(("parent_span_id", ids[2].as_str().into()));
    }
    for attribute in &span.attributes {
        let value = match &attribute.value {
            Value::Bool(value) => (*value).into(),
            Value::I64(value) => (*value).into(),
            Value::F64(value) => (*value).into(),
            Value::String(value) => value.as_str().into(),
            other => log::kv::Value::from_display(other),
        };
        fields.push((attribute.key.as_str(), value));
    }
    log::logger().log(
        &log::Record::builder()
            .target(TARGET)
            .level(event.level())
            .key_values(&fields.as_slice())
            .args(format_args!("{}", event.message()))
            .build(),
    );
}
