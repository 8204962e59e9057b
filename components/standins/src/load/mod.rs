//! Load generator that compares the adaptive with the naive policy under different conditions
//! (arms). All combinations alternate in one run, so that drift of the machine affects all alike.

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
    phase::{Arm, Measurement, Parameters, Slowed},
    report::Report,
    site::Site,
    traffic::{Samples, Shape, Traffic},
};
use crate::fleet::{Error, Fleet};

/// Sizes of the usual online requests: order confirmations and labels.
const USUAL: Shape = Shape { tokens: (8, 24), straggler_share: 0.0, prompt_bytes: (100, 600) };

/// Sizes of short requests, with which the effect of stragglers is measured.
const SHORT: Shape = Shape { tokens: (4, 4), straggler_share: 0.0, prompt_bytes: (100, 200) };

/// All arms. `base` is the baseline of the comparisons, and `short` that of `stragglers`.
pub const ARMS: [Arm; 8] = [
    arm("base", USUAL),
    Arm { batch: true, ..arm("batch", USUAL) },
    Arm { slowed: Slowed::Engines(1), ..arm("slow-1", USUAL) },
    Arm { slowed: Slowed::Engines(2), ..arm("slow-2", USUAL) },
    Arm { slowed: Slowed::Fifth, ..arm("slow-fifth", USUAL) },
    Arm { slowed: Slowed::Fifth, transient: true, ..arm("moments", USUAL) },
    arm("short", SHORT),
    arm("stragglers", Shape { straggler_share: 0.01, ..SHORT }),
];

const fn arm(name: &'static str, shape: Shape) -> Arm {
    Arm { name, batch: false, slowed: Slowed::Engines(0), transient: false, shape }
}

/// Parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Size and parameters of the fleets.
    pub site: Site,
    /// Policies to compare; `true` is the naive one.
    pub policies: Vec<bool>,
    /// Arms to compare.
    pub arms: Vec<Arm>,
    /// Seeds. Every arm runs once with every policy for each seed.
    pub seeds: Vec<u64>,
    /// Parameters of each phase.
    pub parameters: Parameters,
    /// Time since the start of the run after which no further phase starts.
    pub limit: Duration,
}

/// Key of a measurement: whether the policy is naive, the name of the arm, and the seed.
pub type Key = (bool, &'static str, u64);

/// Runs all phases in random order and prints the measurement of each. Returns the comparisons.
pub async fn run(options: Options) -> Result<Report, Error> {
    let start = Instant::now();
    let mut fleets = Vec::new();
    for &naive in &options.policies {
        let plan = options.site.plan(naive, options.seeds.first().copied().unwrap_or(1));
        fleets.push((naive, Fleet::start(plan).await?));
    }
    println!("{}", report::heading(&options));
    let mut measurements: BTreeMap<Key, Measurement> = BTreeMap::new();
    for &seed in &options.seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arms = options.arms.clone();
        arms.shuffle(&mut random);
        for arm in arms {
            fleets.shuffle(&mut random);
            for (naive, fleet) in &fleets {
                if start.elapsed() > options.limit {
                    println!("time limit of {:?} reached; run is partial", options.limit);
                    return Ok(Report::new(&options, measurements));
                }
                let measurement =
                    phase::run(fleet, &options.site, &arm, options.parameters, seed).await?;
                println!("{}", report::phase(*naive, &arm, seed, &measurement));
                measurements.insert((*naive, arm.name, seed), measurement);
            }
        }
    }
    Ok(Report::new(&options, measurements))
}
