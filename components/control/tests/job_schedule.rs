//! Guards against items that are lost, committed twice, or keep running after a cancellation, for
//! random schedules of lost replies, late writes, crashes, pauses, limits and shutdowns.

mod support;

use std::{env, time::Duration};

use cyclamengrade_control::job::{
    State,
    dispatch::{Input, Outcome},
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{CallOutcome, World};

const DAEMONS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Deliver { daemon: usize, index: usize, fate: CallOutcome },
    ApplyLate(usize),
    EndRun { daemon: usize, index: usize, outcome: Outcome },
    Advance(u64),
    Limit { daemon: usize, streams: u32 },
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    Drain(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    let fate = prop_oneof![
        12 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::Refused),
        1 => Just(CallOutcome::Late),
    ];
    let outcome = prop_oneof![
        8 => Just(Outcome::Answered(8)),
        1 => Just(Outcome::Rejected(8)),
        1 => Just(Outcome::NotRun),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Interrupted),
    ];
    prop_oneof![
        40 => (daemon.clone(), 0..8_usize, fate)
            .prop_map(|(daemon, index, fate)| Step::Deliver { daemon, index, fate }),
        3 => (0..8_usize).prop_map(Step::ApplyLate),
        20 => (daemon.clone(), 0..8_usize, outcome)
            .prop_map(|(daemon, index, outcome)| Step::EndRun { daemon, index, outcome }),
        16 => prop_oneof![4 => 50..500_u64, 1 => 2_000..20_000_u64].prop_map(Step::Advance),
        4 => (daemon.clone(), 0..6_u32)
            .prop_map(|(daemon, streams)| Step::Limit { daemon, streams }),
        1 => daemon.clone().prop_map(Step::Kill),
        2 => daemon.clone().prop_map(Step::Restart),
        3 => (daemon.clone(), any::<bool>()).prop_map(|(daemon, paused)| Step::Pause(daemon, paused)),
        1 => daemon.prop_map(Step::Drain),
    ]
}

fn apply(world: &mut World, step: Step) {
    match step {
        Step::Deliver { daemon, index, fate } => world.deliver(daemon, index, fate),
        Step::ApplyLate(index) => world.apply_late(index),
        Step::EndRun { daemon, index, outcome } => world.end(daemon, index, outcome),
        Step::Advance(ms) => world.advance(Duration::from_millis(ms)),
        Step::Limit { daemon, streams } => world.limit(daemon, streams),
        Step::Kill(daemon) => world.kill(daemon),
        Step::Restart(daemon) => world.restart(daemon),
        Step::Pause(daemon, paused) => {
            if let Some(process) = &mut world.daemons[daemon] {
                process.paused = paused;
            }
        }
        Step::Drain(daemon) => {
            let until = world.now + Duration::from_secs(1_000_000);
            world.input(daemon, Input::Drain { until });
        }
    }
}

/// Ends all faults and runs the daemons for long enough that the job must end.
fn recover(world: &mut World) {
    while !world.late.is_empty() {
        world.apply_late(0);
    }
    for daemon in 0..DAEMONS {
        match &mut world.daemons[daemon] {
            Some(process) => process.paused = false,
            None => world.restart(daemon),
        }
        world.limit(daemon, 4);
    }
    // A drained process claims no more chunks, so one daemon is restarted.
    world.run_without_faults(Duration::from_secs(5));
    world.restart(0);
    world.run_without_faults(Duration::from_secs(120));
}

fn config() -> ProptestConfig {
    let seed = env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(7);
    let cases = env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(192);
    println!("replay with PROPTEST_RNG_SEED={seed}");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_item_once(
        items in 1..24_u32,
        chunk_items in 1..9_u32,
        steps in prop::collection::vec(step(), 0..250),
    ) {
        let mut world = World::new(DAEMONS);
        world.store.add_job(items, chunk_items);
        for step in steps {
            apply(&mut world, step);
        }
        recover(&mut world);
        world.check_end();
        prop_assert_eq!(world.store.job().state, State::Completed);
    }

    #[test]
    fn cancelled_stays_cancelled(
        before in prop::collection::vec(step(), 0..150),
        after in prop::collection::vec(step(), 0..100),
    ) {
        let mut world = World::new(DAEMONS);
        world.store.add_job(12, 3);
        for step in before {
            apply(&mut world, step);
        }
        let open = world.store.cancel();
        let results = world.store.results();
        let job = world.store.job();
        for step in after {
            apply(&mut world, step);
        }
        recover(&mut world);
        world.check_end();
        prop_assert_eq!(world.store.job(), job, "the job was open at cancellation: {}", open);
        prop_assert_eq!(world.store.results(), results);
        let running: usize = world.daemons.iter().flatten().map(|process| process.runs.len()).sum();
        prop_assert_eq!(running, 0);
    }
}
