//! `report FILE... [--step-s S] [--page PAGE]`: summarizes log files of relays as text, JSON or an
//! HTML page with charts.

mod page;
mod timeline;

use std::{fs, time::Duration};

use serde_json::json;

use self::timeline::{Step, Timeline};
use crate::{
    cli::{Failure, Invocation, read_file},
    print,
};

pub const HELP: &str = "\
Usage: cyclamengrade report FILE... [OPTIONS]

Sums up what log files of relays say of a time: latency,
refusals, backlog of batch items and requests at upstreams.
Prints the totals and the worst steps of the time.

Options:
  --step-s S    length of a step (a hundredth of the time,
                one second at least)
  --page PAGE   also write a page with charts, which reads
                on a phone, to this file";

/// Target number of steps without `--step-s`; a chart with more is hard to read on a phone.
const DEFAULT_STEPS: u64 = 100;
/// Maximum number of worst steps that are printed for each measure.
const MAX_WORST_STEPS: usize = 5;

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let step: Option<u64> = invocation.arguments.opt_value_from_str("--step-s")?;
    let page: Option<String> = invocation.arguments.opt_value_from_str("--page")?;
    if step == Some(0) {
        return Err(Failure::usage("--step-s is 0; write at least 1"));
    }
    let mut files = vec![invocation.positional("a log FILE")?];
    while let Some(path) = invocation.arguments.opt_free_from_str::<String>()? {
        files.push(path);
    }
    invocation.finish()?;
    let mut lines = timeline::Lines::default();
    for path in &files {
        let content = read_file(path)?;
        lines.add(path, &String::from_utf8_lossy(&content));
    }
    let Some((start, end)) = lines.time_range() else {
        return Err(Failure::usage("the files have no line with a time"));
    };
    let step = step.unwrap_or_else(|| ((end - start) / 1_000 / DEFAULT_STEPS).max(1));
    let timeline = lines.into_timeline(Duration::from_secs(step));
    if let Some(page) = &page {
        fs::write(page, page::render(&timeline))
            .map_err(|cause| Failure::usage(format!("cannot write {page}: {cause}")))?;
    }
    match invocation.json {
        true => print::json(
            &json!({ "start_ms": timeline.start_ms, "step_s": step, "steps": timeline.steps }),
        ),
        false => print_text(&timeline),
    }
}

fn print_text(timeline: &Timeline) -> Result<(), Failure> {
    let total = timeline.total();
    let steps = timeline.steps.len();
    print::line(&print::wrap(&format!(
        "{} and {} s after it, {} relays, {} steps of {} s",
        print::timestamp(timeline.start_ms),
        steps as u64 * timeline.step.as_secs(),
        timeline.relays,
        steps,
        timeline.step.as_secs()
    )))?;
    print::line(&print::wrap(&format!(
        "requests: {} answered, {} refused, {} failed, {} left",
        total.answered, total.refused, total.failed, total.left
    )))?;
    print::line(&print::wrap(&format!(
        "first byte: {} ms at the median, {} ms for 95 in 100",
        total.first_byte_quantile_ms(0.5),
        total.first_byte_quantile_ms(0.95)
    )))?;
    print::line(&print::wrap(&format!(
        "items: {} complete, {} listed, {} given up, {} runs stopped",
        total.complete, total.listed, total.abandoned, total.stopped
    )))?;
    for (title, measure) in MEASURES {
        let mut worst: Vec<(usize, u64)> = timeline
            .steps
            .iter()
            .map(measure)
            .enumerate()
            .filter(|(_, value)| *value > 0)
            .collect();
        worst.sort_by_key(|(index, value)| (std::cmp::Reverse(*value), *index));
        worst.truncate(MAX_WORST_STEPS);
        let worst: Vec<String> = worst
            .iter()
            .map(|(index, value)| {
                format!("{value} at {} s", *index as u64 * timeline.step.as_secs())
            })
            .collect();
        if !worst.is_empty() {
            print::line(&print::wrap(&format!("{title}: {}", worst.join(", "))))?;
        }
    }
    Ok(())
}

/// Returns the value of a step by which steps are ranked; higher is worse.
type Measure = fn(&Step) -> u64;

/// Titles and measures by which the worst steps are printed.
const MEASURES: [(&str, Measure); 4] = [
    ("most refused", |step| step.refused),
    ("most failed", |step| step.failed),
    ("slowest first bytes of 95 in 100, ms", |step| step.first_byte_quantile_ms(0.95)),
    ("largest backlog of items", |step| step.backlog),
];
