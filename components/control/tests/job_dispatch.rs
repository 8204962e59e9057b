//! Guards against a batch dispatcher that claims jobs in an unfair order, pauses late, retries
//! without end, overloads the table, or starts items after its lease has ended.

mod support;

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::job::{
    ChunkState, Job, State,
    dispatch::{Input, Outcome, Run},
    job_key,
};
use googletest::prelude::*;
use support::{CallOutcome, JOB, World};

const SECOND: Duration = Duration::from_secs(1);

fn answered(_: &Run) -> Option<Outcome> {
    Some(Outcome::Answered(8))
}

/// An item that crashes the daemon that runs it ends as failed, and the other items get their
/// results.
#[gtest]
fn item_crashes_daemon() {
    let mut world = World::new(1);
    world.store.add_job(8, 8);
    let mut crashes = 0;
    while world.store.job().state == State::Open {
        world.run(SECOND, |run| (run.item != 5).then_some(Outcome::Answered(8)));
        let process = world.process(0);
        if process.runs.values().any(|run| run.item == 5) {
            crashes += 1;
            world.restart(0);
        }
        assert!(crashes < 20, "the item crashed its daemon 20 times and has not failed");
    }
    world.check_end();
    let job = world.store.job();
    expect_that!((job.succeeded, job.failed), eq((7, 1)));
    expect_that!(world.store.results()[&5], is_false());
    // Two crashes under claims that do not record the running item, then three charged attempts in
    // isolation.
    expect_that!(crashes, eq(5));
}

/// Two items of one chunk that crash the daemon are charged separately.
#[gtest]
fn two_items_crash_daemon() {
    let mut world = World::new(1);
    world.store.add_job(8, 8);
    let crashing = |item: u32| item == 2 || item == 3;
    let mut crashes = 0;
    while world.store.job().state == State::Open {
        world.run(SECOND, |run| (!crashing(run.item)).then_some(Outcome::Answered(8)));
        if world.process(0).runs.values().any(|run| crashing(run.item)) {
            crashes += 1;
            world.restart(0);
        }
        assert!(crashes < 30, "the items crashed their daemon 30 times and have not failed");
    }
    world.check_end();
    let failed: Vec<_> =
        world.store.results().into_iter().filter(|(_, good)| !good).map(|(item, _)| item).collect();
    expect_that!(failed, eq(&vec![2, 3]));
}

/// An item that crashes its upstream interrupts the other runs there, whose items must not end as
/// failed.
#[gtest]
fn item_crashes_upstream() {
    let mut world = World::new(1);
    world.store.add_job(12, 12);
    let until = world.now + Duration::from_secs(60);
    while world.now < until && world.store.job().state == State::Open {
        world.deliver_all(0);
        let runs: Vec<_> = world.process(0).runs.values().cloned().collect();
        let crashed: Vec<_> =
            runs.iter().filter(|run| run.item == 0).map(|run| run.upstream.clone()).collect();
        for run in runs {
            let index = world.process(0).runs.keys().position(|id| *id == run.id);
            let end = match crashed.contains(&run.upstream) {
                true => Outcome::Interrupted,
                false => Outcome::Answered(8),
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

/// Guards against charging the items beside one that its upstream answers with an error, when its
/// failure lowers the limit of the upstream.
#[gtest]
fn error_beside_sound_items() {
    let mut world = World::new(1);
    world.store.add_job(4, 4);
    world.run(SECOND, |_| None);
    for _ in 0..4 {
        let index = world.process(0).runs.values().position(|run| run.item == 0);
        if let Some(index) = index {
            world.end(0, index, Outcome::Failed);
        }
        world.limit(0, 2);
        world.limit(0, 4);
    }
    let charged: Vec<_> =
        (1..4).map(|item| world.process(0).dispatch.attempts(JOB, item)).collect();
    expect_that!(charged, each(some(eq(&0))));
}

/// Guards against an item that loses an attempt because it is sent to an upstream that is about to
/// crash.
#[gtest]
fn pause_after_interruption() {
    let mut world = World::new(1);
    world.store.add_job(12, 12);
    world.run(SECOND, |_| None);
    let upstream = world.process(0).runs.values().next().map(|run| run.upstream.clone());
    let interrupted = upstream.unwrap_or_default();
    while let Some(index) =
        world.process(0).runs.values().position(|run| run.upstream == interrupted)
    {
        world.end(0, index, Outcome::Interrupted);
    }
    let runs_there = |world: &mut World| {
        world.process(0).runs.values().filter(|run| run.upstream == interrupted).count()
    };
    world.run(Duration::from_millis(800), |_| None);
    expect_that!(runs_there(&mut world), eq(0));
    world.run(Duration::from_millis(400), |_| None);
    expect_that!(runs_there(&mut world), gt(0));
}

/// A failing item ends as failed after the allowed number of attempts, even if only one is allowed.
#[gtest]
fn failing_item_ends_after_allowed_attempts() {
    for allowed in [1, 2, 3, 5] {
        let mut world = World::new(1);
        world.item_attempts = allowed;
        world.restart(0);
        world.store.add_job(4, 4);
        world.run(30 * SECOND, |run| {
            Some(if run.item == 1 { Outcome::Failed } else { Outcome::Answered(8) })
        });
        world.check_end();
        let run_count = world.started.iter().filter(|(_, item)| *item == 1).count();
        expect_that!(run_count, eq(allowed as usize));
        expect_that!(world.store.job().failed, eq(1));
    }
}

/// An item that was not executed is not charged an attempt, however often that happens.
#[gtest]
fn not_run_is_not_charged() {
    let mut world = World::new(1);
    world.store.add_job(2, 2);
    world.run(20 * SECOND, |_| Some(Outcome::NotRun));
    let run_count = world.started.len();
    expect_that!(run_count, gt(6));
    // An upstream that does not execute an item is in cooldown for a second: each of the two items
    // goes to each of the two upstreams at most once a second.
    expect_that!(run_count, le(2 * 2 * 21));
    world.run_without_faults(5 * SECOND);
    world.check_end();
    expect_that!(world.store.job().failed, eq(0));
}

/// A lower limit pauses the newest runs of that upstream, and a higher one resumes them first.
#[gtest]
fn lower_limit_pauses_newest_runs() {
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

/// A chunk without streams for longer than the idle timeout is returned, and another daemon
/// continues.
#[gtest]
fn unused_chunks_are_returned() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(16, 16);
    world.run(SECOND, |run| (run.item < 3).then_some(Outcome::Answered(8)));
    world.limit(0, 0);
    world.run(20 * SECOND, answered);
    let states: Vec<_> = world.store.chunks().values().map(|chunk| chunk.state).collect();
    expect_that!(states, eq(&vec![ChunkState::Done, ChunkState::Returned]));
    world.limit(1, 4);
    world.run_without_faults(5 * SECOND);
    world.check_end();
}

/// A holder that was paused past the end of its lease starts no item before it has verified its
/// chunks.
#[gtest]
fn holder_paused_past_lease() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    expect_that!(world.process(0).dispatch.held_count(), eq(1));
    world.process(0).paused = true;
    world.limit(1, 4);
    // The other daemon observes that the lease is not renewed, and takes over.
    world.run(20 * SECOND, |run| {
        run.upstream.starts_with("runner-1").then_some(Outcome::Answered(8))
    });
    expect_that!(world.store.job().state, eq(State::Completed));
    let started = world.started.len();
    world.process(0).paused = false;
    // A run from before the pause ends, and time passes. `World::input` asserts that no item starts
    // before the lease is renewed.
    world.end(0, 0, Outcome::Answered(8));
    world.run_without_faults(5 * SECOND);
    expect_that!(world.process(0).dispatch.held_count(), eq(0));
    expect_that!(world.process(0).runs.len(), eq(0));
    expect_that!(world.started.len(), eq(started));
    world.check_end();
}

/// A holder that was paused for less than lease and margin keeps its chunk.
#[gtest]
fn holder_paused_within_lease() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    world.process(0).paused = true;
    world.limit(1, 4);
    world.run(12 * SECOND, answered);
    world.process(0).paused = false;
    world.run_without_faults(5 * SECOND);
    world.check_end();
    let chunk = &world.store.chunks()[&0];
    expect_that!((chunk.holder.as_str(), chunk.fence), eq(("entry-0", 1)));
}

/// A holder whose renewal is written before the takeover of another daemon keeps its chunk.
#[gtest]
fn renewal_prevents_takeover() {
    let mut world = World::new(2);
    world.limit(1, 0);
    world.store.add_job(8, 8);
    world.run(SECOND, |_| None);
    world.process(0).paused = true;
    world.limit(1, 4);
    // Position of a takeover that was sent but has not been applied to the table.
    let takeover = |world: &mut World| {
        world.process(1).pending.iter().position(|call| {
            matches!(call, support::PendingCall::Call(_, cyclamengrade_control::store::Call::Commit(transaction), _)
                if transaction.writes.keys().any(|key| key.starts_with("chunk/")))
        })
    };
    let mut steps = 0;
    while takeover(&mut world).is_none() {
        world.deliver(1, 0, CallOutcome::Answered);
        world.advance(Duration::from_millis(50));
        steps += 1;
        assert!(steps < 2_000, "no takeover was sent within 2000 steps");
    }
    world.process(0).paused = false;
    world.advance(Duration::from_millis(50));
    world.deliver_all(0);
    world.run_without_faults(5 * SECOND);
    world.check_end();
    let chunk = &world.store.chunks()[&0];
    expect_that!((chunk.holder.as_str(), chunk.fence), eq(("entry-0", 1)));
}

/// A job within the urgent window goes first; otherwise clients share by weight, not by number of
/// jobs.
#[gtest]
fn due_time_and_weights_order_jobs() {
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
    // While both clients have work, the one with a weight of 3 gets three times as many items.
    let share = tessiture as f64 / himal as f64;
    expect_that!(share, ge(2.4).and(le(3.6)), "himal {himal}, tessiture {tessiture}");
    world.store.add("urgent", "himal", 600_000, 4, 4);
    let before = world.started.len();
    world.run(2 * SECOND, answered);
    let place = world.started[before..].iter().position(|(job, _)| job == "urgent");
    // Items that are already held, and those claimed until the next poll, come first.
    expect_that!(place, some(le(80)));
    let job: Job = world.store.row(&job_key("urgent")).unwrap();
    expect_that!(job.state, eq(State::Completed));
}

/// When results cannot be committed, no item starts beyond the bound on uncommitted results.
#[gtest]
fn uncommitted_results_are_bounded() {
    let mut world = World::new(1);
    world.store.add_job(64, 64);
    // The bound is 1 MiB, and each answer has half a MiB.
    world.run(SECOND, |_| None);
    for _ in 0..60 {
        world.end(0, 0, Outcome::Answered(1 << 19));
    }
    expect_that!(world.process(0).dispatch.result_bytes(), le(5 << 19));
    expect_that!(world.process(0).dispatch.running_count(), eq(0));
}

/// While the table is down, held items continue and no chunk is claimed.
#[gtest]
fn table_down() {
    let mut world = World::new(1);
    world.store.add_job(64, 16);
    world.run(Duration::from_millis(500), |_| None);
    expect_that!(world.process(0).dispatch.held_count(), eq(1));
    for _ in 0..300 {
        while !world.process(0).pending.is_empty() {
            world.deliver(0, 0, CallOutcome::Refused);
        }
        world.end(0, 0, Outcome::Answered(8));
        world.advance(Duration::from_millis(100));
    }
    expect_that!(world.started.len(), eq(16));
    expect_that!(world.process(0).dispatch.running_count(), eq(0));
    world.run_without_faults(10 * SECOND);
    world.check_end();
    expect_that!(world.started.len(), eq(64));
}

/// Daemons without work and without takeover candidates read at a constant rate.
#[gtest]
fn idle_daemons_read_at_constant_rate() {
    let mut world = World::new(3);
    world.run_without_faults(5 * SECOND);
    let (reads, writes) = (world.store.reads, world.store.writes);
    world.run_without_faults(30 * SECOND);
    // Each daemon reads one page per second and writes its lease renewals.
    expect_that!(world.store.reads - reads, le(3 * 31));
    expect_that!(world.store.writes - writes, le(3 * 11));
}

/// Many daemons that get streams at the same moment must not exhaust the write capacity of the
/// table, several hundred writes per second, with conflicts.
#[gtest]
fn many_daemons_stay_within_write_capacity() {
    const DAEMONS: u32 = 60;
    let mut world = World::new(DAEMONS as usize);
    world.store.add_job(DAEMONS * 16, 16);
    for index in 0..20 {
        world.store.add(&format!("other-{index}"), "himal", 9_000_000_000 + index, 64, 16);
    }
    let start = world.now;
    let mut rounds = 0;
    while world.store.job().state == State::Open {
        // The calls of the daemons interleave: one call of each daemon per round of 10 ms.
        for daemon in 0..DAEMONS as usize {
            world.deliver(daemon, 0, CallOutcome::Answered);
        }
        if rounds % 10 == 0 {
            for daemon in 0..DAEMONS as usize {
                while !world.process(daemon).runs.is_empty() {
                    world.end(daemon, 0, Outcome::Answered(8));
                }
            }
            world.advance(Duration::from_millis(100));
        }
        rounds += 1;
        assert!(rounds < 20_000, "the job has not ended after 20000 rounds");
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
