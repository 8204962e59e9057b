//! Runs one phase of a load test: slows engines of a fleet, submits batch jobs, sends online
//! traffic, and measures the batch work and the traffic.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cyclamengrade_caller::backend::{Item, Job, JobState};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::json;
use tokio::time::sleep;

use super::{
    site::Site,
    traffic::{Samples, Shape, Traffic},
};
use crate::{
    client::Client,
    engine::{PromptRuns, Runs},
    fleet::{self, Error, Fleet},
};

/// Length of the answer to a batch item, in tokens.
const ITEM_TOKENS: u32 = 32;

/// Number of items in a batch job.
const ITEMS_PER_JOB: usize = 640;

/// Time limit for the engines to become idle between two phases.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// One experimental condition, to be compared with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arm {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// Whether batch jobs keep the fleet saturated.
    pub batch: bool,
    /// Number of engines that are slowed at a time.
    pub slowed: Slowed,
    /// Whether the slowdown is transient: randomly selected engines are slowed for 1 s, with 500 ms
    /// before the next selection.
    pub transient: bool,
    /// Distribution of the sizes of the online requests.
    pub shape: Shape,
}

/// Number of engines to slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slowed {
    /// A fixed number, or all engines of a smaller site.
    Engines(usize),
    /// A fifth of all engines, rounded up.
    Fifth,
}

impl Slowed {
    /// Returns the number of engines to slow at a site.
    pub fn count(self, site: &Site) -> usize {
        match self {
            Self::Engines(count) => count.min(site.engines),
            Self::Fifth => site.engines.div_ceil(5),
        }
    }
}

/// Parameters of a phase that are the same for all arms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Duration of the traffic before the measurement.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub measured: Duration,
    /// Factor by which all times of a slowed engine are multiplied.
    pub slow_factor: f64,
}

/// Results of a phase.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Latencies and outcomes of the online requests.
    pub samples: Samples,
    /// Rate at which the engines finished batch items.
    pub items_per_s: f64,
    /// Rate at which the slot time left by online traffic could process batch items.
    pub spare_items_per_s: f64,
    /// Ratio of the time of a step with all slots in use to that of one with the online streams
    /// alone.
    pub step_ratio: f64,
    /// Number of engine streams that online requests started, beyond one for each request.
    pub extra_starts: i64,
    /// Number of tokens that engines generated for online requests, beyond those delivered.
    pub extra_tokens: i64,
}

/// Counters of online and batch work, summed over all engines.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    online: PromptRuns,
    batch: PromptRuns,
}

/// Runs one phase: waits until the engines are idle, applies the arm and measures.
pub async fn run(
    fleet: &Fleet,
    site: &Site,
    arm: &Arm,
    parameters: Parameters,
    seed: u64,
) -> Result<Measurement, Error> {
    let traffic = Traffic {
        daemons: fleet.daemons.iter().map(|daemon| daemon.address).collect(),
        shape: arm.shape,
        requests_per_s: site.requests_per_s(arm.shape.mean_tokens()),
        burst_ratio: site.burst_ratio,
        seed,
    };
    wait_until_idle(fleet).await?;
    let jobs = match arm.batch {
        true => submit_jobs(fleet, site, parameters, seed).await?,
        false => Vec::new(),
    };
    let mut random = StdRng::seed_from_u64(seed);
    let count = arm.slowed.count(site);
    let slowed = choose_engines(&mut random, site.engines, count);
    if !arm.transient {
        set_slow_factor(fleet, &slowed, parameters.slow_factor).await?;
    }
    let client = Client::new();
    let before = read_counters(fleet).await?.online;
    let (samples, batch) = tokio::join!(
        traffic.run(&client, parameters.warm_up, parameters.measured),
        measure_engines(fleet, site, arm, parameters, &mut random),
    );
    let batch = batch?;
    let after = read_counters(fleet).await?.online;
    let starts = after.started + after.resumed - before.started - before.resumed;
    let tokens = after.tokens - before.tokens;
    set_slow_factor(fleet, &(0..site.engines).collect::<Vec<_>>(), 1.0).await?;
    for job in jobs {
        cancel_job(fleet, &job).await?;
    }
    let extra_starts = starts.cast_signed() - samples.sent.cast_signed();
    let extra_tokens = tokens.cast_signed() - samples.delivered.cast_signed();
    Ok(Measurement { samples, extra_starts, extra_tokens, ..batch })
}

/// Derives the batch rates from the counters of the engines before and after the measurement.
/// Slows engines during the measurement if the arm is transient.
async fn measure_engines(
    fleet: &Fleet,
    site: &Site,
    arm: &Arm,
    parameters: Parameters,
    random: &mut StdRng,
) -> Result<Measurement, Error> {
    sleep(parameters.warm_up).await;
    let start = Instant::now();
    let before = read_counters(fleet).await?;
    while arm.transient && start.elapsed() + Duration::from_secs(1) < parameters.measured {
        let slowed = choose_engines(random, site.engines, arm.slowed.count(site));
        set_slow_factor(fleet, &slowed, parameters.slow_factor).await?;
        sleep(Duration::from_millis(1_000)).await;
        set_slow_factor(fleet, &slowed, 1.0).await?;
        sleep(Duration::from_millis(500)).await;
    }
    sleep(parameters.measured.saturating_sub(start.elapsed())).await;
    let after = read_counters(fleet).await?;
    let elapsed = start.elapsed().as_secs_f64();
    let slot_us = (site.engines * site.slots) as f64 * elapsed * 1e6;
    let online_us = (after.online.slot_us - before.online.slot_us) as f64;
    let slowed_share = arm.slowed.count(site) as f64 / site.engines as f64;
    // The slots of a slowed engine yield only a fraction of the usual tokens.
    let speed = 1.0 - slowed_share + slowed_share / parameters.slow_factor;
    let online_streams = online_us / 1e6 / elapsed / site.engines as f64;
    let item_us = site.full_step_ms() * 1e3 * f64::from(ITEM_TOKENS + 1);
    Ok(Measurement {
        samples: Samples::default(),
        items_per_s: (after.batch.finished - before.batch.finished) as f64 / elapsed,
        spare_items_per_s: (slot_us - online_us) * speed / item_us / elapsed,
        step_ratio: site.full_step_ms() / (site.step_ms + site.stream_ms * online_streams),
        extra_starts: 0,
        extra_tokens: 0,
    })
}

async fn read_counters(fleet: &Fleet) -> Result<Counters, Error> {
    let mut sum = Counters::default();
    for engine in &fleet.engines {
        let runs: Runs = engine.read(&fleet.client, "/_runs?summary").await?;
        add_runs(&mut sum.online, &runs.classes, "online");
        add_runs(&mut sum.batch, &runs.classes, "batch");
    }
    Ok(sum)
}

fn add_runs(sum: &mut PromptRuns, classes: &BTreeMap<String, PromptRuns>, class: &str) {
    let Some(runs) = classes.get(class) else { return };
    sum.started += runs.started;
    sum.resumed += runs.resumed;
    sum.finished += runs.finished;
    sum.cancelled += runs.cancelled;
    sum.tokens += runs.tokens;
    sum.slot_us += runs.slot_us;
}

/// Selects `count` random engines.
fn choose_engines(random: &mut StdRng, engines: usize, count: usize) -> Vec<usize> {
    let mut numbers: Vec<_> = (0..engines).collect();
    numbers.shuffle(random);
    numbers.truncate(count);
    numbers
}

async fn set_slow_factor(fleet: &Fleet, engines: &[usize], factor: f64) -> Result<(), Error> {
    let switches = json!({"slow_factor": factor});
    for number in engines {
        fleet.engines[*number].set_faults(&fleet.client, &switches).await?;
    }
    Ok(())
}

/// Submits 1.3 times the batch work that the whole fleet could complete in the phase.
async fn submit_jobs(
    fleet: &Fleet,
    site: &Site,
    parameters: Parameters,
    seed: u64,
) -> Result<Vec<Job>, Error> {
    let seconds = (parameters.warm_up + parameters.measured).as_secs_f64();
    let capacity_items = site.tokens_per_s() * seconds / f64::from(ITEM_TOKENS);
    let jobs = (capacity_items * 1.3 / ITEMS_PER_JOB as f64).ceil() as usize;
    let mut random = StdRng::seed_from_u64(seed);
    let mut accepted = Vec::new();
    for job in 0..jobs {
        let items: Vec<_> = (0..ITEMS_PER_JOB)
            .map(|number| Item {
                id: number.to_string(),
                prompt: format!("batch {seed}-{job}-{number} describe this felt in one sentence"),
                max_tokens: ITEM_TOKENS,
            })
            .collect();
        let daemon = random.random_range(0..fleet.daemons.len());
        let key = format!("load-{seed}-{job}");
        let due = Duration::from_secs(3_600);
        let reply = fleet.submit(daemon, &key, due, &items).await?;
        if !(200..300).contains(&reply.status) {
            return Err(Error::Refused(reply.status, reply.text()));
        }
        accepted.push(reply.json()?);
    }
    Ok(accepted)
}

async fn cancel_job(fleet: &Fleet, job: &Job) -> Result<(), Error> {
    let last = fleet
        .eventually("the cancellation of a job", async || fleet.cancel(0, &job.id).await.ok())
        .await?;
    match last.state {
        JobState::Open => {
            Err(Error::Timeout(format!("the cancellation of job {}", job.id), fleet::WAIT_TIMEOUT))
        }
        JobState::Completed | JobState::Cancelled => Ok(()),
    }
}

/// Waits until no engine has generated a token for half a second, so that no work of the previous
/// phase is left.
async fn wait_until_idle(fleet: &Fleet) -> Result<(), Error> {
    let start = Instant::now();
    let mut last = read_counters(fleet).await?;
    loop {
        sleep(Duration::from_millis(500)).await;
        let now = read_counters(fleet).await?;
        let idle = now.online.tokens == last.online.tokens && now.batch.tokens == last.batch.tokens;
        if idle {
            return Ok(());
        }
        if start.elapsed() > IDLE_TIMEOUT {
            return Err(Error::Timeout(
                "the idle state of all engines between two phases".into(),
                IDLE_TIMEOUT,
            ));
        }
        last = now;
    }
}
