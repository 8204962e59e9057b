//! Guards against items of batch jobs that are lost, run again or returned out of order, also when
//! the platform, an upstream or a daemon fails.

mod durable;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cyclamengrade_caller::{
    Kind,
    backend::{JobState, Results},
};
use cyclamengrade_control::traffic::Input;
use cyclamengrade_daemon::batch::{Dispatcher, Outcome};
use cyclamengrade_platform::Objects;
use durable::{CLIENT, Platform, Scripted, Step, answer, eventually, texts};
use googletest::prelude::*;

/// Every item must run once, within the limit of streams, and the results must be in order of the
/// items.
#[gtest]
#[tokio::test]
async fn whole_job() {
    // The job has more chunks than one call reads when the results are streamed.
    let platform = Platform::new();
    let runner = Scripted::immediate();
    let _daemon = platform.daemon("entry-0", runner.clone(), 5).await;
    let job = platform.submit("k", 600).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.items, job.succeeded, job.failed), eq((600, 600, 0)));
    let results = platform.results(&job.id).await;
    let expected: Vec<_> = (0..600).map(|index| format!("item-{index}")).collect();
    let ids: Vec<_> = results.iter().map(|result| result.id.clone()).collect();
    expect_that!(ids, eq(&expected));
    for result in &results {
        expect_that!(result.text, some(eq(&answer(&result.id, 2))));
    }
    expect_that!(runner.calls.lock().unwrap().len(), eq(600));
    expect_that!(runner.max_open.load(Ordering::SeqCst), le(5));
}

/// The reply to each transaction in turn is lost after it has taken effect, and with every second
/// one also the reply to an object write. The job must still complete with each item's result.
#[gtest]
#[tokio::test]
async fn lost_replies() {
    let mut number = 0;
    loop {
        let platform = Platform::new();
        platform.table.lose_reply(number);
        platform.objects.faults().set_lose_replies(u64::from(number % 2 == 1));
        let _daemon = platform.daemon("entry-0", Scripted::immediate(), 3).await;
        let job = platform.submit("k", 20).await;
        let job = platform.wait_for_state(&job.id, JobState::Completed).await;
        expect_that!((job.succeeded, job.failed), eq((20, 0)), "lost reply {number}");
        expect_that!(platform.results(&job.id).await, len(eq(20)), "lost reply {number}");
        number += 1;
        if number >= platform.table.commits() {
            break;
        }
    }
    // One commit accepts the job; each of its three chunks is claimed and committed.
    expect_that!(number, ge(7));
}

/// An item that always fails must not prevent the other items from completing. A rejected item must
/// not be retried.
#[gtest]
#[tokio::test]
async fn failing_item() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| {
        let outcome = match call.prompt.as_str() {
            "item-3" => Outcome::Failed("connection closed".to_owned()),
            "item-5" => Outcome::Rejected("the prompt is too long".into()),
            _ => Outcome::Done,
        };
        vec![Step::Tokens(1), Step::End(outcome)]
    });
    let _daemon = platform.daemon("entry-0", runner.clone(), 4).await;
    let job = platform.submit("k", 10).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((8, 2)));
    expect_that!(runner.calls_for("item-3"), len(eq(3)));
    expect_that!(runner.calls_for("item-5"), len(eq(1)));
    let results = platform.results(&job.id).await;
    expect_that!(results[3].error, some(contains_substring("every attempt failed")));
    expect_that!(results[5].error, some(contains_substring("too long")));
}

/// A lower limit must stop streams immediately, and a resumed item must keep the text received so
/// far.
#[gtest]
#[tokio::test]
async fn pause_and_resume() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| match call.resume_from {
        0 => vec![Step::Tokens(3), Step::Hang],
        _ => vec![Step::Tokens(2), Step::End(Outcome::Done)],
    });
    let daemon = platform.daemon("entry-0", runner.clone(), 4).await;
    let job = platform.submit("k", 4).await;
    eventually(async || (runner.open() == 4).then_some(())).await;
    daemon.set_limit(1).await;
    eventually(async || (runner.open() == 1).then_some(())).await;
    daemon.set_limit(0).await;
    eventually(async || (runner.open() == 0).then_some(())).await;
    daemon.set_limit(4).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    let results = platform.results(&job.id).await;
    for result in &results {
        expect_that!(result.text, some(eq(&answer(&result.id, 5))));
    }
    expect_that!(results, len(eq(4)));
    expect_that!(runner.calls.lock().unwrap().len(), eq(8));
    expect_that!(job.failed, eq(0));
}

/// Guards against an item that is sent again, and fails, after its run was stopped between the last
/// token and the report that it has ended.
#[gtest]
#[tokio::test]
async fn stopped_at_end() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| match call.prompt.as_str() {
        _ if call.resume_from > 0 => vec![Step::End(Outcome::Failed("no last chunk".to_owned()))],
        "item-0" => vec![Step::LastTokens(2), Step::Hang],
        _ => vec![Step::Tokens(call.max_tokens), Step::Hang],
    });
    let daemon = platform.daemon("entry-0", runner.clone(), 2).await;
    let job = platform.submit("k", 2).await;
    eventually(async || (runner.open() == 2).then_some(())).await;
    daemon.set_limit(0).await;
    eventually(async || (runner.open() == 0).then_some(())).await;
    daemon.set_limit(2).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((2, 0)));
    expect_that!(runner.calls.lock().unwrap().len(), eq(2));
    let results = platform.results(&job.id).await;
    let max_tokens = runner.calls_for("item-1")[0].max_tokens;
    let (early, full) = (answer("item-0", 2), answer("item-1", max_tokens));
    expect_that!(texts(&results)["item-0"], some(eq(early.as_str())));
    expect_that!(texts(&results)["item-1"], some(eq(full.as_str())));
}

/// Guards against an item that ends one upstream after the other without being charged, because
/// its runs are stopped at the moment of the crash.
#[gtest]
#[tokio::test]
async fn stopped_at_crash() {
    let platform = Platform::new();
    let starts = AtomicU64::new(0);
    let runner = Scripted::new(move |_| match starts.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => vec![Step::Hang],
        _ => vec![Step::End(Outcome::Interrupted("connection closed".to_owned()))],
    });
    runner.crashed.store(true, Ordering::SeqCst);
    let daemon = platform.daemon("entry-0", runner.clone(), 1).await;
    let job = platform.submit("k", 1).await;
    for runs in 1..=2 {
        eventually(async || (runner.calls_for("item-0").len() == runs).then_some(())).await;
        daemon.set_limit(0).await;
        eventually(async || (runner.open() == 0).then_some(())).await;
        daemon.set_limit(1).await;
    }
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((0, 1)));
    expect_that!(runner.calls_for("item-0"), len(eq(3)));
}

/// Guards against the text of an item that is joined from runs at two versions of the model.
#[gtest]
#[tokio::test]
async fn version_of_text() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| match call.version.as_deref() {
        Some("1") => vec![Step::Tokens(3), Step::Hang],
        _ => vec![Step::Tokens(5 - call.resume_from), Step::End(Outcome::Done)],
    });
    let daemon = platform.daemon("entry-0", runner.clone(), 2).await;
    let job = platform.submit("k", 2).await;
    eventually(async || (runner.open() == 2).then_some(())).await;
    daemon.set_limit(0).await;
    eventually(async || (runner.open() == 0).then_some(())).await;
    platform.set_model_version("2");
    daemon.set_limit(2).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    let calls = runner.calls.lock().unwrap();
    let second = calls.iter().filter(|call| call.version.as_deref() == Some("2"));
    let resumed: Vec<u32> = second.map(|call| call.resume_from).collect();
    expect_that!(resumed, elements_are![eq(&0), eq(&0)]);
}

/// A straggler must not delay the results of the other items of its chunk: it is split off without
/// a restart.
#[gtest]
#[tokio::test]
async fn straggler() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| match call.prompt.as_str() {
        "item-2" if call.resume_from == 0 => vec![Step::Tokens(1), Step::Hang],
        _ => vec![Step::Tokens(1), Step::End(Outcome::Done)],
    });
    let daemon = platform.daemon("entry-0", runner.clone(), 4).await;
    let job = platform.submit("k", 8).await;
    let committed = eventually(async || {
        let results = platform.results(&job.id).await;
        (results.len() == 7).then_some(results)
    });
    let committed = committed.await;
    expect_that!(texts(&committed).contains_key("item-2"), is_false());
    expect_that!(runner.calls_for("item-2"), len(eq(1)), "the split restarted the straggler");
    daemon.set_limit(0).await;
    eventually(async || (runner.open() == 0).then_some(())).await;
    daemon.set_limit(4).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    let results = platform.results(&job.id).await;
    let ids: Vec<_> = results.iter().map(|result| result.id.as_str()).collect();
    expect_that!(ids, eq(&(0..8).map(|index| format!("item-{index}")).collect::<Vec<_>>()));
}

/// Results must stay in memory while the platform is down and be committed afterwards, even if the
/// lease has lapsed in the meantime; no item may run again.
#[gtest]
#[tokio::test]
async fn platform_down() {
    let platform = Platform::new();
    let runner = Scripted::new(|_| {
        vec![Step::Tokens(1), Step::Pause(Duration::from_millis(300)), Step::End(Outcome::Done)]
    });
    let _daemon = platform.daemon("entry-0", runner.clone(), 8).await;
    let job = platform.submit("k", 8).await;
    eventually(async || (runner.open() > 0).then_some(())).await;
    platform.table.memory.faults().set_down(true);
    platform.objects.faults().set_down(true);
    eventually(async || (runner.open() == 0).then_some(())).await;
    // The sleep is longer than the lease, which cannot be renewed.
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform.table.memory.faults().set_down(false);
    platform.objects.faults().set_down(false);
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!(job.succeeded, eq(8));
    expect_that!(runner.calls.lock().unwrap().len(), eq(8), "an item ran again");
}

/// A slow platform must not cause items to run again or results to be lost.
#[gtest]
#[tokio::test]
async fn platform_slow() {
    let platform = Platform::new();
    let runner = Scripted::immediate();
    let _daemon = platform.daemon("entry-0", runner.clone(), 8).await;
    platform.table.memory.faults().set_slow(Duration::from_millis(150));
    platform.objects.faults().set_slow(Duration::from_millis(150));
    let job = platform.submit("k", 40).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!(runner.calls.lock().unwrap().len(), eq(40));
    expect_that!(platform.results(&job.id).await, len(eq(40)));
}

/// After a cancellation, the streams of the job must stop within 5 s, and nothing more may be
/// committed.
#[gtest]
#[tokio::test]
async fn cancel() {
    let platform = Platform::new();
    let runner = Scripted::new(|call| match call.prompt.as_str() {
        "item-0" | "item-1" => vec![Step::Tokens(1), Step::Hang],
        _ => vec![Step::Tokens(1), Step::End(Outcome::Done)],
    });
    let _daemon = platform.daemon("entry-0", runner.clone(), 4).await;
    let job = platform.submit("k", 16).await;
    eventually(async || (runner.open() == 2).then_some(())).await;
    eventually(async || (platform.results(&job.id).await.len() >= 8).then_some(())).await;
    let cancelled = platform.jobs().cancel(CLIENT, &job.id).await.unwrap();
    expect_that!(cancelled.state, eq(JobState::Cancelled));
    let start = std::time::Instant::now();
    eventually(async || (runner.open() == 0).then_some(())).await;
    expect_that!(start.elapsed(), lt(Duration::from_secs(5)));
    let rows = platform.table.memory.rows("chunk/");
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_that!(platform.table.memory.rows("chunk/"), eq(&rows));
    let after = platform.jobs().job(CLIENT, &job.id).await.unwrap();
    expect_that!(after, eq(&cancelled));
}

/// A cancellation races with the last commit of the job. The first of them decides the final state,
/// and the other must change nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancel_race() {
    for delay in 0..20 {
        let platform = Platform::new();
        let _daemon = platform.daemon("entry-0", Scripted::immediate(), 8).await;
        let job = platform.submit("k", 16).await;
        tokio::time::sleep(Duration::from_millis(delay * 10)).await;
        let ended = platform.jobs().cancel(CLIENT, &job.id).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let later = platform.jobs().job(CLIENT, &job.id).await.unwrap();
        expect_that!(later, eq(&ended));
        let results = platform.results(&job.id).await.len() as u64;
        expect_that!(results, eq(ended.succeeded));
        if ended.state == JobState::Completed {
            expect_that!(results, eq(16));
        }
    }
}

/// A daemon that shuts down gracefully must return its chunks and release its lease, so that
/// another daemon continues without waiting for the lease to expire.
#[gtest]
#[tokio::test]
async fn drain() {
    let platform = Platform::new();
    let stuck = Scripted::new(|call| match call.prompt.as_str() {
        "item-0" | "item-1" => vec![Step::Tokens(1), Step::Hang],
        _ => vec![Step::Tokens(1), Step::End(Outcome::Done)],
    });
    let first = platform.daemon("entry-0", stuck.clone(), 3).await;
    let job = platform.submit("k", 30).await;
    eventually(async || (stuck.calls.lock().unwrap().len() >= 5).then_some(())).await;
    Dispatcher::drain(&first.dispatcher, Duration::from_millis(300)).await;
    first.lease_renewer.release().await;
    expect_that!(stuck.open(), eq(0));
    expect_that!(first.lease_renewer.state().borrow().released, is_true());
    let held = platform.table.memory.rows("chunk/").into_iter();
    expect_that!(held.filter(|row| row.value["state"] == "held").count(), eq(0));
    let ran = stuck.calls.lock().unwrap().len();
    let runner = Scripted::immediate();
    let _second = platform.daemon("entry-1", runner.clone(), 3).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((30, 0)));
    expect_that!(platform.results(&job.id).await, len(eq(30)));
    // The shutdown commits the results so far, so only the two stuck items run twice.
    expect_that!(ran + runner.calls.lock().unwrap().len(), eq(32));
}

/// The chunks of a daemon that has crashed must be taken over, but not before its lease has
/// expired.
#[gtest]
#[tokio::test]
async fn dead_holder() {
    let platform = Platform::new();
    let stuck = Scripted::new(|_| vec![Step::Tokens(1), Step::Hang]);
    let first = platform.daemon("entry-0", stuck.clone(), 3).await;
    let job = platform.submit("k", 8).await;
    eventually(async || (stuck.open() == 3).then_some(())).await;
    let start = std::time::Instant::now();
    first.kill();
    let _second = platform.daemon("entry-1", Scripted::immediate(), 3).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((8, 0)));
    expect_that!(start.elapsed(), gt(Duration::from_millis(2000)));
}

/// A process with the name of an earlier one has a higher epoch, so it takes over the chunks
/// without waiting for the lease. The earlier process must notice this and stop its streams.
#[gtest]
#[tokio::test]
async fn raised_epoch() {
    let platform = Platform::new();
    let stuck = Scripted::new(|_| vec![Step::Tokens(1), Step::Hang]);
    let first = platform.daemon("entry-0", stuck.clone(), 3).await;
    let job = platform.submit("k", 8).await;
    eventually(async || (stuck.open() == 3).then_some(())).await;
    let first_lease = first.lease_renewer.state();
    let second = platform.daemon("entry-0", Scripted::immediate(), 3).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!(job.succeeded, eq(8));
    eventually(async || first_lease.borrow().superseded.then_some(())).await;
    eventually(async || (stuck.open() == 0).then_some(())).await;
    expect_that!(second.lease_renewer.state().borrow().epoch, some(eq(2)));
}

/// A chunk must cost as many store calls as the design assumes: two table writes, for its claim and
/// its commit, and one object write.
#[gtest]
#[tokio::test]
async fn store_cost() {
    let platform = Platform::new();
    let jobs = platform.jobs_with_chunks(64);
    let job = jobs.submit(durable::submission("k", 1000)).await.unwrap();
    let before = (platform.table.commits(), platform.table.memory.counts());
    let objects = platform.objects.counts();
    let _daemon = platform.daemon("entry-0", Scripted::immediate(), 64).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    let chunks = 16; // 1000 items in chunks of 64
    let writes = platform.table.commits() - before.0;
    let reads = platform.table.memory.counts().reads - before.1.reads;
    let (puts, gets) = {
        let now = platform.objects.counts();
        (now.writes - objects.writes, now.reads - objects.reads)
    };
    // The reads include those by which the test polls the state of the job.
    println!("1000 items in {chunks} chunks: {writes} table writes, {reads} table reads");
    println!("{puts} object writes, {gets} object reads");
    expect_that!(writes, eq(2 * chunks));
    expect_that!(i64::try_from(puts).unwrap(), eq(chunks));
}

/// A cancellation whose reply is lost must be recognised as successful.
#[gtest]
#[tokio::test]
async fn cancel_lost_reply() {
    let platform = Platform::new();
    let job = platform.submit("k", 16).await;
    platform.table.lose_reply(platform.table.commits());
    let cancelled = platform.jobs().cancel(CLIENT, &job.id).await.unwrap();
    expect_that!(cancelled.state, eq(JobState::Cancelled));
    expect_that!(platform.table.memory.rows("open/"), is_empty());
}

/// A cancellation while the table is down must be refused as not run, and the job must continue.
#[gtest]
#[tokio::test]
async fn cancel_table_down() {
    let platform = Platform::new();
    let job = platform.submit("k", 16).await;
    platform.table.memory.faults().set_down(true);
    let failure = platform.jobs().cancel(CLIENT, &job.id).await.unwrap_err();
    expect_that!((failure.kind, failure.not_run), eq((Kind::Unavailable, true)));
    platform.table.memory.faults().set_down(false);
    let _daemon = platform.daemon("entry-0", Scripted::immediate(), 8).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
}

/// When two daemons share a job, no item may run twice, and each run must be reported to the state
/// machine of online traffic when it starts and when it ends.
#[gtest]
#[tokio::test]
async fn two_daemons() {
    let platform = Platform::new();
    let runner = Scripted::new(|_| {
        vec![Step::Tokens(1), Step::Pause(Duration::from_millis(100)), Step::End(Outcome::Done)]
    });
    let daemons = [
        platform.daemon("entry-0", runner.clone(), 8).await,
        platform.daemon("entry-1", runner.clone(), 8).await,
    ];
    let job = platform.submit("k", 240).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!(runner.calls.lock().unwrap().len(), eq(240));
    expect_that!(platform.results(&job.id).await, len(eq(240)));
    for daemon in &daemons {
        let notices = daemon.notices.lock().unwrap();
        let started = |notice: &&Input| matches!(notice, Input::BatchStarted { .. });
        let started = notices.iter().filter(started).count();
        expect_that!(started, gt(0));
        expect_that!(notices.len(), eq(2 * started));
    }
}

/// A panic of the runner must be charged to its item as a failed attempt, and the daemon must
/// continue.
#[gtest]
#[tokio::test]
async fn panicking_runner() {
    let platform = Platform::new();
    // A script without a final step panics.
    let runner = Scripted::new(|call| match call.prompt.as_str() {
        "item-1" => vec![],
        _ => vec![Step::Tokens(1), Step::End(Outcome::Done)],
    });
    let _daemon = platform.daemon("entry-0", runner.clone(), 4).await;
    let job = platform.submit("k", 4).await;
    let job = platform.wait_for_state(&job.id, JobState::Completed).await;
    expect_that!((job.succeeded, job.failed), eq((3, 1)));
}

/// Guards against results that look complete although a part of a result object is missing.
#[gtest]
#[tokio::test]
async fn cut_results() {
    let platform = Platform::new();
    let _daemon = platform.daemon("entry-0", Scripted::immediate(), 4).await;
    let job = platform.submit("k", 8).await;
    platform.wait_for_state(&job.id, JobState::Completed).await;
    let objects = &platform.objects;
    for key in objects.keys() {
        let content = objects.get(key.clone()).await.unwrap().unwrap();
        if content.windows(6).any(|window| window == b"\"text\"") {
            objects.delete(key.clone()).await.unwrap();
            objects.put_new(key, content.slice(..content.len() / 2)).await.unwrap();
        }
    }
    let mut results = platform.jobs().results(CLIENT, &job.id).await.unwrap();
    let mut last = None;
    while let Some(message) = results.recv().await {
        last = Some(message);
    }
    expect_that!(last, some(matches_pattern!(Results::Failed(_))));
}
