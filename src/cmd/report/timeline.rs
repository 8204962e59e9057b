//! Aggregates log lines of relays into a timeline of steps of equal length.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;
use serde_json::Value;

/// A log line with a valid time.
struct Line {
    time_ms: u64,
    relay: String,
    name: String,
    fields: Value,
}

impl Line {
    fn str_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn u64_field(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Counts and averages over all relays in one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Step {
    /// Requests that ended with a status below 500.
    pub answered: u64,
    /// Requests that were declined before they ran.
    pub refused: u64,
    /// Requests that ended with a status of 500 or above, and streams that broke off.
    pub failed: u64,
    /// Requests whose caller disconnected.
    pub left: u64,
    /// Times to the first byte of the answered requests in milliseconds, in ascending order.
    #[serde(skip)]
    pub first_byte_ms: Vec<u64>,
    /// Batch items that completed.
    pub complete: u64,
    /// Results of items that became readable to the caller.
    pub listed: u64,
    /// Batch items that were given up.
    pub abandoned: u64,
    /// Item runs that were stopped, so that online requests could run.
    pub stopped: u64,
    /// Accepted items without a readable result at the end of the step.
    pub backlog: u64,
    /// Mean number of online requests in flight at upstreams.
    pub online: f64,
    /// Mean number of batch items in flight at upstreams.
    pub batch: f64,
    /// Number of events by name, for the events in [`COUNTED_EVENTS`].
    pub events: BTreeMap<String, u64>,
}

impl Step {
    /// Returns a quantile of the time to the first byte in milliseconds, or 0 without answers.
    /// `share` is between 0 and 1.
    pub fn first_byte_quantile_ms(&self, share: f64) -> u64 {
        let rank = (self.first_byte_ms.len() as f64 * share).ceil() as usize;
        self.first_byte_ms.get(rank.max(1) - 1).copied().unwrap_or(0)
    }
}

/// A period that is divided into steps.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Start of the first step in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Length of each step.
    pub step: Duration,
    /// Number of relays with at least one log line.
    pub relays: usize,
    pub steps: Vec<Step>,
}

impl Timeline {
    /// Sums the counts of all steps. The backlog, the averages and the events stay zero or empty.
    pub fn total(&self) -> Step {
        let mut total = Step::default();
        for step in &self.steps {
            total.answered += step.answered;
            total.refused += step.refused;
            total.failed += step.failed;
            total.left += step.left;
            total.complete += step.complete;
            total.listed += step.listed;
            total.abandoned += step.abandoned;
            total.stopped += step.stopped;
            total.first_byte_ms.extend(&step.first_byte_ms);
        }
        total.first_byte_ms.sort_unstable();
        total
    }
}

/// Events that are counted by name, because they explain changes in the other figures of a step.
const COUNTED_EVENTS: [&str; 12] = [
    "daemon_starting",
    "daemon_leaving",
    "feed_lost",
    "feed_back",
    "upstream_paused",
    "upstream_leaving",
    "upstream_removed",
    "configuration_in_force",
    "job_not_stored",
    "results_waiting",
    "lines_dropped",
    "internal_fault",
];

/// Key of a run at an upstream: the relay, and the id of the request or item.
type Run = (String, String);

/// Log lines of several relays, one file for each relay.
#[derive(Default)]
pub struct Lines {
    lines: Vec<Line>,
}

impl Lines {
    /// Adds the lines of a log file. The file stem is the name of the relay. Lines that are not
    /// JSON or have no valid time are skipped.
    pub fn add(&mut self, path: &str, content: &str) {
        let file = Path::new(path).file_stem().unwrap_or_default().to_string_lossy().into_owned();
        for line in content.lines() {
            let Ok(fields) = serde_json::from_str::<Value>(line) else { continue };
            let time = fields.get("time").and_then(Value::as_str).unwrap_or_default();
            let Ok(time) = humantime::parse_rfc3339(time) else { continue };
            let Ok(since) = time.duration_since(UNIX_EPOCH) else { continue };
            let name = fields.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
            let time_ms = since.as_millis() as u64;
            self.lines.push(Line { time_ms, relay: file.clone(), name, fields });
        }
    }

    /// Returns the earliest and the latest time of a line in milliseconds since the Unix epoch, or
    /// `None` without lines.
    pub fn time_range(&self) -> Option<(u64, u64)> {
        let times = self.lines.iter().map(|line| line.time_ms);
        Some((times.clone().min()?, times.max()?))
    }

    /// Aggregates the lines into steps of the given length, which is at least 1 ms.
    pub fn into_timeline(mut self, step: Duration) -> Timeline {
        self.lines.sort_by_key(|line| line.time_ms);
        let (start_ms, end_ms) = self.time_range().unwrap_or_default();
        let step_ms = (step.as_millis() as u64).max(1);
        let count = ((end_ms - start_ms) / step_ms + 1) as usize;
        let mut steps = vec![Step::default(); count];
        let mut online = Occupancy::default();
        let mut batch = Occupancy::default();
        let mut backlog = Backlog::default();
        let mut last = 0;
        for line in &self.lines {
            let index = ((line.time_ms - start_ms) / step_ms) as usize;
            // A step without lines keeps the backlog of the step before it.
            for step in &mut steps[last..index] {
                step.backlog = backlog.items();
            }
            last = index;
            record_line(&mut steps[index], line);
            online.record_online(line);
            batch.record_batch(line);
            backlog.record(line);
        }
        steps[last].backlog = backlog.items();
        for (index, step) in steps.iter_mut().enumerate() {
            let from = start_ms + index as u64 * step_ms;
            step.online = online.mean(from, from + step_ms);
            step.batch = batch.mean(from, from + step_ms);
            step.first_byte_ms.sort_unstable();
        }
        let relays: BTreeSet<&str> = self.lines.iter().map(|line| line.relay.as_str()).collect();
        Timeline { start_ms, step, relays: relays.len(), steps }
    }
}

fn record_line(step: &mut Step, line: &Line) {
    match line.name.as_str() {
        "request_ended" if line.u64_field("status") < 500 => {
            step.answered += 1;
            step.first_byte_ms.push(line.u64_field("first_ms"));
        }
        "request_ended" | "stream_broken" => step.failed += 1,
        "request_declined" => step.refused += 1,
        "caller_left" => step.left += 1,
        "item_completed" => step.complete += 1,
        "results_listed" => step.listed += line.u64_field("count"),
        "item_abandoned" => step.abandoned += 1,
        "item_stopped" => step.stopped += 1,
        name if COUNTED_EVENTS.contains(&name) => {
            *step.events.entry(name.to_owned()).or_default() += 1;
        }
        _ => {}
    }
}

/// Number of accepted items without a readable result, by job.
#[derive(Default)]
struct Backlog {
    open: BTreeMap<String, u64>,
}

impl Backlog {
    fn record(&mut self, line: &Line) {
        let job = line.str_field("job").to_owned();
        match line.name.as_str() {
            "job_stored" => {
                self.open.entry(job).or_insert_with(|| line.u64_field("items"));
            }
            "results_listed" => {
                let left = line.u64_field("items").saturating_sub(line.u64_field("listed"));
                self.open.insert(job, left);
            }
            "job_ended" => {
                self.open.insert(job, 0);
            }
            _ => {}
        }
    }

    fn items(&self) -> u64 {
        self.open.values().sum()
    }
}

/// Runs at upstreams, from which the mean number of runs in flight is computed.
#[derive(Default)]
struct Occupancy {
    /// Runs in flight: start time in milliseconds, and the job, which is empty for requests.
    open: BTreeMap<Run, (u64, String)>,
    /// Start and end times of finished runs in milliseconds.
    finished: Vec<(u64, u64)>,
}

impl Occupancy {
    fn start(&mut self, line: &Line, id: &str) {
        self.end(line, id);
        let run = (line.relay.clone(), id.to_owned());
        self.open.insert(run, (line.time_ms, line.str_field("job").to_owned()));
    }

    fn end(&mut self, line: &Line, id: &str) {
        if let Some((start, _)) = self.open.remove(&(line.relay.clone(), id.to_owned())) {
            self.finished.push((start, line.time_ms));
        }
    }

    /// Ends the runs of the relay that wrote the line, all of them or those of one job.
    fn end_all(&mut self, line: &Line, job: Option<&str>) {
        let ended = self.open.extract_if(.., |(relay, _), (_, of)| {
            *relay == line.relay && job.is_none_or(|job| job == of)
        });
        self.finished.extend(ended.map(|(_, (start, _))| (start, line.time_ms)));
    }

    fn record_online(&mut self, line: &Line) {
        let id = line.str_field("request");
        match line.name.as_str() {
            "request_sent" => self.start(line, id),
            "request_ended" | "request_declined" | "caller_left" | "stream_broken"
            | "attempt_failed" => self.end(line, id),
            "daemon_starting" => self.end_all(line, None),
            _ => {}
        }
    }

    fn record_batch(&mut self, line: &Line) {
        match line.name.as_str() {
            "item_started" => self.start(line, line.str_field("item")),
            "item_stopped" | "item_completed" | "item_abandoned" => {
                self.end(line, line.str_field("item"));
            }
            "attempt_failed" => self.end(line, line.str_field("request")),
            "job_released" => self.end_all(line, Some(line.str_field("job"))),
            "daemon_starting" => self.end_all(line, None),
            _ => {}
        }
    }

    /// Returns the mean number of runs in flight between two times in milliseconds. Runs that have
    /// not ended by the last line do not count.
    fn mean(&self, from: u64, until: u64) -> f64 {
        let overlap =
            |(start, end): &(u64, u64)| (*end).min(until).saturating_sub((*start).max(from));
        let sum: u64 = self.finished.iter().map(overlap).sum();
        sum as f64 / (until - from) as f64
    }
}
