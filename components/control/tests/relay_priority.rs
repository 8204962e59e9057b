//! Tests of the priority of batch items, the limits on attempts and failures, and the choice of
//! routes.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{
    failure::{Attempts, Failure},
    job::{FinalState, Progress, RunFailure},
    priority::{Estimate, Priority},
    quota::Quota,
    route::{Deployment, Kind, Limits, Route, Table, Target},
};
use googletest::prelude::*;

/// Returns how many items one slot completes in time when it runs them in order of priority. An item
/// is a pair of its due time and the time that it needs. `priority` gets the current time and both.
fn in_time(items: &[(u64, u64)], priority: impl Fn(u64, u64, u64) -> Priority) -> usize {
    let mut waiting = items.to_vec();
    let (mut now, mut done) = (0, 0);
    while let Some(index) =
        (0..waiting.len()).min_by_key(|index| priority(now, waiting[*index].0, waiting[*index].1))
    {
        let (due, need) = waiting.swap_remove(index);
        now += need;
        done += usize::from(now <= due);
    }
    done
}

/// Guards against finishing nearly all batch items a little late when not all of them can be in
/// time, as ordering by due time alone does.
#[gtest]
fn overload() -> Result<()> {
    let items: Vec<(u64, u64)> = (0..30).map(|item| (5_000 + item * 500, 1_000)).collect();
    let by_priority =
        in_time(&items, |now, due, need| Priority::new(now, due, Duration::from_millis(need)));
    let by_due_time = in_time(&items, |_, due, _| Priority::new(0, due, Duration::ZERO));
    expect_that!(by_due_time, le(12));
    verify_that!(by_priority, ge(by_due_time + 6))
}

/// Guards against an estimate that ignores the events that an item has already produced.
#[gtest]
fn remaining_time() {
    let mut estimate = Estimate::default();
    for _ in 0..200 {
        estimate.record_completed(100);
        estimate.record_run(100, Duration::from_secs(2));
    }
    let whole = estimate.remaining(0).as_millis();
    expect_that!(whole, ge(1_900).and(le(2_100)));
    expect_that!(estimate.remaining(75).as_millis(), le(550));
    expect_that!(estimate.remaining(500), eq(Duration::ZERO));
}

fn route(kind: Kind, resumable: bool, attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "Host.example".into(),
        path_prefix: "/a/".into(),
        kind,
        public: false,
        priority: 0,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(300),
        gap_objective: Duration::from_millis(400),
        max_attempts: attempts,
        quota: Quota::default(),
        resumable,
        completion_target: Duration::ZERO,
        retention: Duration::ZERO,
        targets: vec![Target { deployment: "chat".into(), weight: 1 }],
    }
}

/// Guards against a second run of a request that may run at most once, and against an answer that
/// claims that such a request did not run although it may have.
#[gtest]
fn at_most_once() {
    for route in [route(Kind::Unsafe, false, 5), route(Kind::Stream, false, 5)] {
        for failure in [Failure::Broken, Failure::Silent] {
            let mut counts = Attempts::default();
            counts.record_failure(failure);
            expect_that!(counts.allows_attempt(&route), eq(false), "{failure:?}");
            expect_that!(counts.is_not_run(), eq(false), "{failure:?}");
        }
        let mut counts = Attempts::default();
        counts.record_failure(Failure::NotRun);
        expect_that!(counts.allows_attempt(&route), eq(true));
        expect_that!(counts.is_not_run(), eq(true));
    }
}

/// Guards against more attempts for one request than its route allows.
#[gtest]
fn bounded_attempts() {
    let route = route(Kind::Safe, false, 2);
    let mut counts = Attempts::default();
    counts.record_failure(Failure::Broken);
    expect_that!(counts.allows_attempt(&route), eq(true));
    counts.record_failure(Failure::Misdirected);
    counts.record_failure(Failure::Silent);
    expect_that!(counts.allows_attempt(&route), eq(false));
    let mut refused = Attempts::default();
    for _ in 0..3 {
        refused.record_failure(Failure::NotRun);
    }
    expect_that!(refused.allows_attempt(&route), eq(false));
}

/// Guards against an item that is abandoned before its failure limit or run beyond it, also when
/// failures were counted by an earlier owner.
#[gtest]
fn bounded_failures() {
    let mut progress = Progress::new(2, 3).with_failures(0, 1);
    expect_that!(progress.record_failure(0, RunFailure::Interrupted), none());
    expect_that!(progress.record_failure(0, RunFailure::Failed), none());
    expect_that!(progress.record_failure(0, RunFailure::Failed), some(eq(FinalState::Abandoned)));
    expect_that!(
        progress.record_failure(1, RunFailure::Impossible),
        some(eq(FinalState::Abandoned))
    );
    expect_that!(progress.is_done(), eq(true));
}

/// Guards against the selection of the shorter prefix when two routes match a path.
#[gtest]
fn longest_prefix() {
    let long =
        Route { path_prefix: "/a/b/".into(), name: "long".into(), ..route(Kind::Safe, false, 1) };
    let routes = vec![route(Kind::Safe, false, 1), long];
    let table = Table::new(1, routes, BTreeMap::<String, Deployment>::new(), Limits::default());
    let name = |path| table.find("host.example:80", path).map(|route| route.name.as_str());
    expect_that!(name("/a/b/c"), some(eq("long")));
    expect_that!(name("/a/c"), some(eq("r")));
    expect_that!(name("/b/"), none());
    expect_that!(table.find("other.example", "/a/").is_none(), eq(true));
}

/// Guards against a traffic split that ignores its weights.
#[gtest]
fn weighted_split() {
    let split = Route {
        targets: vec![
            Target { deployment: "new".into(), weight: 10 },
            Target { deployment: "old".into(), weight: 90 },
        ],
        ..route(Kind::Safe, false, 1)
    };
    let new = (0..1_000).filter(|step| split.deployment(f64::from(*step) / 1_000.0) == Some("new"));
    expect_that!(new.count(), eq(100));
}
