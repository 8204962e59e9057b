//! Random faults, in series and overlapping, at real relay processes while callers use them.
//!
//! `scripts/soak` plays more seeds and larger runs. A run is given by these environment variables:
//!
//! | variable | meaning | default |
//! | --- | --- | --- |
//! | `SOAK_PROFILE` | `faulty`; `quiet`: plans in which nothing fails; `accounts`: callers have keys | `faulty` |
//! | `SOAK_SEED` | first seed | 1 |
//! | `SOAK_RUNS` | number of seeds | 3 |
//! | `SOAK_RELAYS`, `SOAK_CALLERS`, `SOAK_RUNNERS` | relays, callers, upstreams of streams | 4, 6, 5 |
//! | `SOAK_SECONDS` | time in which faults are injected | 6 |
//! | `SOAK_REGRESSIONS` | 1 also plays the seeds that failed in larger runs | 0 |
//! | `SOAK_PROGRAM` | path of the program whose relays are played | the built one |
//! | `SOAK_OLDER` | path of an older build, which relays run at every other start; not with `accounts` | none |
//! | `SOAK_LOGS` | folder for the logs of seeds that fail | none are kept |
//!
//! With `accounts`, keys of four accounts of unequal size are added and removed under strict revocation, one
//! account sends far more than its quota, the store refuses relays, all of them restart in turn, and the owner of
//! that quota is killed or paused. Checked are which keys run requests and until when, what upstreams learn of
//! them, the quota in any 5 s, and who reads jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    fmt::Debug,
    fs,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use cyclamengrade_control::hash;
use cyclamengrade_standins::{
    bridge::{
        ACCOUNTS, Callers, Contradiction, Cut, Faults, Harness, Job, Keyring, Plan, Profile,
        Promise, REVOKE_MS, Record, Runner, Size, Step, Stops,
    },
    fleet::{Error, binary},
};
use googletest::prelude::*;
use serde_json::json;
use tokio::{task::block_in_place, time::sleep};

const DEFAULT_SIZE: Size = Size { relays: 4, callers: 6, runners: 5, seconds: 6 };
const QUIET_SIZE: Size = Size { relays: 4, callers: 18, runners: 5, seconds: 3 };
const ACCOUNTS_SIZE: Size = Size { relays: 4, callers: 12, runners: 5, seconds: 6 };
/// Seeds of plans with accounts in CI.
const ACCOUNTS_SEEDS: [u64; 2] = [1, 2];
/// Seeds of quiet plans in CI.
const QUIET_SEEDS: [u64; 2] = [1, 2];
/// Time between the last fault and the last new request.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Longest time between two checks for relays that have ended.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time within which a relay is ready or has ended, after the last fault.
const HEAL_TIMEOUT: Duration = Duration::from_secs(8);
/// Seed and number of runs in CI.
const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 3;

/// A seed that failed.
struct Regression {
    seed: u64,
    size: Size,
    /// Promises that were broken, the commit of the relays, and the cause.
    cause: &'static str,
}

const SIZE_24: Size = Size { relays: 24, callers: 36, runners: 20, seconds: 20 };
const SIZE_90: Size = Size { relays: 90, callers: 60, runners: 40, seconds: 30 };

/// The times of processes differ between runs, so that a seed may pass with its cause still there.
const REGRESSIONS: [Regression; 7] = [
    Regression {
        seed: 10_039,
        size: DEFAULT_SIZE,
        cause: "OnceEnd on 9514c29: the listener of a killed upstream outlives its connections",
    },
    Regression { seed: 14_006, size: DEFAULT_SIZE, cause: "Answer on 9514c29: as seed 10039" },
    Regression {
        seed: 20_001,
        size: SIZE_24,
        cause: "Answer on 9514c29: the listener of a killed upstream outlives its connections",
    },
    Regression {
        seed: 21_001,
        size: SIZE_24,
        cause: "Version on 2f610d8: streams go on at upstreams of any version. End, OnceEnd, Answer \
                and Item up to d61a9bd: a closed connection counts as the end of a response",
    },
    Regression {
        seed: 21_003,
        size: SIZE_24,
        cause: "Version on 8d00271: a relay takes the only version that it knows for that of a stream",
    },
    Regression {
        seed: 31_001,
        size: SIZE_90,
        cause: "Version on 2f610d8, and ends up to d61a9bd: as seed 21001",
    },
    Regression { seed: 32_001, size: SIZE_90, cause: "OnceEnd on 9514c29: as seed 10039" },
];

/// Returns the value of an environment variable, or `default` if it is not set.
fn number(name: &str, default: u64, range: RangeInclusive<u64>) -> Result<u64> {
    let Ok(text) = env::var(name) else { return Ok(default) };
    match text.parse() {
        Ok(value) if range.contains(&value) => Ok(value),
        _ => fail!("{name} is {text:?}, and has to be a number in {range:?}").map(|()| default),
    }
}

fn size(profile: Profile) -> Result<Size> {
    let default = match profile {
        Profile::Faulty => DEFAULT_SIZE,
        Profile::Accounts => ACCOUNTS_SIZE,
        Profile::Quiet => QUIET_SIZE,
    };
    let count = |name, default: usize, range| -> Result<usize> {
        Ok(number(name, default as u64, range)? as usize)
    };
    Ok(Size {
        relays: count("SOAK_RELAYS", default.relays, 1..=150)?,
        callers: count("SOAK_CALLERS", default.callers, 1..=500)?,
        runners: count("SOAK_RUNNERS", default.runners, 4..=200)?,
        seconds: number("SOAK_SECONDS", default.seconds, 1..=600)?,
    })
}

fn program() -> Result<PathBuf> {
    match env::var_os("SOAK_PROGRAM") {
        Some(path) => Ok(path.into()),
        None => Ok(binary("cyclamengrade")?),
    }
}

fn older_program() -> Option<PathBuf> {
    env::var_os("SOAK_OLDER").map(PathBuf::from)
}

/// The system while a plan is played.
struct Run {
    profile: Profile,
    size: Size,
    stops: Stops,
    harness: Harness,
    callers: Callers,
    keyring: Keyring,
    /// Number in the harness of each relay of the plan, which changes when it is replaced.
    relays: Vec<usize>,
    /// Relays that were replaced and may still run.
    leaving: BTreeSet<usize>,
    /// Relays that were killed or asked to stop, and those of them that are to start again.
    stopped: BTreeSet<usize>,
    waiting: BTreeSet<usize>,
}

impl Run {
    async fn start(profile: Profile, seed: u64, size: Size) -> Result<Self> {
        let keyring = Keyring::new();
        let is_strict = profile == Profile::Accounts;
        if is_strict && older_program().is_some() {
            fail!("older builds do not play accounts")?;
        }
        let relays = if is_strict { 0 } else { size.relays };
        let mut harness = Harness::start_mixed(relays, program()?, older_program(), true).await?;
        if is_strict {
            harness.accounts = keyring.tenants();
            harness.revoke_ms = Some(REVOKE_MS);
        }
        // Longer than a run, so that no item is abandoned.
        harness.retention_s = 120 + 2 * size.seconds;
        harness.configure(json!([]));
        for number in relays..size.relays {
            harness.add_relay(number)?;
        }
        for number in relays..size.relays {
            harness.await_ready(number).await?;
        }
        let runners = match profile {
            Profile::Faulty | Profile::Accounts => size.runners,
            Profile::Quiet => size.runners + Size::OTHERS,
        };
        for runner in harness.runners.len()..runners {
            let id = format!("m-{}", runner + 1);
            let (version, data_centre) = (Size::version(runner), Size::data_centre(runner));
            harness.add_runner(&id, version, data_centre).await?;
        }
        for (number, runner) in harness.runners.iter().enumerate() {
            runner.name_version();
            match profile {
                Profile::Faulty if Size::is_unframed(number) => runner.omit_framing(),
                Profile::Faulty | Profile::Accounts => {}
                Profile::Quiet => runner.limit_slots(size.slots()),
            }
            let entry = runner.entry(size.service(number), "ready");
            harness.store.put("servers", &runner.id, &entry);
        }
        if profile == Profile::Quiet {
            harness.plain.limit_slots(size.slots());
            harness.store.put("servers", &harness.plain.id, &harness.plain.entry("plain", "ready"));
        }
        harness.list(&harness.runners[size.runners - 1], 0).await?;
        let relays: Vec<usize> = (0..size.relays).collect();
        let addresses = relays.iter().map(|relay| harness.address(*relay)).collect();
        Ok(Self {
            callers: Callers::start(profile, size, seed, addresses, keyring.clone()),
            keyring,
            profile,
            size,
            stops: Stops::default(),
            harness,
            relays,
            leaving: BTreeSet::new(),
            stopped: BTreeSet::new(),
            waiting: BTreeSet::new(),
        })
    }

    /// Starts and signals of many processes take long. They do not block the thread, so that stand-ins
    /// which share it go on.
    async fn play(&mut self, plan: &Plan) -> Result<()> {
        let begin = Instant::now();
        for (at, step) in &plan.steps {
            while begin.elapsed() < *at {
                block_in_place(|| self.check())?;
                sleep(CHECK_PERIOD.min(at.saturating_sub(begin.elapsed()))).await;
            }
            block_in_place(|| self.apply(step))?;
        }
        Ok(())
    }

    fn numbers(&self, relays: &[usize]) -> Vec<usize> {
        relays.iter().map(|relay| self.relays[*relay]).collect()
    }

    fn runner(&self, runner: usize) -> &Runner {
        &self.harness.runners[runner]
    }

    fn apply(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Kill(relays) => {
                let numbers = self.numbers(relays);
                self.harness.kill_relays(&numbers)?;
                self.stopped.extend(numbers);
            }
            Step::Terminate(relay) => self.terminate(self.relays[*relay])?,
            Step::Start(relays) => {
                let numbers = self.numbers(relays).into_iter();
                self.waiting.extend(numbers.filter(|number| self.stopped.contains(number)));
            }
            Step::Pause(relays) => {
                for number in self.numbers(relays) {
                    self.stops.begin(self.harness.address(number));
                }
                self.signal(relays, Harness::pause_relay)?;
            }
            Step::Resume(relays) => {
                self.signal(relays, Harness::resume_relay)?;
                for number in self.numbers(relays) {
                    self.stops.end(self.harness.address(number));
                }
            }
            Step::Replace(relay) => self.replace(*relay)?,
            Step::Crash(runners) => {
                runners.iter().for_each(|runner| self.runner(*runner).crash());
            }
            Step::List(runners, state) => {
                for number in runners {
                    let runner = self.runner(*number);
                    let entry = runner.entry(self.size.service(*number), state);
                    self.harness.store.put("servers", &runner.id, &entry);
                }
            }
            Step::Unlist(runners) => {
                for runner in runners.iter().map(|runner| self.runner(*runner)) {
                    self.harness.store.remove("servers", &runner.id);
                }
            }
            Step::Upstream(runner, faults) => self.runner(*runner).queue_faults(faults),
            Step::Service(fault) => self.harness.plain.queue_faults(&[*fault]),
            Step::Store(faults) => self.harness.store.set_faults(*faults),
            Step::Cut(relays, cut) => {
                for number in self.numbers(relays) {
                    self.harness.cut_links(number, *cut);
                }
            }
            Step::RemoveRoute => self.harness.configure_without(&["batch"]),
            Step::OddRoutes => self.harness.add_odd_routes(),
            Step::KeepAlive(runner, value) => self.runner(*runner).set_keep_alive(value),
            Step::Leave(runner) => self.runner(*runner).announce_leaving(),
            Step::Restart(runner) => {
                self.runner(*runner).restart();
                self.apply(&Step::List(vec![*runner], "ready"))?;
            }
            Step::Move(service) => {
                self.harness.stream_service = service;
                self.harness.configure(json!([]));
            }
            Step::Configure => {
                self.harness.store.discard_history();
                self.harness.configure(json!([]));
            }
            Step::ReplaceKeys(account, is_replaced) => {
                self.keyring.remove(account);
                if *is_replaced {
                    self.keyring.add(account);
                }
                self.write_keys();
            }
            Step::AddKey(account) => {
                self.keyring.add(account);
                self.write_keys();
            }
            Step::Refuse(relays, is_refused) => {
                for number in self.numbers(relays) {
                    self.harness.refuse_relay(number, *is_refused);
                }
            }
            Step::KillOwner(account) => {
                let owner = self.owner(account)?;
                self.apply(&Step::Kill(owner))?;
            }
            Step::PauseOwner(account) => {
                let owner = self.owner(account)?;
                self.apply(&Step::Pause(owner))?;
            }
        }
        Ok(())
    }

    fn write_keys(&mut self) {
        self.harness.accounts = self.keyring.tenants();
        self.harness.configure(json!([]));
    }

    /// Returns the relay that owns the quota of an account, unless it joined a short time ago.
    fn owner(&mut self, account: &str) -> Result<Vec<usize>> {
        let mut names = BTreeMap::new();
        for (relay, number) in self.relays.clone().into_iter().enumerate() {
            if self.harness.is_running(number)? {
                names.insert(format!("vm-{number}"), relay);
            }
        }
        let owner = hash::owner(names.keys().map(String::as_str), &format!("account {account}"));
        Ok(owner.map(|name| names[name]).into_iter().collect())
    }

    fn terminate(&mut self, number: usize) -> Result<()> {
        if self.harness.is_running(number)? {
            self.harness.terminate_relay(number)?;
            self.stopped.insert(number);
        }
        Ok(())
    }

    fn signal(
        &mut self,
        relays: &[usize],
        send: impl Fn(&Harness, usize) -> Result<(), Error>,
    ) -> Result<()> {
        for number in self.numbers(relays) {
            if self.harness.is_running(number)? {
                send(&self.harness, number)?;
            }
        }
        Ok(())
    }

    /// Callers use the relay that leaves until its process is gone.
    fn replace(&mut self, relay: usize) -> Result<()> {
        let (old, new) = (self.relays[relay], self.harness.relays());
        self.signal(&[relay], Harness::resume_relay)?;
        self.terminate(old)?;
        self.waiting.remove(&old);
        self.leaving.insert(old);
        self.harness.add_relay(new)?;
        self.relays[relay] = new;
        self.update_addresses();
        Ok(())
    }

    fn update_addresses(&self) {
        let numbers = self.relays.iter().chain(&self.leaving);
        let addresses = numbers.map(|number| self.harness.address(*number)).collect();
        self.callers.set_addresses(addresses);
    }

    /// Starts relays that have ended and are to run again.
    fn check(&mut self) -> Result<()> {
        for number in self.relays.clone() {
            if !self.stopped.contains(&number) && !self.harness.is_running(number)? {
                return fail!("relay {number} ended by itself");
            }
        }
        for number in self.leaving.clone() {
            if !self.harness.is_running(number)? {
                self.leaving.remove(&number);
                self.update_addresses();
            }
        }
        for number in self.waiting.clone() {
            if !self.harness.is_running(number)? {
                self.harness.start_relay(number)?;
                self.waiting.remove(&number);
                self.stopped.remove(&number);
            }
        }
        Ok(())
    }

    /// Undoes what lasts of the faults: starts relays that have ended, and lists all runners.
    async fn heal(&mut self) -> Result<()> {
        let all: Vec<usize> = (0..self.relays.len()).collect();
        self.apply(&Step::Store(Faults::default()))?;
        self.apply(&Step::Cut(all.clone(), Cut::None))?;
        self.harness.stream_service = "model";
        if self.profile == Profile::Accounts {
            self.apply(&Step::Refuse(all.clone(), false))?;
            let missing =
                ACCOUNTS.iter().filter(|account| self.keyring.listed(account.name).is_none());
            missing.for_each(|account| self.keyring.add(account.name));
            self.harness.accounts = self.keyring.tenants();
        }
        self.apply(&Step::Configure)?;
        self.harness.runners.iter().for_each(Runner::stay);
        if self.profile == Profile::Quiet {
            self.harness.runners.iter().for_each(Runner::clear_faults);
            self.harness.plain.clear_faults();
        }
        self.apply(&Step::List((0..self.harness.runners.len()).collect(), "ready"))?;
        block_in_place(|| self.apply(&Step::Resume(all.clone())))?;
        self.apply(&Step::Start(all))?;
        let start = Instant::now();
        while !(self.waiting.is_empty() && self.leaving.is_empty()) {
            block_in_place(|| self.check())?;
            if start.elapsed() > HEAL_TIMEOUT {
                let (waiting, leaving) = (&self.waiting, &self.leaving);
                return fail!("relays {waiting:?} and {leaving:?} have not ended");
            }
            sleep(CHECK_PERIOD).await;
        }
        for number in &self.relays {
            self.harness.await_ready(*number).await?;
        }
        Ok(())
    }

    /// Plays a plan. Returns what the callers saw, and the promises that were broken.
    async fn outcome(&mut self, plan: &Plan) -> Result<(Record, Vec<Contradiction>)> {
        self.play(plan).await?;
        self.heal().await?;
        sleep(CALM_TIME).await;
        let mut record = self.callers.stop().await?;
        let runners = self.harness.runners.iter().chain([&self.harness.plain]);
        let mut contradictions = record.contradictions(runners.clone());
        if plan.profile == Profile::Quiet {
            contradictions.extend(record.quiet_contradictions(runners, &self.stops));
        }
        if plan.profile == Profile::Accounts {
            let runners = self.harness.runners.iter().chain([&self.harness.plain]);
            contradictions.extend(record.account_contradictions(runners, &self.keyring));
            contradictions
                .extend(self.harness.reader_contradictions(&self.relays, &record.jobs).await);
            record.jobs.iter_mut().for_each(|job| self.list_key(job));
        }
        contradictions.extend(self.harness.job_contradictions(&self.relays, &record.jobs).await);
        Ok((record, contradictions))
    }

    /// Gives a job a key of its account that is listed.
    fn list_key(&self, job: &mut Job) {
        let account = self.keyring.account(&job.key);
        job.key = account.and_then(|account| self.keyring.listed(account)).unwrap_or_default();
    }

    /// Returns the number of runs, and of those that relays dropped before their time limits.
    fn runs(&self) -> (usize, usize) {
        let runners = self.harness.runners.iter().chain([&self.harness.plain]);
        let runs: Vec<_> = runners.flat_map(Runner::runs).collect();
        (runs.len(), runs.iter().filter(|run| run.is_dropped()).count())
    }

    /// Writes what is needed to trace a failure.
    fn save(&self, folder: &Path, contradictions: &impl Debug) -> Result<()> {
        self.harness.save_logs(folder)?;
        fs::write(folder.join("contradictions"), format!("{contradictions:#?}"))?;
        let runners = self.harness.runners.iter().chain([&self.harness.plain]);
        let mut runs = String::new();
        for runner in runners {
            let name = format!("{} {} {}", runner.id, runner.version, runner.address);
            runs.extend(runner.runs().iter().map(|run| format!("{name}: {run:?}\n")));
            runs += &format!("{name}: crashes {:?}\n", runner.crashes());
        }
        Ok(fs::write(folder.join("runs"), runs)?)
    }
}

async fn soak(profile: Profile, seed: u64, size: Size) -> Result<()> {
    let plan = match profile {
        Profile::Faulty => Plan::new(seed, size),
        Profile::Accounts => Plan::accounts(seed, size),
        Profile::Quiet => Plan::quiet(seed, size),
    };
    let mut run = Run::start(profile, seed, size).await?;
    let outcome = run.outcome(&plan).await;
    let contradictions = outcome.as_ref().map(|(_, contradictions)| contradictions);
    let is_sound = contradictions.is_ok_and(Vec::is_empty);
    if let Some(folder) = env::var_os("SOAK_LOGS")
        && !is_sound
    {
        let name = format!("seed-{seed}-relays-{}", size.relays);
        run.save(&PathBuf::from(folder).join(name), &contradictions)?;
    }
    let (record, contradictions) = outcome?;
    let mut broken: BTreeMap<Promise, u32> = BTreeMap::new();
    for contradiction in &contradictions {
        *broken.entry(contradiction.promise).or_default() += 1;
    }
    let (runs, dropped) = run.runs();
    println!(
        "seed {seed}, {profile:?}, {} relays: {} streams to the end, {} continued, {} refused, {} jobs, \
         {dropped} of {runs} runs dropped, contradictions {broken:?}, disturbances {:?}",
        size.relays,
        record.streams,
        record.continued,
        record.refused.len(),
        record.jobs.len(),
        plan.disturbances
    );
    if profile == Profile::Accounts {
        let (over, unauthorized) = (record.over_quota(&run.keyring), record.unauthorized());
        println!("seed {seed}: {unauthorized} unauthorized, over the quota {over:?}");
        expect_that!(over.get("loud"), some(gt(&0)), "seed {seed}");
        expect_that!(unauthorized, gt(0), "seed {seed}");
    }
    expect_that!(contradictions, is_empty(), "seed {seed}");
    verify_that!(record.streams, gt(10))
}

/// Guards against promises to callers that hold under single faults and not under several at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults() -> Result<()> {
    let profile = match env::var("SOAK_PROFILE").as_deref() {
        Err(_) | Ok("faulty") => Profile::Faulty,
        Ok("accounts") => Profile::Accounts,
        Ok("quiet") => Profile::Quiet,
        Ok(other) => {
            return fail!("SOAK_PROFILE is {other:?}, and has to be faulty, quiet or accounts");
        }
    };
    let size = size(profile)?;
    let first = number("SOAK_SEED", DEFAULT_SEED, 0..=u64::MAX >> 16)?;
    for seed in first..first + number("SOAK_RUNS", DEFAULT_RUNS, 1..=1_000)? {
        let outcome = soak(profile, seed, size).await;
        expect_that!(outcome, ok(anything()), "seed {seed}");
    }
    Ok(())
}

/// Guards against responses of sound upstreams that are cut, late or run again because upstreams are quiet
/// and full, relays lack processor time, or the configuration changes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quiet_upstreams() -> Result<()> {
    for seed in QUIET_SEEDS {
        let outcome = soak(Profile::Quiet, seed, QUIET_SIZE).await;
        expect_that!(outcome, ok(anything()), "seed {seed}");
    }
    Ok(())
}

/// Guards against removed keys that run requests, quotas that are exceeded and jobs that strangers read while
/// relays fail and the store refuses them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accounts() -> Result<()> {
    for seed in ACCOUNTS_SEEDS {
        let outcome = soak(Profile::Accounts, seed, ACCOUNTS_SIZE).await;
        expect_that!(outcome, ok(anything()), "seed {seed}");
    }
    Ok(())
}

/// Guards against the causes of earlier failures. Larger runs are played with `SOAK_REGRESSIONS=1`.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failed_seeds() -> Result<()> {
    let is_small = number("SOAK_REGRESSIONS", 0, 0..=1)? == 0;
    for Regression { seed, size, cause } in REGRESSIONS {
        if is_small && size != DEFAULT_SIZE {
            continue;
        }
        let outcome = soak(Profile::Faulty, seed, size).await;
        expect_that!(outcome, ok(anything()), "seed {seed}, {cause}");
    }
    Ok(())
}
