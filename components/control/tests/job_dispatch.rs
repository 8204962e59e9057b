//! Guards against batch work that harms others: unfair order, late pauses, endless attempts, and
//! work after the own lease has ended.

mod support;

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::job::{
    ChunkState, Job, State,
    dispatch::{Input, Run, RunOutcome},
    job_key,
};
use googletest::prelude::*;
use support::{Fate, World};

const SECOND: Duration = Duration::from_secs(1);

fn answered(_: &Run) -> Option<RunOutcome> {
    Some(RunOutcome::Answered(8))
}

/// An item that kills the daemon that runs it ends as failed, and the others get their results.
#[gtest]
fn item_kills_its_worker() {
    let mut world = World::new(1);
    world.store.add_job(8, 8);
    let mut deaths = 0;
    while world.store.job().state == State::Open {
        world.run(SECOND, |run| (run.item != 5).then_some(RunOutcome::Answered(8)));
        let process = world.process(0);
        if process.runs.values().any(|run| run.item == 5) {
            deaths += 1;
            world.restart(0);
        }
        assert!(deaths < 20, "the item killed its worker without end");
    }
    world.check_end();
    let job = world.store.job();
    expect_that!((job.succeeded, job.failed), eq((7, 1)));
    expect_that!(world.store.results()[&5], is_false());
    // Two claims without a record of the running item, and three attempts in isolation.
    expect_that!(deaths, eq(5));
}

/// Two such items in one chunk are charged separately.
#[gtest]
fn two_killers() {
    let mut world = World::new(1);
    world.store.add_job(8, 8);
    let killer = |item: u32| item == 2 || item == 3;
    let mut deaths = 0;
    while world.store.job().state == State::Open {
        world.run(SECOND, |run| (!killer(run.item)).then_some(RunOutcome::Answered(8)));
        if world.process(0).runs.values().any(|run| killer(run.item)) {
            deaths += 1;
            world.restart(0);
        }
        assert!(deaths < 30, "the items killed their worker without end");
    }
    world.check_end();
    let failed: Vec<_> =
        world.store.results().into_iter().filter(|(_, good)| !good).map(|(item, _)| item).collect();
    expect_that!(failed, eq(&vec![2, 3]));
}

/// An item that kills its upstream takes others with it, which must not end as failed.
#[gtest]
fn item_kills_its_upstream() {
    let mut world = World::new(1);
    world.store.add_job(12, 12);
    let until = world.now + Duration::from_secs(60);
    while world.now < until && world.store.job().state == State::Open {
        world.drain_mail(0);
        let runs: Vec<_> = world.process(0).runs.values().cloned().collect();
        let killed: Vec<_> =
            runs.iter().filter(|run| run.item == 0).map(|run| run.upstream.clone()).collect();
        for run in runs {
            let index = world.process(0).runs.keys().position(|id| *id == run.id);
            let end = match killed.contains(&run.upstream) {
                true => RunOutcome::Failed,
                false => RunOutcome::Answered(8),
            };
            if let Some(index) = index {
                world.end(0, index, end);
            }
        }
        world.advance(Duration::from_millis(100));
    }
    world.check_end();
    let job = world.store.job();
    expect_that!((job.succeeded, job.failed), eq((11, 1)));
    expect_that!(world.started.iter().filter(|(_, item)| *item == 0).count(), eq(3));
}

/// A failing item ends as failed after the allowed attempts, also with only one attempt allowed.
#[gtest]
fn attempts() {
    for allowed in [1, 2, 3, 5] {
        let mut world = World::new(1);
        world.item_attempts = allowed;
        world.restart(0);
        world.store.add_job(4, 4);
        world.run(30 * SECOND, |run| {
            Some(if run.item == 1 { RunOutcome::Failed } else { RunOutcome::Answered(8) })
        });
        world.check_end();
        let tries = world.started.iter().filter(|(_, item)| *item == 1).count();
        expect_that!(tries, eq(allowed as usize));
        expect_that!(world.store.job().failed, eq(1));
    }
}

/// An item that did not run is not charged, however often that happens.
#[gtest]
fn not_run_is_free() {
    let mut world = World::new(1);
    world.store.add_job(2, 2);
    world.run(20 * SECOND, |_| Some(RunOutcome::NotRun));
    let tries = world.started.len();
    expect_that!(tries, gt(6));
    // Upstreams that take nothing are not asked without end: each item goes to each of the two
    // upstreams once a second.
    expect_that!(tries, le(2 * 2 * 21));
    world.run_well(5 * SECOND);
    world.check_end();
    expect_that!(world.store.job().failed, eq(0));
}

/// A limit that drops pauses the newest streams of that upstream, and resumes them first.
#[gtest]
fn pauses_newest() {
    let mut world = World::new(1);
    world.store.add_job(16, 16);
    world.run(SECOND, |_| None);
    let first: Vec<_> = world.process(0).runs.values().map(|run| run.item).collect();
    expect_that!(first, len(eq(4)));
    world.limit(0, 2);
    let left: Vec<_> = world.process(0).runs.values().map(|run| run.item).collect();
    expect_that!(left, eq(&vec![first[0], first[1]]));
    world.limit(0, 4);
    let resumed: Vec<_> = world.process(0).runs.values().map(|run| run.item).collect();
    expect_that!(resumed, eq(&first));
    world.limit(0, 0);
    expect_that!(world.process(0).runs.len(), eq(0));
}

/// Chunks for which there are no streams for long are handed back, and another daemon goes on.
#[gtest]
fn unused_chunks() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(16, 16);
    world.run(SECOND, |run| (run.item < 3).then_some(RunOutcome::Answered(8)));
    world.limit(0, 0);
    world.run(20 * SECOND, answered);
    let states: Vec<_> = world.store.chunks().values().map(|chunk| chunk.state).collect();
    expect_that!(states, eq(&vec![ChunkState::Done, ChunkState::Returned]));
    world.limit(1, 4);
    world.run_well(5 * SECOND);
    world.check_end();
}

/// A holder that was paused past its lease starts nothing before it has looked at its chunks.
#[gtest]
fn paused_holder() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    expect_that!(world.process(0).dispatch.held_count(), eq(1));
    world.process(0).paused = true;
    world.limit(1, 4);
    // The other daemon observes that the counter stands still, and takes over.
    world.run(20 * SECOND, |run| {
        run.upstream.starts_with("runner-1").then_some(RunOutcome::Answered(8))
    });
    expect_that!(world.store.job().state, eq(State::Completed));
    let started = world.started.len();
    world.process(0).paused = false;
    // An old run ends, and time passes; every start before the lease is renewed would fail an
    // assertion in the world.
    world.end(0, 0, RunOutcome::Answered(8));
    world.run_well(5 * SECOND);
    expect_that!(world.process(0).dispatch.held_count(), eq(0));
    expect_that!(world.process(0).runs.len(), eq(0));
    expect_that!(world.started.len(), eq(started));
    world.check_end();
}

/// A holder that was paused for less than the observation time keeps its chunk.
#[gtest]
fn short_pause() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    world.process(0).paused = true;
    world.limit(1, 4);
    world.run(12 * SECOND, answered);
    world.process(0).paused = false;
    world.run_well(5 * SECOND);
    world.check_end();
    let chunk = &world.store.chunks()[&0];
    expect_that!((chunk.holder.as_str(), chunk.fence), eq(("entry-0", 1)));
}

/// A holder whose renewal arrives while another daemon takes over keeps its chunk.
#[gtest]
fn renewal_beats_takeover() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    world.process(0).paused = true;
    world.limit(1, 4);
    // Until the takeover is under way but not in the table.
    let takeover = |world: &mut World| {
        world.process(1).mail.iter().position(|mail| {
            matches!(mail, support::Mail::Call(_, cyclamengrade_control::store::Call::Commit(transaction), _)
                if transaction.writes.keys().any(|key| key.starts_with("chunk/")))
        })
    };
    let mut steps = 0;
    while takeover(&mut world).is_none() {
        world.deliver(1, 0, Fate::Answered);
        world.advance(Duration::from_millis(50));
        steps += 1;
        assert!(steps < 2_000, "no takeover was tried");
    }
    world.process(0).paused = false;
    world.advance(Duration::from_millis(50));
    world.drain_mail(0);
    world.run_well(5 * SECOND);
    world.check_end();
    let chunk = &world.store.chunks()[&0];
    expect_that!((chunk.holder.as_str(), chunk.fence), eq(("entry-0", 1)));
}

/// A job close to due goes first; otherwise clients share by weight, not by number of jobs.
#[gtest]
fn order_of_jobs() {
    let mut world = World::new(1);
    let hour = 3_600_000;
    for index in 0..6 {
        world.store.add(&format!("himal-{index}"), "himal", 2 * hour + index, 64, 4);
    }
    world.store.add("tessiture-0", "tessiture", 9 * hour, 64, 4);
    let weights = BTreeMap::from([("himal".to_owned(), 1), ("tessiture".to_owned(), 3)]);
    world.input(0, Input::Weights(weights));
    world.run(2 * SECOND, answered);
    let started = |world: &World, client: &str| {
        world.started.iter().filter(|(job, _)| job.starts_with(client)).count()
    };
    let (himal, tessiture) = (started(&world, "himal"), started(&world, "tessiture"));
    // While both had work, the client with the weight of 3 got three times as much.
    let share = tessiture as f64 / himal as f64;
    expect_that!(share, ge(2.4).and(le(3.6)), "himal {himal}, tessiture {tessiture}");
    world.store.add("urgent", "himal", 600_000, 4, 4);
    let before = world.started.len();
    world.run(2 * SECOND, answered);
    let place = world.started[before..].iter().position(|(job, _)| job == "urgent");
    // Items at hand and one poll come first.
    expect_that!(place, some(le(80)));
    let job: Job = world.store.row(&job_key("urgent")).unwrap();
    expect_that!(job.state, eq(State::Completed));
}

/// When results cannot be committed, no more of them pile up than the bound allows.
#[gtest]
fn bounded_results() {
    let mut world = World::new(1);
    world.store.add_job(64, 64);
    // The bound is 1 MiB; each answer is half of it.
    world.run(SECOND, |_| None);
    for _ in 0..60 {
        world.end(0, 0, RunOutcome::Answered(1 << 19));
    }
    expect_that!(world.process(0).dispatch.result_bytes(), le(5 << 19));
    expect_that!(world.process(0).dispatch.running_count(), eq(0));
}

/// While the table is down, items at hand go on and nothing is claimed.
#[gtest]
fn table_down() {
    let mut world = World::new(1);
    world.store.add_job(64, 16);
    world.run(Duration::from_millis(500), |_| None);
    expect_that!(world.process(0).dispatch.held_count(), eq(1));
    for _ in 0..300 {
        while !world.process(0).mail.is_empty() {
            world.deliver(0, 0, Fate::Refused);
        }
        world.end(0, 0, RunOutcome::Answered(8));
        world.advance(Duration::from_millis(100));
    }
    expect_that!(world.started.len(), eq(16));
    expect_that!(world.process(0).dispatch.running_count(), eq(0));
    world.run_well(10 * SECOND);
    world.check_end();
    expect_that!(world.started.len(), eq(64));
}

/// All daemons poll without work and without suspects: the reads stay constant for each daemon.
#[gtest]
fn idle_reads() {
    let mut world = World::new(3);
    world.run_well(5 * SECOND);
    let (reads, writes) = (world.store.reads, world.store.writes);
    world.run_well(30 * SECOND);
    // One page a second for each daemon, and its own renewals.
    expect_that!(world.store.reads - reads, le(3 * 31));
    expect_that!(world.store.writes - writes, le(3 * 11));
}

/// Many daemons that get streams at the same moment must not spend the writes of the table on
/// conflicts: it takes several hundred a second.
#[gtest]
fn many_daemons() {
    const DAEMONS: u32 = 60;
    let mut world = World::new(DAEMONS as usize);
    world.store.add_job(DAEMONS * 16, 16);
    for index in 0..20 {
        world.store.add(&format!("other-{index}"), "himal", 9_000_000_000 + index, 64, 16);
    }
    let start = world.now;
    let mut rounds = 0;
    while world.store.job().state == State::Open {
        // Calls of the daemons interleave: one of each daemon in each round of 10 ms.
        for daemon in 0..DAEMONS as usize {
            world.deliver(daemon, 0, Fate::Answered);
        }
        if rounds % 10 == 0 {
            for daemon in 0..DAEMONS as usize {
                while !world.process(daemon).runs.is_empty() {
                    world.end(daemon, 0, RunOutcome::Answered(8));
                }
            }
            world.advance(Duration::from_millis(100));
        }
        rounds += 1;
        assert!(rounds < 20_000, "the job came to no end");
    }
    let seconds = world.now.since(start).as_secs_f64();
    let (writes, reads) = (world.store.writes, world.store.reads);
    let (chunks, conflicts) = (world.store.chunks().len(), world.store.conflicts);
    println!("{chunks} chunks of the job: {writes} writes, {conflicts} conflicts, {reads} reads");
    println!("in {seconds:.1} s");
    expect_that!(writes as f64 / seconds, le(300.0));
    expect_that!(reads as f64 / seconds, le(2_000.0));
    expect_that!(world.store.results(), len(eq(960)));
}
