//! Structured log lines on standard error or standard output: one JSON object per line.

use std::{
    collections::BTreeMap,
    error::Error,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::SystemTime,
};

use log::{
    LevelFilter, Record, SetLoggerError,
    kv::{self, Key, Value, VisitSource, VisitValue},
};
use serde_json::json;

/// Log targets of this workspace. Their lines without an event number follow the configured level,
/// and lines of third-party libraries do not.
const WORKSPACE_TARGETS: [&str; 7] = [
    "cyclamengrade_caller",
    "cyclamengrade_control",
    "cyclamengrade_daemon",
    "cyclamengrade_peer",
    "cyclamengrade_platform",
    "cyclamengrade_relay",
    "cyclamengrade_upstream",
];

/// Capacity of the queue of lines for standard output, about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Installs a logger that writes lines of at least this level to standard error.
///
/// Lines of third-party libraries are written only at level `warn` or above.
///
/// # Errors
///
/// The process already has a logger.
pub fn install(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(io::stderr()).apply()
}

/// Installs a logger that writes lines of at least this level to standard output from a dedicated
/// thread.
///
/// Lines that do not fit into the bounded queue of the thread are dropped and counted, so that
/// logging never blocks. Lines of third-party libraries are written only at level `warn` or above.
///
/// # Errors
///
/// The process already has a logger, or the thread cannot be started.
pub fn install_bounded(level: LevelFilter) -> Result<(), Box<dyn Error>> {
    let (sender, receiver) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = dropped.clone();
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, &writer_dropped))?;
    let output = fern::Output::call(move |record| {
        if sender.try_send(format!("{}\n", record.args())).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    });
    // The dispatch lets all levels pass, because it cannot be changed later; `set_level` limits
    // them.
    dispatch(LevelFilter::Trace).chain(output).apply()?;
    set_level(level);
    Ok(())
}

/// Changes the level from which log lines are written.
///
/// After [`install`] it can only make the log less verbose, because that logger also filters by the
/// level given to it.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Writes queued lines in batches and logs how many lines were dropped since the last batch.
fn write_lines(receiver: &mpsc::Receiver<String>, dropped: &AtomicU64) {
    while let Ok(mut lines) = receiver.recv() {
        for line in receiver.try_iter().take(MAX_QUEUED_LINES) {
            lines.push_str(&line);
        }
        // A failed write cannot be reported: standard output is the log itself.
        let _ = io::stdout().lock().write_all(lines.as_bytes());
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            crate::event!(LinesDropped, lines = count);
        }
    }
}

/// Returns the formatter and the level filter, without an output.
pub fn dispatch(level: LevelFilter) -> fern::Dispatch {
    let libraries = fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for(crate::event::TARGET, level);
    WORKSPACE_TARGETS
        .into_iter()
        .fold(libraries, |dispatch, target| dispatch.level_for(target, level))
        .format(|out, _, record| out.finish(format_args!("{}", line(record, SystemTime::now()))))
}

/// Formats a record as one log line without the line terminator.
///
/// The fields `time`, `level`, `message` and, for lines without an event number, `target` replace
/// fields of the record with the same name.
pub fn line(record: &Record<'_>, time: SystemTime) -> String {
    let mut fields = Fields::default();
    // A field that cannot be read ends the visit; the line is written with the fields before it.
    let _ = record.key_values().visit(&mut fields);
    fields.set("time", json!(humantime::format_rfc3339_millis(time).to_string()));
    fields.set("level", json!(record.level().as_str().to_ascii_lowercase()));
    if record.target() != crate::event::TARGET {
        fields.set("target", json!(record.target()));
    }
    fields.set("message", json!(record.args().to_string()));
    json!(fields.0).to_string()
}

/// Collects the key-value fields of a record as JSON values.
#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl Fields {
    fn set(&mut self, key: &str, value: serde_json::Value) {
        self.0.insert(key.into(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut json = Json(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.set(key.as_str(), json.0);
        Ok(())
    }
}

/// Converts the value of one field to JSON.
struct Json(serde_json::Value);

impl VisitValue<'_> for Json {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        self.0 = json!(value.to_string());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = json!(value);
        Ok(())
    }
}
