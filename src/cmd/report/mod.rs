//! `report FILE... [--step-s S] [--page PAGE]`.

mod day;
mod page;

use std::{fs, time::Duration};

use serde_json::json;

use self::day::{Day, Step};
use crate::{
    cli::{Call, Failure, read},
    print,
};

/// Help of this subcommand.
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

/// Steps of a report when their length is not given; a chart of more is hard to read on a phone.
const STEPS: u64 = 100;
/// Steps that are printed.
const WORST: usize = 5;

/// Runs the subcommand.
pub fn run(mut call: Call) -> Result<(), Failure> {
    let step: Option<u64> = call.arguments.opt_value_from_str("--step-s")?;
    let page: Option<String> = call.arguments.opt_value_from_str("--page")?;
    if step == Some(0) {
        return Err(Failure::usage("--step-s is 0; write at least 1"));
    }
    let mut files = vec![call.free("a log FILE")?];
    while let Some(path) = call.arguments.opt_free_from_str::<String>()? {
        files.push(path);
    }
    call.finish()?;
    let mut lines = day::Lines::default();
    for path in &files {
        let content = read(path)?;
        lines.add(path, &String::from_utf8_lossy(&content));
    }
    let Some((start, end)) = lines.span() else {
        return Err(Failure::usage("the files have no line with a time"));
    };
    let step = step.unwrap_or_else(|| ((end - start) / 1_000 / STEPS).max(1));
    let day = lines.day(Duration::from_secs(step));
    if let Some(page) = &page {
        fs::write(page, page::html(&day))
            .map_err(|cause| Failure::usage(format!("cannot write {page}: {cause}")))?;
    }
    match call.json {
        true => {
            print::json(&json!({ "start_ms": day.start_ms, "step_s": step, "steps": day.steps }))
        }
        false => text(&day),
    }
}

fn text(day: &Day) -> Result<(), Failure> {
    let total = day.total();
    let steps = day.steps.len();
    print::line(&print::wrap(&format!(
        "{} and {} s after it, {} relays, {} steps of {} s",
        print::time(day.start_ms),
        steps as u64 * day.step.as_secs(),
        day.relays,
        steps,
        day.step.as_secs()
    )))?;
    print::line(&print::wrap(&format!(
        "requests: {} answered, {} refused, {} failed, {} left",
        total.answered, total.refused, total.failed, total.left
    )))?;
    print::line(&print::wrap(&format!(
        "first byte: {} ms at the median, {} ms for 95 in 100",
        total.first_ms(0.5),
        total.first_ms(0.95)
    )))?;
    print::line(&print::wrap(&format!(
        "items: {} complete, {} listed, {} given up, {} runs stopped",
        total.complete, total.listed, total.abandoned, total.stopped
    )))?;
    for (title, measure) in WORST_BY {
        let mut worst: Vec<(usize, u64)> =
            day.steps.iter().map(measure).enumerate().filter(|(_, value)| *value > 0).collect();
        worst.sort_by_key(|(index, value)| (std::cmp::Reverse(*value), *index));
        worst.truncate(WORST);
        let worst: Vec<String> = worst
            .iter()
            .map(|(index, value)| format!("{value} at {} s", *index as u64 * day.step.as_secs()))
            .collect();
        if !worst.is_empty() {
            print::line(&print::wrap(&format!("{title}: {}", worst.join(", "))))?;
        }
    }
    Ok(())
}

/// A figure of a step, by which the worst steps are found.
type Measure = fn(&Step) -> u64;

const WORST_BY: [(&str, Measure); 4] = [
    ("most refused", |step| step.refused),
    ("most failed", |step| step.failed),
    ("slowest first bytes of 95 in 100, ms", |step| step.first_ms(0.95)),
    ("largest backlog of items", |step| step.backlog),
];
