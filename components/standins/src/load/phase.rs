//! One measured phase: faults, batch work and online traffic at one fleet.

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

/// Tokens of a batch item.
const ITEM_TOKENS: u32 = 32;

/// Items of one batch job.
const JOB_ITEMS: usize = 640;

/// Longest wait for the engines to become idle between two phases.
const SETTLE: Duration = Duration::from_secs(15);

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arm {
    /// Name in the report.
    pub name: &'static str,
    /// Whether batch work saturates the fleet.
    pub batch: bool,
    /// How many engines are slowed.
    pub slowed: Slowed,
    /// Whether the slowed engines change every second.
    pub moments: bool,
    /// Shape of the online requests.
    pub shape: Shape,
}

/// Number of slowed engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slowed {
    /// This many.
    Engines(usize),
    /// A fifth of all.
    Fifth,
}

impl Slowed {
    /// Number of engines at a site.
    pub fn count(self, site: &Site) -> usize {
        match self {
            Self::Engines(count) => count.min(site.engines),
            Self::Fifth => site.engines.div_ceil(5),
        }
    }
}

/// Times of a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Traffic before the measurement.
    pub warm_up: Duration,
    /// Measurement.
    pub measured: Duration,
    /// Factor of slowed engines.
    pub slow_factor: f64,
}

/// Figures of a phase.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Online traffic.
    pub samples: Samples,
    /// Batch items answered a second.
    pub items_per_s: f64,
    /// Batch items a second that the slots without online work could give.
    pub spare_items_per_s: f64,
    /// Time of a step with all slots in use relative to one with the online streams alone.
    pub step_growth: f64,
    /// Engine streams that online requests started, beyond one for each.
    pub extra_starts: i64,
    /// Tokens that engines generated for online requests, beyond those delivered.
    pub extra_tokens: i64,
}

/// Engine counters of online and batch work.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    online: PromptRuns,
    batch: PromptRuns,
}

/// Runs one phase.
pub async fn run(
    fleet: &Fleet,
    site: &Site,
    arm: &Arm,
    times: Times,
    seed: u64,
) -> Result<Figures, Error> {
    let traffic = Traffic {
        daemons: fleet.daemons.iter().map(|daemon| daemon.address).collect(),
        shape: arm.shape,
        rate: site.rate(arm.shape.mean_tokens()),
        burst: site.burst,
        seed,
    };
    settle(fleet).await?;
    let jobs = match arm.batch {
        true => submit(fleet, site, times, seed).await?,
        false => Vec::new(),
    };
    let mut random = StdRng::seed_from_u64(seed);
    let count = arm.slowed.count(site);
    let slowed = choose(&mut random, site.engines, count);
    if !arm.moments {
        slow(fleet, &slowed, times.slow_factor).await?;
    }
    let client = Client::new();
    let before = counters(fleet).await?.online;
    let (samples, batch) = tokio::join!(
        traffic.run(&client, times.warm_up, times.measured),
        watch(fleet, site, arm, times, &mut random),
    );
    let batch = batch?;
    let after = counters(fleet).await?.online;
    let starts = after.started + after.resumed - before.started - before.resumed;
    let tokens = after.tokens - before.tokens;
    slow(fleet, &(0..site.engines).collect::<Vec<_>>(), 1.0).await?;
    for job in jobs {
        cancel(fleet, &job).await?;
    }
    let extra_starts = starts.cast_signed() - samples.sent.cast_signed();
    let extra_tokens = tokens.cast_signed() - samples.delivered.cast_signed();
    Ok(Figures { samples, extra_starts, extra_tokens, ..batch })
}

/// Reads the engines' counters around the measured time, and moves the slowed engines.
async fn watch(
    fleet: &Fleet,
    site: &Site,
    arm: &Arm,
    times: Times,
    random: &mut StdRng,
) -> Result<Figures, Error> {
    sleep(times.warm_up).await;
    let start = Instant::now();
    let before = counters(fleet).await?;
    while arm.moments && start.elapsed() + Duration::from_secs(1) < times.measured {
        let slowed = choose(random, site.engines, arm.slowed.count(site));
        slow(fleet, &slowed, times.slow_factor).await?;
        sleep(Duration::from_millis(1_000)).await;
        slow(fleet, &slowed, 1.0).await?;
        sleep(Duration::from_millis(500)).await;
    }
    sleep(times.measured.saturating_sub(start.elapsed())).await;
    let after = counters(fleet).await?;
    let elapsed = start.elapsed().as_secs_f64();
    let slots = (site.engines * site.slots) as f64 * elapsed * 1e6;
    let online = (after.online.slot_us - before.online.slot_us) as f64;
    let slowed = arm.slowed.count(site) as f64 / site.engines as f64;
    // A slowed engine gives its slots at a fraction of the speed.
    let speed = 1.0 - slowed + slowed / times.slow_factor;
    let running = online / 1e6 / elapsed / site.engines as f64;
    let item_us = site.full_step_ms() * 1e3 * f64::from(ITEM_TOKENS + 1);
    Ok(Figures {
        samples: Samples::default(),
        items_per_s: (after.batch.finished - before.batch.finished) as f64 / elapsed,
        spare_items_per_s: (slots - online) * speed / item_us / elapsed,
        step_growth: site.full_step_ms() / (site.step_ms + site.stream_ms * running),
        extra_starts: 0,
        extra_tokens: 0,
    })
}

async fn counters(fleet: &Fleet) -> Result<Counters, Error> {
    let mut sum = Counters::default();
    for engine in &fleet.engines {
        let runs: Runs = engine.read(&fleet.client, "/_runs?summary").await?;
        add(&mut sum.online, &runs.classes, "online");
        add(&mut sum.batch, &runs.classes, "batch");
    }
    Ok(sum)
}

fn add(sum: &mut PromptRuns, classes: &BTreeMap<String, PromptRuns>, class: &str) {
    let Some(runs) = classes.get(class) else { return };
    sum.started += runs.started;
    sum.resumed += runs.resumed;
    sum.finished += runs.finished;
    sum.cancelled += runs.cancelled;
    sum.tokens += runs.tokens;
    sum.slot_us += runs.slot_us;
}

fn choose(random: &mut StdRng, engines: usize, count: usize) -> Vec<usize> {
    let mut numbers: Vec<_> = (0..engines).collect();
    numbers.shuffle(random);
    numbers.truncate(count);
    numbers
}

async fn slow(fleet: &Fleet, engines: &[usize], factor: f64) -> Result<(), Error> {
    let switches = json!({"slow_factor": factor});
    for number in engines {
        fleet.engines[*number].set_faults(&fleet.client, &switches).await?;
    }
    Ok(())
}

/// Submits more work than the fleet can do in the phase.
async fn submit(fleet: &Fleet, site: &Site, times: Times, seed: u64) -> Result<Vec<Job>, Error> {
    let seconds = (times.warm_up + times.measured).as_secs_f64();
    let possible = site.tokens_per_s() * seconds / f64::from(ITEM_TOKENS);
    let jobs = (possible * 1.3 / JOB_ITEMS as f64).ceil() as usize;
    let mut random = StdRng::seed_from_u64(seed);
    let mut accepted = Vec::new();
    for job in 0..jobs {
        let items: Vec<_> = (0..JOB_ITEMS)
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

async fn cancel(fleet: &Fleet, job: &Job) -> Result<(), Error> {
    let last = fleet
        .eventually("the end of a cancelled job", async || fleet.cancel(0, &job.id).await.ok())
        .await?;
    match last.state {
        JobState::Open => {
            Err(Error::Timeout(format!("the end of job {}", job.id), fleet::WAIT_TIMEOUT))
        }
        JobState::Completed | JobState::Cancelled => Ok(()),
    }
}

/// Waits until no engine has work from the phase before.
async fn settle(fleet: &Fleet) -> Result<(), Error> {
    let start = Instant::now();
    let mut last = counters(fleet).await?;
    loop {
        sleep(Duration::from_millis(500)).await;
        let now = counters(fleet).await?;
        let idle = now.online.tokens == last.online.tokens && now.batch.tokens == last.batch.tokens;
        if idle {
            return Ok(());
        }
        if start.elapsed() > SETTLE {
            return Err(Error::Timeout("idle engines between two phases".into(), SETTLE));
        }
        last = now;
    }
}
