//! Random faults of relays, upstreams and the store, in series and overlapping.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::index::sample};

use crate::bridge::{
    ACCOUNTS, Cut, Disturbance, Endless, Fault, Faults,
    disturbance::{ACCOUNT_SERIES, ADDED, ODD, QUIET_SERIES, SHARES},
};

/// Size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub relays: usize,
    pub callers: usize,
    /// Upstreams that write streams, at least four: two of each software version.
    pub runners: usize,
    /// Time in which faults are injected.
    pub seconds: u64,
}

/// Whether anything fails in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Processes and connections fail, and upstreams answer wrongly.
    Faulty,
    /// Callers have keys of accounts, which change; relays fail, and the store refuses them.
    Accounts,
    /// Nothing fails: upstreams are quiet and full, relays get no processor time, and the configuration changes.
    Quiet,
}

impl Size {
    /// Upstreams of the service that a plan moves the streams to.
    pub const OTHERS: usize = 4;

    /// Returns the service of an upstream, of which those after `runners` are of the other one.
    pub const fn service(self, runner: usize) -> &'static str {
        if runner < self.runners { "model" } else { "other" }
    }

    /// Returns the slots of each upstream under which the callers are a load of about 1.2.
    pub const fn slots(self) -> usize {
        let slots = self.callers * 5 / (self.runners * 6);
        if slots == 0 { 1 } else { slots }
    }

    /// Returns the software version of a runner.
    pub const fn version(runner: usize) -> &'static str {
        if (runner / 2).is_multiple_of(2) { "v1" } else { "v2" }
    }

    /// Returns the data centre of a runner. Each has runners of both versions, if there are enough.
    pub const fn data_centre(runner: usize) -> &'static str {
        ["a", "b", "c"][runner / 4 % 3]
    }

    /// Whether the responses of a runner have neither length nor chunks.
    pub const fn is_unframed(runner: usize) -> bool {
        runner % 3 == 1
    }
}

/// One step of a plan. Relays and runners are named by their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Kill(Vec<usize>),
    Terminate(usize),
    /// Starts relays again, those that are still ending when they have ended.
    Start(Vec<usize>),
    Pause(Vec<usize>),
    Resume(Vec<usize>),
    /// Terminates a relay and starts another one in its place.
    Replace(usize),
    Crash(Vec<usize>),
    List(Vec<usize>, &'static str),
    Unlist(Vec<usize>),
    /// Queues faults for responses of a runner.
    Upstream(usize, Vec<Fault>),
    /// The same for the runner of plain responses.
    Service(Fault),
    Store(Faults),
    /// Cuts the connections of relays to all runners, or lets them go on.
    Cut(Vec<usize>, Cut),
    /// Discards the history of the store and writes a new version of the configuration.
    Configure,
    /// Writes a version of the configuration without the batch route.
    RemoveRoute,
    /// Moves the streams to a service with a new version of the configuration.
    Move(&'static str),
    /// Lets a runner say that it is leaving.
    Leave(usize),
    /// Starts a runner again under its id, and lists the new start.
    Restart(usize),
    /// Removes the keys of an account, and adds one if the second value says so.
    ReplaceKeys(&'static str, bool),
    /// Adds a key to an account.
    AddKey(&'static str),
    /// Has the store refuse the calls of relays, or answer them again.
    Refuse(Vec<usize>, bool),
    /// Kills the relay that owns the quota of an account.
    KillOwner(&'static str),
    /// The same, with a pause.
    PauseOwner(&'static str),
    /// Writes a configuration with routes that cannot be read.
    OddRoutes,
    /// Has an upstream state an idle timeout.
    KeepAlive(usize, &'static str),
}

/// Times in milliseconds for which the store refuses relays, an account has no key, and the owner of a quota
/// is lost.
const REFUSED_MS: Range<u64> = 500..5_000;
const NO_KEY_MS: Range<u64> = 100..3_500;
const OWNER_LOST_MS: Range<u64> = 300..3_000;
/// Times in milliseconds for which upstreams are quiet and relays stopped.
const QUIET_MS: Range<u64> = 500..3_000;
const STOP_MS: Range<u64> = 800..2_000;
/// Events before an upstream is quiet.
const QUIET_EVENTS: Range<u64> = 0..30;
/// Times of a quota: a relay is stopped for the first in each period, for so many periods.
const QUOTA_STOP: Duration = Duration::from_millis(80);
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA_PERIODS: u32 = 10;
/// Idle timeouts and statuses that upstreams state.
const ODD_KEEP_ALIVES: [&str; 5] = [
    "timeout=18446744073709551615",
    "timeout=99999999999999999999",
    "timeout=0",
    "timeout=-1",
    "timeout=5",
];
const ODD_STATUSES: [u16; 8] = [0, 101, 199, 408, 429, 503, 600, 999];

/// Times and steps of all faults of a run. It follows from the seed and the size alone.
#[derive(Debug)]
pub struct Plan {
    pub profile: Profile,
    /// In order of time, from the start of the run.
    pub steps: Vec<(Duration, Step)>,
    pub disturbances: BTreeMap<Disturbance, u32>,
}

impl Plan {
    pub fn new(seed: u64, size: Size) -> Self {
        let mut planner = Planner::new(seed, size, Profile::Faulty);
        let mut disturbances = BTreeMap::new();
        let end = Duration::from_secs(size.seconds);
        while planner.now < end {
            let disturbance = planner.disturbance();
            *disturbances.entry(disturbance).or_default() += 1;
            planner.add(disturbance);
            let pause = planner.time(20..400);
            planner.now += pause;
        }
        // Of other generators, so that the rest of the plan of a seed stays what it was.
        planner.random = StdRng::seed_from_u64(!seed);
        planner.now = planner.time(0..2_000);
        planner.series(&[Disturbance::Cut], 500..4_000, &mut disturbances);
        planner.random = StdRng::seed_from_u64(seed.rotate_left(32));
        planner.now = planner.time(0..4_000);
        planner.series(&ADDED, 1_000..5_000, &mut disturbances);
        planner.random = StdRng::seed_from_u64(seed.reverse_bits());
        planner.now = planner.time(0..1_000);
        planner.series(&ODD, 200..2_000, &mut disturbances);
        planner.finish(disturbances)
    }

    /// Creates a plan under which no process, connection or answer fails.
    pub fn quiet(seed: u64, size: Size) -> Self {
        let mut planner = Planner::new(seed, size, Profile::Quiet);
        let disturbances = planner.all_series(QUIET_SERIES);
        planner.finish(disturbances)
    }

    /// Creates a plan in which the keys of accounts change while relays fail and are refused by the store.
    pub fn accounts(seed: u64, size: Size) -> Self {
        let mut planner = Planner::new(seed, size, Profile::Accounts);
        let mut disturbances = planner.all_series(ACCOUNT_SERIES);
        planner.random = StdRng::seed_from_u64(seed.rotate_left(32));
        planner.now = planner.time(0..3_000);
        planner.series(&[Disturbance::RollingRestart], 4_000..8_000, &mut disturbances);
        planner.random = StdRng::seed_from_u64(!seed);
        planner.now = planner.time(500..4_000);
        let lost_owners = [Disturbance::KillAll, Disturbance::OwnerPaused];
        planner.series(&lost_owners, 800..4_000, &mut disturbances);
        planner.finish(disturbances)
    }
}

struct Planner {
    random: StdRng,
    size: Size,
    profile: Profile,
    now: Duration,
    steps: Vec<(Duration, Step)>,
}

impl Planner {
    fn new(seed: u64, size: Size, profile: Profile) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { random, size, profile, now: Duration::ZERO, steps: Vec::new() }
    }

    fn finish(self, disturbances: BTreeMap<Disturbance, u32>) -> Plan {
        let end = Duration::from_secs(self.size.seconds);
        let mut steps = self.steps;
        steps.retain(|(at, _)| *at < end);
        steps.sort_by_key(|(at, _)| *at);
        Plan { profile: self.profile, steps, disturbances }
    }

    /// Adds some of `choices` from now on, and counts them.
    fn series(
        &mut self,
        choices: &[Disturbance],
        pauses: Range<u64>,
        counts: &mut BTreeMap<Disturbance, u32>,
    ) {
        let end = Duration::from_secs(self.size.seconds);
        while self.now < end {
            let disturbance = match choices {
                [only] => *only,
                _ => choices[self.random.random_range(0..choices.len())],
            };
            *counts.entry(disturbance).or_default() += 1;
            self.add(disturbance);
            let pause = self.time(pauses.clone());
            self.now += pause;
        }
    }

    fn all_series<const N: usize>(
        &mut self,
        series: [(&[Disturbance], Range<u64>); N],
    ) -> BTreeMap<Disturbance, u32> {
        let mut counts = BTreeMap::new();
        for (choices, pauses) in series {
            self.now = self.time(pauses.clone());
            self.series(choices, pauses, &mut counts);
        }
        counts
    }

    fn disturbance(&mut self) -> Disturbance {
        let sum = SHARES.iter().map(|(_, share)| share).sum();
        let mut left = self.random.random_range(0..sum);
        for (disturbance, share) in SHARES {
            if left < share {
                return disturbance;
            }
            left -= share;
        }
        Disturbance::Kill
    }

    fn time(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range_ms))
    }

    fn relay(&mut self) -> usize {
        self.random.random_range(0..self.size.relays)
    }

    fn account(&mut self) -> &'static str {
        ACCOUNTS[self.random.random_range(0..ACCOUNTS.len())].name
    }

    fn runner(&mut self) -> usize {
        self.random.random_range(0..self.size.runners)
    }

    /// Returns at least one and at most `share` of all relays.
    fn relays(&mut self, share: usize) -> Vec<usize> {
        let most = (self.size.relays / share).max(1);
        let count = self.random.random_range(1..=most);
        sample(&mut self.random, self.size.relays, count).into_vec()
    }

    fn step(&mut self, after: Duration, step: Step) {
        self.steps.push((self.now + after, step));
    }

    fn add(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Kill => {
                let relay = self.relay();
                self.kill(vec![relay]);
            }
            Disturbance::KillMany => {
                let relays = self.relays(1);
                self.kill(relays);
            }
            Disturbance::KillAll => self.kill((0..self.size.relays).collect()),
            Disturbance::Terminate => {
                let relay = self.relay();
                self.terminate(vec![relay]);
            }
            Disturbance::TerminateInTurn => {
                let relays = self.relays(3);
                self.terminate(relays);
            }
            Disturbance::Pause => {
                let relay = self.relay();
                self.pause(vec![relay]);
            }
            Disturbance::PauseMany => {
                let relays = self.relays(1);
                self.pause(relays);
            }
            Disturbance::Replace => {
                let relay = self.relay();
                self.step(Duration::ZERO, Step::Replace(relay));
            }
            Disturbance::Crash => {
                let runner = self.runner();
                self.step(Duration::ZERO, Step::Crash(vec![runner]));
            }
            Disturbance::CrashDataCentre => {
                let data_centre = Size::data_centre(self.runner());
                let runners = self.runners(|runner| Size::data_centre(runner) == data_centre);
                self.step(Duration::ZERO, Step::Crash(runners));
            }
            Disturbance::Upstream => {
                let (runner, fault) = (self.runner(), self.upstream_fault());
                self.step(Duration::ZERO, Step::Upstream(runner, vec![fault; 2]));
            }
            Disturbance::Service => {
                let faults = [
                    Fault::SecondAnswer,
                    Fault::CutAfter(0),
                    Fault::WrongId,
                    Fault::KilledAfter(0),
                    Fault::NotRun,
                    Fault::NotRunUnnamed,
                ];
                let fault = faults[self.random.random_range(0..faults.len())];
                self.step(Duration::ZERO, Step::Service(fault));
            }
            Disturbance::StoreRefuses => {
                self.store(Faults { refuse: true, ..Faults::default() });
            }
            Disturbance::StoreSilent => {
                self.store(Faults { silent: true, ..Faults::default() });
            }
            Disturbance::RepliesLost => {
                self.store(Faults { lost_replies: 3, ..Faults::default() });
            }
            Disturbance::LateTransactions => {
                self.store(Faults { late_transactions: 2, ..Faults::default() });
            }
            Disturbance::Configuration => self.step(Duration::ZERO, Step::Configure),
            Disturbance::Listing => {
                let state = if self.random.random_bool(0.5) { "ready" } else { "draining" };
                let runner = self.runner();
                self.step(Duration::ZERO, Step::List(vec![runner], state));
            }
            Disturbance::Rollout => self.rollout(),
            Disturbance::Cut => self.cut(),
            Disturbance::KillMost => {
                let left = self.relay();
                let lost: Vec<usize> =
                    (0..self.size.relays).filter(|relay| *relay != left).collect();
                self.step(Duration::ZERO, Step::Kill(lost.clone()));
                let down = self.time(2_000..8_000);
                self.step(down, Step::Start(lost));
            }
            Disturbance::MissingRoute => {
                self.step(Duration::ZERO, Step::RemoveRoute);
                let back = self.time(50..1_500);
                self.step(back, Step::Configure);
            }
            Disturbance::Release => {
                let runner = self.runner();
                self.step(Duration::ZERO, Step::Leave(runner));
                self.store(Faults { refuse: true, ..Faults::default() });
                let restarted = self.time(100..1_500);
                self.step(restarted, Step::Restart(runner));
            }
            Disturbance::Endless => {
                let runner = self.runner();
                let fault = Fault::Endless(Endless::Event);
                self.step(Duration::ZERO, Step::Upstream(runner, vec![fault]));
            }
            Disturbance::Quiet => {
                let runner = self.random.random_range(0..self.size.runners + Size::OTHERS);
                let count = self.random.random_range(1..=self.size.slots());
                let faults = (0..count).map(|_| self.quiet()).collect();
                self.step(Duration::ZERO, Step::Upstream(runner, faults));
            }
            Disturbance::QuietAll => {
                let fault = self.quiet();
                for runner in 0..self.size.runners + Size::OTHERS {
                    self.step(
                        Duration::ZERO,
                        Step::Upstream(runner, vec![fault; self.size.slots()]),
                    );
                }
            }
            Disturbance::QuietService => {
                let fault = self.quiet();
                self.step(Duration::ZERO, Step::Service(fault));
            }
            Disturbance::Stop => {
                let relay = self.relay();
                self.stop(vec![relay]);
            }
            Disturbance::StopMany => {
                let relays = self.relays(1);
                self.stop(relays);
            }
            Disturbance::Quota => {
                let relay = self.relay();
                for period in 0..QUOTA_PERIODS {
                    let begin = QUOTA_PERIOD * period;
                    self.step(begin, Step::Pause(vec![relay]));
                    self.step(begin + QUOTA_STOP, Step::Resume(vec![relay]));
                }
            }
            Disturbance::Move => {
                self.step(Duration::ZERO, Step::Move("other"));
                let back = self.time(200..900);
                self.step(back, Step::Move("model"));
            }
            Disturbance::AddedKey => {
                let account = self.account();
                self.step(Duration::ZERO, Step::AddKey(account));
            }
            Disturbance::ReplacedKeys => {
                let account = self.account();
                self.step(Duration::ZERO, Step::ReplaceKeys(account, true));
            }
            Disturbance::RemovedKeys => {
                let account = self.account();
                self.step(Duration::ZERO, Step::ReplaceKeys(account, false));
                let back = self.time(NO_KEY_MS);
                self.step(back, Step::AddKey(account));
            }
            Disturbance::Refused => {
                let relays = self.relays(1);
                self.step(Duration::ZERO, Step::Refuse(relays.clone(), true));
                let back = self.time(REFUSED_MS);
                self.step(back, Step::Refuse(relays, false));
            }
            Disturbance::OwnerKilled | Disturbance::OwnerPaused => {
                let all: Vec<usize> = (0..self.size.relays).collect();
                let account = ACCOUNTS[0].name;
                let (step, back) = match disturbance {
                    Disturbance::OwnerKilled => (Step::KillOwner(account), Step::Start(all)),
                    _ => (Step::PauseOwner(account), Step::Resume(all)),
                };
                self.step(Duration::ZERO, step);
                let lost = self.time(OWNER_LOST_MS);
                self.step(lost, back);
            }
            Disturbance::RollingRestart => self.terminate((0..self.size.relays).collect()),
            Disturbance::OddRoutes => {
                self.step(Duration::ZERO, Step::OddRoutes);
                let back = self.time(50..1_500);
                self.step(back, Step::Configure);
            }
            Disturbance::OddNumber => {
                let value = ODD_KEEP_ALIVES[self.random.random_range(0..ODD_KEEP_ALIVES.len())];
                let runner = self.runner();
                self.step(Duration::ZERO, Step::KeepAlive(runner, value));
            }
            Disturbance::OddStatus => {
                let status = ODD_STATUSES[self.random.random_range(0..ODD_STATUSES.len())];
                self.step(Duration::ZERO, Step::Service(Fault::Status(status)));
            }
        }
    }

    fn quiet(&mut self) -> Fault {
        Fault::QuietAfter(self.random.random_range(QUIET_EVENTS), self.time(QUIET_MS))
    }

    fn stop(&mut self, relays: Vec<usize>) {
        self.step(Duration::ZERO, Step::Pause(relays.clone()));
        let stop = self.time(STOP_MS);
        self.step(stop, Step::Resume(relays));
    }

    /// Cuts the links of one relay, of several or of all.
    fn cut(&mut self) {
        let share = [1, 2, self.size.relays][self.random.random_range(0..3)];
        let relays = self.relays(share);
        let cut = [Cut::Hang, Cut::Refuse, Cut::Reset][self.random.random_range(0..3)];
        self.step(Duration::ZERO, Step::Cut(relays.clone(), cut));
        let duration = self.time(100..4_000);
        self.step(duration, Step::Cut(relays, Cut::None));
    }

    fn kill(&mut self, relays: Vec<usize>) {
        self.step(Duration::ZERO, Step::Kill(relays.clone()));
        let down = self.time(20..1_500);
        self.step(down, Step::Start(relays));
    }

    /// Terminates relays one after the other.
    fn terminate(&mut self, relays: Vec<usize>) {
        let mut after = Duration::ZERO;
        for relay in relays {
            self.step(after, Step::Terminate(relay));
            let down = self.time(50..1_500);
            self.step(after + down, Step::Start(vec![relay]));
            after += self.time(50..500);
        }
    }

    fn pause(&mut self, relays: Vec<usize>) {
        self.step(Duration::ZERO, Step::Pause(relays.clone()));
        let longest = if self.random.random_bool(0.2) { 3_000 } else { 900 };
        let pause = self.time(50..longest);
        self.step(pause, Step::Resume(relays));
    }

    fn upstream_fault(&mut self) -> Fault {
        let events = self.random.random_range(0..20);
        // No failures (500): two of them end a batch item for good, as its route allows. An upstream
        // that lives and closes a stream twice after the same event cannot be told from one that ends it.
        let faults = [
            Fault::CutAfter(events),
            Fault::CloseAfter(events + 1),
            Fault::KilledAfter(events),
            Fault::NotRun,
            Fault::NotRunUnnamed,
            Fault::WrongId,
            Fault::Silent,
        ];
        faults[self.random.random_range(0..faults.len())]
    }

    fn store(&mut self, faults: Faults) {
        self.step(Duration::ZERO, Step::Store(faults));
        let duration = self.time(50..900);
        self.step(duration, Step::Store(Faults::default()));
    }

    fn runners(&self, condition: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.size.runners).filter(|runner| condition(*runner)).collect()
    }

    fn rollout(&mut self) {
        let version = Size::version(self.runner());
        let old = self.runners(|runner| Size::version(runner) == version);
        let new = self.runners(|runner| Size::version(runner) != version);
        self.step(Duration::ZERO, Step::List(new, "ready"));
        self.step(Duration::ZERO, Step::List(old.clone(), "draining"));
        let removed = self.time(20..1_500);
        self.step(removed, Step::Unlist(old.clone()));
        if self.profile == Profile::Faulty && self.random.random_bool(0.5) {
            let ended = removed + self.time(0..300);
            self.step(ended, Step::Crash(old.clone()));
        }
        let back = removed + self.time(100..2_500);
        self.step(back, Step::List(old, "ready"));
    }
}
