//! Measures what an idle daemon costs as the fleet grows.
//!
//! Starts whole fleets of real processes one after the other, with the periods of the default
//! settings, and reads CPU time and memory from `/proc`, datagrams from the daemons' metrics and
//! operations from the platform stand-in.

use std::{fs, io, time::Duration};

use serde_json::json;
use tokio::time::sleep;

use crate::{
    client::Call,
    fleet::{Error, Fleet, Plan},
    platform::Stats,
};

/// Ticks of `/proc/PID/stat` a second on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// What to measure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Numbers of daemons.
    pub daemons: Vec<usize>,
    /// Engines in each fleet.
    pub engines: usize,
    /// Times that each size is measured; the sizes alternate.
    pub rounds: usize,
    /// Wait before a measurement.
    pub warm_up: Duration,
    /// Length of a measurement.
    pub measured: Duration,
}

/// Cost of one daemon, as the mean over the fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_percent: f64,
    memory_mb: f64,
    datagram_bytes_per_s: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    vm_lists_per_s: f64,
}

/// Counters at one moment, over the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu_ticks: u64,
    memory_kb: u64,
    datagram_bytes: f64,
    stats: Stats,
}

/// Measures all sizes and prints a line for each.
///
/// # Errors
///
/// A fleet could not be started or read.
pub async fn run(options: Options) -> Result<(), Error> {
    println!(
        "daemons | CPU % of a core | memory MB | datagrams B/s | reads/s | writes/s | lists/s"
    );
    for round in 1..=options.rounds {
        for &daemons in &options.daemons {
            let cost = measure(daemons, &options).await?;
            println!(
                "{daemons:>3} (round {round}) | {:.2} | {:.1} | {:.0} | {:.3} | {:.3} | {:.3}",
                cost.cpu_percent,
                cost.memory_mb,
                cost.datagram_bytes_per_s,
                cost.reads_per_s,
                cost.writes_per_s,
                cost.vm_lists_per_s,
            );
        }
    }
    Ok(())
}

async fn measure(daemons: usize, options: &Options) -> Result<Cost, Error> {
    // The harness shortens all periods for tests; capacity is measured with the defaults.
    let settings = json!({
        "platform": {"timeout_ms": 2_000},
        "peer": {"probe_period_ms": 1_000, "probe_timeout_ms": 300, "suspicion_ms": 3_000},
        "lease": {"length_ms": 10_000, "renewal_ms": 3_000, "margin_ms": 5_000},
        "timers": {
            "config_poll_ms": 2_000,
            "vms_poll_ms": 2_000,
            "load_poll_ms": 500,
            "jobs_poll_ms": 1_000,
        },
    });
    let plan = Plan::new(daemons, options.engines, 1).with_settings(&settings);
    let fleet = Fleet::start(plan).await?;
    sleep(options.warm_up).await;
    let before = read(&fleet).await?;
    sleep(options.measured).await;
    let after = read(&fleet).await?;
    Ok(cost(before, after, daemons as f64, options.measured.as_secs_f64()))
}

fn cost(before: Reading, after: Reading, daemons: f64, seconds: f64) -> Cost {
    let rate = |before: u64, after: u64| (after - before) as f64 / daemons / seconds;
    let reads = |stats: &Stats| stats.table_reads + stats.table_scans + stats.object_gets;
    let writes = |stats: &Stats| stats.table_commits + stats.object_puts;
    Cost {
        cpu_percent: rate(before.cpu_ticks, after.cpu_ticks) / CLOCK_TICKS_PER_S * 100.0,
        memory_mb: after.memory_kb as f64 / daemons / 1_024.0,
        datagram_bytes_per_s: (after.datagram_bytes - before.datagram_bytes) / daemons / seconds,
        reads_per_s: rate(reads(&before.stats), reads(&after.stats)),
        writes_per_s: rate(writes(&before.stats), writes(&after.stats)),
        vm_lists_per_s: rate(before.stats.vm_lists, after.stats.vm_lists),
    }
}

async fn read(fleet: &Fleet) -> Result<Reading, Error> {
    let mut reading = Reading::default();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let id = fleet.process(number)?.id();
        reading.cpu_ticks += cpu_ticks(id)?;
        reading.memory_kb += memory_kb(id)?;
        let metrics = fleet.client.send(Call::get(daemon.address, "/metrics")).await?.text();
        reading.datagram_bytes += sum(&metrics, "peer_bytes_total");
    }
    reading.stats = fleet.platform.read(&fleet.client, "/_stats").await?;
    Ok(reading)
}

/// User and system time of a process, in clock ticks.
fn cpu_ticks(id: u32) -> io::Result<u64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may contain spaces; the fields after it are numbered from 3.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    Ok(times.filter_map(|field| field.parse::<u64>().ok()).sum())
}

/// Resident memory of a process, in KiB.
fn memory_kb(id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0))
}

/// Sum of all series of a metric in the Prometheus text format.
fn sum(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
