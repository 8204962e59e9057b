//! Load tool: compares policies and conditions, alternating in one run.

mod phase;
mod report;
mod site;
mod traffic;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

pub use self::{
    phase::{Arm, Figures, Slowed, Times},
    report::Report,
    site::Site,
    traffic::{Samples, Shape, Traffic},
};
use crate::fleet::{Error, Fleet};

/// Usual online requests: confirmations and labels.
const USUAL: Shape = Shape { tokens: (8, 24), stragglers: 0.0, prompt_bytes: (100, 600) };

/// Short requests, among which stragglers are hidden.
const SHORT: Shape = Shape { tokens: (4, 4), stragglers: 0.0, prompt_bytes: (100, 200) };

/// All arms. The first one is the base of the comparisons.
pub const ARMS: [Arm; 8] = [
    arm("base", USUAL),
    Arm { batch: true, ..arm("batch", USUAL) },
    Arm { slowed: Slowed::Engines(1), ..arm("slow-1", USUAL) },
    Arm { slowed: Slowed::Engines(2), ..arm("slow-2", USUAL) },
    Arm { slowed: Slowed::Fifth, ..arm("slow-fifth", USUAL) },
    Arm { slowed: Slowed::Fifth, moments: true, ..arm("moments", USUAL) },
    arm("short", SHORT),
    arm("stragglers", Shape { stragglers: 0.01, ..SHORT }),
];

const fn arm(name: &'static str, shape: Shape) -> Arm {
    Arm { name, batch: false, slowed: Slowed::Engines(0), moments: false, shape }
}

/// What to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Sizes.
    pub site: Site,
    /// Policies; `true` for the naive one.
    pub policies: Vec<bool>,
    /// Arms.
    pub arms: Vec<Arm>,
    /// Seeds; each runs every arm with every policy once.
    pub seeds: Vec<u64>,
    /// Times of each phase.
    pub times: Times,
    /// Time after which no further phase starts.
    pub limit: Duration,
}

/// Key of a result: policy, arm, seed.
pub type Key = (bool, &'static str, u64);

/// Runs all phases and prints each one, then the comparisons.
pub async fn run(options: Options) -> Result<Report, Error> {
    let start = Instant::now();
    let mut fleets = Vec::new();
    for &naive in &options.policies {
        let plan = options.site.plan(naive, options.seeds.first().copied().unwrap_or(1));
        fleets.push((naive, Fleet::start(plan).await?));
    }
    println!("{}", report::heading(&options));
    let mut results: BTreeMap<Key, Figures> = BTreeMap::new();
    for &seed in &options.seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arms = options.arms.clone();
        arms.shuffle(&mut random);
        for arm in arms {
            fleets.shuffle(&mut random);
            for (naive, fleet) in &fleets {
                if start.elapsed() > options.limit {
                    println!("stopped at the time limit of {:?}", options.limit);
                    return Ok(Report::new(&options, results));
                }
                let figures = phase::run(fleet, &options.site, &arm, options.times, seed).await?;
                println!("{}", report::line(*naive, &arm, seed, &figures));
                results.insert((*naive, arm.name, seed), figures);
            }
        }
    }
    Ok(Report::new(&options, results))
}
