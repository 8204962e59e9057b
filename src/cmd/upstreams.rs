//! `upstreams`: prints the state and load of the upstreams that a daemon knows.

use std::collections::BTreeMap;

use cyclamengrade_operator::Upstream;

use crate::{
    cli::{self, Failure, Invocation},
    print,
};

pub const HELP: &str = "\
Usage: cyclamengrade upstreams [--deployment NAME]

Prints the upstreams as the daemon sees them, by deployment
and data centre:
  ONL   online requests of this daemon
  BAT   batch streams of this daemon
  RUN   requests that the upstream reported as running
  TTFT  smoothed time to first token in ms";

/// Width of the name column; a longer name is printed on a line of its own.
const NAME_WIDTH: usize = 22;

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let deployment: Option<String> = invocation.arguments.opt_value_from_str("--deployment")?;
    invocation.finish()?;
    let mut upstreams = cli::block_on(invocation.admin()?.upstreams())?;
    if let Some(deployment) = &deployment {
        upstreams.retain(|upstream| upstream.deployment == *deployment);
    }
    if invocation.json {
        return print::json(&upstreams);
    }
    if upstreams.is_empty() {
        return print::line("the daemon knows no such upstream");
    }
    let mut groups = BTreeMap::<_, Vec<_>>::new();
    for upstream in &upstreams {
        groups.entry((&upstream.deployment, &upstream.data_centre)).or_default().push(upstream);
    }
    let mut lines = Vec::new();
    for ((deployment, data_centre), mut group) in groups {
        group.sort_by(|left, right| left.name.cmp(&right.name));
        lines.push(print::wrap(&format!("{deployment} in {data_centre}")));
        lines.push(format_row("NAME", "STATE", ["ONL", "BAT", "RUN", "TTFT"].map(String::from)));
        lines.extend(group.into_iter().map(format_upstream));
    }
    print::line(&lines.join("\n"))
}

fn format_upstream(upstream: &Upstream) -> String {
    let figures = [
        upstream.online.to_string(),
        upstream.batch.to_string(),
        upstream.reported_running.to_string(),
        format!("{:.0}", upstream.first_token_ms),
    ];
    if upstream.name.chars().count() <= NAME_WIDTH {
        return format_row(&upstream.name, &upstream.state, figures);
    }
    format!("  {}\n{}", upstream.name, format_row("", &upstream.state, figures))
}

fn format_row(name: &str, state: &str, figures: [String; 4]) -> String {
    let [online, batch, running, first_token] = figures;
    format!(
        "  {name:<NAME_WIDTH$} {state:<11} {online:>4} {batch:>4} {running:>4} {first_token:>6}"
    )
}
