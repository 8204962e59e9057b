//! What log lines of relays say of a time, in steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;
use serde_json::Value;

/// A log line.
struct Line {
    time_ms: u64,
    relay: String,
    name: String,
    fields: Value,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// What the relays did in one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Step {
    /// Requests with an answer of an upstream.
    pub answered: u64,
    /// Requests that were refused before they ran.
    pub refused: u64,
    /// Requests that ended with an error of an upstream or in the middle.
    pub failed: u64,
    /// Requests whose caller left.
    pub left: u64,
    /// Milliseconds to the first byte, sorted.
    #[serde(skip)]
    pub first: Vec<u64>,
    /// Items that became complete.
    pub complete: u64,
    /// Results that became readable.
    pub listed: u64,
    /// Items that were given up.
    pub abandoned: u64,
    /// Runs of items that were stopped for online requests.
    pub stopped: u64,
    /// Accepted items without a result at the end of the step.
    pub backlog: u64,
    /// Online requests at upstreams, on average.
    pub online: f64,
    /// Items at upstreams, on average.
    pub batch: f64,
    /// What happened to relays, upstreams and the store.
    pub events: BTreeMap<String, u64>,
}

impl Step {
    /// Time to the first byte that this share of the answers stays within, in milliseconds.
    pub fn first_ms(&self, share: f64) -> u64 {
        let rank = (self.first.len() as f64 * share).ceil() as usize;
        self.first.get(rank.max(1) - 1).copied().unwrap_or(0)
    }
}

/// A time in steps.
#[derive(Clone, Debug)]
pub struct Day {
    /// Start, in milliseconds since 1970.
    pub start_ms: u64,
    /// Length of a step.
    pub step: Duration,
    /// Relays that wrote lines.
    pub relays: usize,
    /// The steps.
    pub steps: Vec<Step>,
}

impl Day {
    /// All steps as one.
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
            total.first.extend(&step.first);
        }
        total.first.sort_unstable();
        total
    }
}

/// Events that are counted by name, since they explain the figures of a step.
const SHOWN: [&str; 12] = [
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

/// A request or an item at an upstream: the relay, and the id.
type Run = (String, String);

/// Log lines of several files.
#[derive(Default)]
pub struct Lines {
    lines: Vec<Line>,
}

impl Lines {
    /// Takes over the lines of a file; those without a time are left out.
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

    /// Times of the first and the last line, in milliseconds since 1970.
    pub fn span(&self) -> Option<(u64, u64)> {
        let times = self.lines.iter().map(|line| line.time_ms);
        Some((times.clone().min()?, times.max()?))
    }

    /// The time in steps of this length.
    pub fn day(mut self, step: Duration) -> Day {
        self.lines.sort_by_key(|line| line.time_ms);
        let (start_ms, end_ms) = self.span().unwrap_or_default();
        let step_ms = (step.as_millis() as u64).max(1);
        let count = ((end_ms - start_ms) / step_ms + 1) as usize;
        let mut steps = vec![Step::default(); count];
        let mut online = Occupancy::default();
        let mut batch = Occupancy::default();
        let mut backlog = Backlog::default();
        let mut last = 0;
        for line in &self.lines {
            let index = ((line.time_ms - start_ms) / step_ms) as usize;
            // A step without lines has the backlog of the one before.
            for step in &mut steps[last..index] {
                step.backlog = backlog.items();
            }
            last = index;
            count_line(&mut steps[index], line);
            online.online(line);
            batch.batch(line);
            backlog.take(line);
        }
        steps[last].backlog = backlog.items();
        for (index, step) in steps.iter_mut().enumerate() {
            let from = start_ms + index as u64 * step_ms;
            step.online = online.mean(from, from + step_ms);
            step.batch = batch.mean(from, from + step_ms);
            step.first.sort_unstable();
        }
        let relays: BTreeSet<&str> = self.lines.iter().map(|line| line.relay.as_str()).collect();
        Day { start_ms, step, relays: relays.len(), steps }
    }
}

fn count_line(step: &mut Step, line: &Line) {
    match line.name.as_str() {
        "request_ended" if line.number("status") < 500 => {
            step.answered += 1;
            step.first.push(line.number("first_ms"));
        }
        "request_ended" | "stream_broken" => step.failed += 1,
        "request_declined" => step.refused += 1,
        "caller_left" => step.left += 1,
        "item_completed" => step.complete += 1,
        "results_listed" => step.listed += line.number("count"),
        "item_abandoned" => step.abandoned += 1,
        "item_stopped" => step.stopped += 1,
        name if SHOWN.contains(&name) => {
            *step.events.entry(name.to_owned()).or_default() += 1;
        }
        _ => {}
    }
}

/// Accepted items without a result, by job.
#[derive(Default)]
struct Backlog {
    open: BTreeMap<String, u64>,
}

impl Backlog {
    fn take(&mut self, line: &Line) {
        let job = line.text("job").to_owned();
        match line.name.as_str() {
            "job_stored" => {
                self.open.entry(job).or_insert_with(|| line.number("items"));
            }
            "results_listed" => {
                let left = line.number("items").saturating_sub(line.number("listed"));
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

/// Runs at upstreams and their times.
#[derive(Default)]
struct Occupancy {
    /// Start, and job if it is a run of an item.
    open: BTreeMap<Run, (u64, String)>,
    done: Vec<(u64, u64)>,
}

impl Occupancy {
    fn start(&mut self, line: &Line, id: &str) {
        self.end(line, id);
        let run = (line.relay.clone(), id.to_owned());
        self.open.insert(run, (line.time_ms, line.text("job").to_owned()));
    }

    fn end(&mut self, line: &Line, id: &str) {
        if let Some((start, _)) = self.open.remove(&(line.relay.clone(), id.to_owned())) {
            self.done.push((start, line.time_ms));
        }
    }

    /// Ends the runs of a relay, all of them or those of one job.
    fn end_all(&mut self, line: &Line, job: Option<&str>) {
        let gone = self.open.extract_if(.., |(relay, _), (_, of)| {
            *relay == line.relay && job.is_none_or(|job| job == of)
        });
        self.done.extend(gone.map(|(_, (start, _))| (start, line.time_ms)));
    }

    fn online(&mut self, line: &Line) {
        let id = line.text("request");
        match line.name.as_str() {
            "request_sent" => self.start(line, id),
            "request_ended" | "request_declined" | "caller_left" | "stream_broken"
            | "attempt_failed" => self.end(line, id),
            "daemon_starting" => self.end_all(line, None),
            _ => {}
        }
    }

    fn batch(&mut self, line: &Line) {
        match line.name.as_str() {
            "item_started" => self.start(line, line.text("item")),
            "item_stopped" | "item_completed" | "item_abandoned" => {
                self.end(line, line.text("item"));
            }
            "attempt_failed" => self.end(line, line.text("request")),
            "job_released" => self.end_all(line, Some(line.text("job"))),
            "daemon_starting" => self.end_all(line, None),
            _ => {}
        }
    }

    /// Runs at upstreams between two times, on average.
    fn mean(&self, from: u64, until: u64) -> f64 {
        let within =
            |(start, end): &(u64, u64)| (*end).min(until).saturating_sub((*start).max(from));
        let sum: u64 = self.done.iter().map(within).sum();
        sum as f64 / (until - from) as f64
    }
}
