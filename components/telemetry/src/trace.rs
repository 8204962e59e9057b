//! Trace spans with W3C trace context, written as log events.
//!
//! A span that is not sampled allocates nothing: it only forwards the trace context that it got.

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

/// Length of a `traceparent` of version 00.
const TRACEPARENT_BYTES: usize = 55;

static PROCESS: OnceLock<Tracing> = OnceLock::new();

struct Tracing {
    tracer: SdkTracer,
    /// Whether a request without trace context can be sampled at all.
    roots: bool,
}

/// Samples this share of the requests that bring no trace context; a request that brings one
/// follows its sampled flag. Only the first call of a process takes effect.
pub fn install(share: f64) {
    PROCESS.get_or_init(|| Tracing {
        tracer: provider(share, Lines).tracer("cyclamengrade"),
        roots: share > 0.0,
    });
}

/// A provider that samples `share` of all traces and sends finished spans to `exporter`.
pub fn provider(share: f64, exporter: impl SpanExporter + 'static) -> SdkTracerProvider {
    let root = Sampler::TraceIdRatioBased(share.clamp(0.0, 1.0));
    SdkTracerProvider::builder()
        .with_sampler(Sampler::ParentBased(Box::new(root)))
        .with_simple_exporter(exporter)
        .build()
}

/// Starts a span for a request, as a child of the caller's span when `traceparent` names one.
pub fn start(name: &'static str, traceparent: Option<&str>) -> Span {
    let parent = traceparent.and_then(parse);
    match (PROCESS.get(), parent) {
        (Some(tracing), Some(parent)) if parent.is_sampled() => {
            record(&tracing.tracer, name, parent)
        }
        (Some(tracing), None) if tracing.roots => root(&tracing.tracer, name),
        (_, Some(parent)) => Span(State::Forwarded(parent)),
        (_, None) => Span(State::Absent),
    }
}

/// Starts a span with a tracer of the given provider; for tests of exporters.
pub fn start_with(
    provider: &SdkTracerProvider,
    name: &'static str,
    traceparent: Option<&str>,
) -> Span {
    let tracer = provider.tracer("cyclamengrade");
    match traceparent.and_then(parse) {
        Some(parent) if parent.is_sampled() => record(&tracer, name, parent),
        Some(parent) => Span(State::Forwarded(parent)),
        None => root(&tracer, name),
    }
}

fn root(tracer: &SdkTracer, name: &'static str) -> Span {
    let span = tracer.build_with_context(tracer.span_builder(name), &Context::new());
    if span.is_recording() {
        Span(State::Recording(Box::new(Recording { span, tracer: tracer.clone() })))
    } else {
        Span(State::Absent)
    }
}

fn record(tracer: &SdkTracer, name: &'static str, parent: SpanContext) -> Span {
    let context = Context::new().with_remote_span_context(parent);
    let span = tracer.build_with_context(tracer.span_builder(name), &context);
    Span(State::Recording(Box::new(Recording { span, tracer: tracer.clone() })))
}

/// A started span; it ends when it is dropped.
#[derive(Debug)]
pub struct Span(State);

#[derive(Debug)]
enum State {
    /// There is no trace context.
    Absent,
    /// The trace is not sampled; its context is passed on unchanged.
    Forwarded(SpanContext),
    /// The span is recorded.
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
    /// A span outside of every trace.
    pub const fn absent() -> Self {
        Self(State::Absent)
    }

    /// Whether attributes of this span are kept.
    pub const fn is_sampled(&self) -> bool {
        matches!(self.0, State::Recording(_))
    }

    /// Starts a span below this one.
    pub fn child(&self, name: &'static str) -> Self {
        match &self.0 {
            State::Absent => Self(State::Absent),
            State::Forwarded(context) => Self(State::Forwarded(context.clone())),
            State::Recording(own) => record(&own.tracer, name, own.span.span_context().clone()),
        }
    }

    /// The `traceparent` to send with a call that this span makes; absent without trace context.
    pub fn traceparent(&self) -> Option<String> {
        match &self.0 {
            State::Absent => None,
            State::Forwarded(context) => Some(format(context)),
            State::Recording(own) => Some(format(own.span.span_context())),
        }
    }

    /// Sets an attribute; without effect when the span is not sampled.
    pub fn set(&mut self, key: &'static str, value: impl Into<Value>) {
        if let State::Recording(own) = &mut self.0 {
            own.span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Ends the span.
    pub fn end(self) {
        drop(self);
    }

    /// Ends the span with attributes, which are only computed when the span is sampled.
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

/// Parses a W3C `traceparent`; `None` when it is malformed.
///
/// A higher version may have more fields after the flags, which are ignored.
pub fn parse(text: &str) -> Option<SpanContext> {
    let text = text.trim();
    let version = text.get(..2)?;
    let hexadecimal =
        |text: &str| text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !hexadecimal(version) || version == "ff" {
        return None;
    }
    let fits = match version {
        "00" => text.len() == TRACEPARENT_BYTES,
        _ => {
            text.len() == TRACEPARENT_BYTES || text.as_bytes().get(TRACEPARENT_BYTES) == Some(&b'-')
        }
    };
    let (trace, span, flags) = (text.get(3..35)?, text.get(36..52)?, text.get(53..55)?);
    let hyphens = [2, 35, 52].iter().all(|at| text.as_bytes().get(*at) == Some(&b'-'));
    if !fits || !hyphens || ![trace, span, flags].into_iter().all(hexadecimal) {
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

/// Formats a W3C `traceparent` of version 00.
pub fn format(context: &SpanContext) -> String {
    let flags = context.trace_flags() & TraceFlags::SAMPLED;
    std::format!("00-{}-{}-{:02x}", context.trace_id(), context.span_id(), flags.to_u8())
}

/// Writes finished spans as log events.
#[derive(Debug)]
struct Lines;

impl SpanExporter for Lines {
    async fn export(&self, spans: Vec<SpanData>) -> OTelSdkResult {
        for span in spans {
            write(&span);
        }
        Ok(())
    }
}

fn write(span: &SpanData) {
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
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    fields.extend([
        ("span", span.name.as_ref().into()),
        ("trace_id", ids[0].as_str().into()),
        ("span_id", ids[1].as_str().into()),
        ("duration_us", micros.into()),
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
            .args(format_args!("{}", event.text()))
            .build(),
    );
}
