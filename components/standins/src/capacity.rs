//! Measures the resource use of an idle daemon at different fleet sizes.
//!
//! Starts fleets of real processes one after the other, with the periods of the default settings.
//! CPU time and memory come from `/proc`, datagram bytes from the metrics of the daemons, and
//! platform operations from the counters of the platform stand-in.

use std::{fs, io, time::Duration};

use serde_json::json;
use tokio::time::sleep;

use crate::{
    client::Call,
    fleet::{Error, Fleet, Plan},
    platform::Stats,
};

/// Unit of the CPU times in `/proc/PID/stat` on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Parameters of a capacity measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Fleet sizes to measure, as numbers of daemons.
    pub daemons: Vec<usize>,
    /// Number of engines in each fleet.
    pub engines: usize,
    /// Number of measurements of each size. Each round measures all sizes in turn.
    pub rounds: usize,
    /// Time between the start of a fleet and the measurement.
    pub warm_up: Duration,
    /// Duration of a measurement.
    pub duration: Duration,
}

/// Resource use of one daemon, as the mean over the fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_percent: f64,
    memory_mib: f64,
    datagram_bytes_per_s: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    vm_lists_per_s: f64,
}

/// Counters and memory use of a fleet at one point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Snapshot {
    cpu_ticks: u64,
    memory_kib: u64,
    datagram_bytes: f64,
    stats: Stats,
}

/// Measures all sizes and prints one line for each measurement.
///
/// # Errors
///
/// Returns an error if a fleet does not start, or if its counters cannot be read.
pub async fn run(options: Options) -> Result<(), Error> {
    println!(
        "daemons | CPU % of a core | memory MiB | datagrams B/s | reads/s | writes/s | lists/s"
    );
    for round in 1..=options.rounds {
        for &daemons in &options.daemons {
            let usage = measure(daemons, &options).await?;
            println!(
                "{daemons:>3} (round {round}) | {:.2} | {:.1} | {:.0} | {:.3} | {:.3} | {:.3}",
                usage.cpu_percent,
                usage.memory_mib,
                usage.datagram_bytes_per_s,
                usage.reads_per_s,
                usage.writes_per_s,
                usage.vm_lists_per_s,
            );
        }
    }
    Ok(())
}

async fn measure(daemons: usize, options: &Options) -> Result<Usage, Error> {
    // `Plan::new` sets short periods for tests. These are the defaults of the daemon.
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
    let before = read_counters(&fleet).await?;
    sleep(options.duration).await;
    let after = read_counters(&fleet).await?;
    Ok(usage(before, after, daemons as f64, options.duration.as_secs_f64()))
}

fn usage(before: Snapshot, after: Snapshot, daemons: f64, seconds: f64) -> Usage {
    let rate = |before: u64, after: u64| (after - before) as f64 / daemons / seconds;
    let reads = |stats: &Stats| stats.table_reads + stats.table_scans + stats.object_gets;
    let writes = |stats: &Stats| stats.table_commits + stats.object_puts;
    Usage {
        cpu_percent: rate(before.cpu_ticks, after.cpu_ticks) / CLOCK_TICKS_PER_S * 100.0,
        memory_mib: after.memory_kib as f64 / daemons / 1_024.0,
        datagram_bytes_per_s: (after.datagram_bytes - before.datagram_bytes) / daemons / seconds,
        reads_per_s: rate(reads(&before.stats), reads(&after.stats)),
        writes_per_s: rate(writes(&before.stats), writes(&after.stats)),
        vm_lists_per_s: rate(before.stats.vm_lists, after.stats.vm_lists),
    }
}

async fn read_counters(fleet: &Fleet) -> Result<Snapshot, Error> {
    let mut snapshot = Snapshot::default();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let id = fleet.process(number)?.id();
        snapshot.cpu_ticks += cpu_ticks(id)?;
        snapshot.memory_kib += memory_kib(id)?;
        let metrics = fleet.client.send(Call::get(daemon.address, "/metrics")).await?.text();
        snapshot.datagram_bytes += sum_series(&metrics, "peer_bytes_total");
    }
    snapshot.stats = fleet.platform.read(&fleet.client, "/_stats").await?;
    Ok(snapshot)
}

/// Returns the user and system CPU time of a process, in clock ticks.
fn cpu_ticks(id: u32) -> io::Result<u64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces. The first field after it is field 3;
    // `utime` and `stime` are fields 14 and 15.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    Ok(times.filter_map(|field| field.parse::<u64>().ok()).sum())
}

/// Returns the resident memory of a process, in KiB; 0 if the status has no `VmRSS` line.
fn memory_kib(id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0))
}

/// Sums all series of a metric in the Prometheus text format.
fn sum_series(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
