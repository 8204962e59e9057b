//! The order of batch items, and the bounds of attempts.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{
    failure::{AttemptCounts, Failure},
    job::{FinalState, Progress, RunFailure},
    priority::{DurationEstimate, Priority},
    route::{Deployment, Kind, Limits, Route, RouteTable, Target},
};
use googletest::prelude::*;

/// Items that one slot completes in time, in the given order of urgency. Each needs `need` and is
/// due after `due`.
fn in_time(items: &[(u64, u64)], urgency: impl Fn(u64, u64, u64) -> Priority) -> usize {
    let mut waiting = items.to_vec();
    let (mut now, mut done) = (0, 0);
    while let Some(index) =
        (0..waiting.len()).min_by_key(|index| urgency(now, waiting[*index].0, waiting[*index].1))
    {
        let (due, need) = waiting.swap_remove(index);
        now += need;
        done += usize::from(now <= due);
    }
    done
}

/// Pattern: more batch items than can be in time. Guards against a fleet that makes nearly all of
/// them late by a little, as the plain order of due times does.
#[gtest]
fn overload() -> Result<()> {
    let items: Vec<(u64, u64)> = (0..30).map(|item| (5_000 + item * 500, 1_000)).collect();
    let feasible =
        in_time(&items, |now, due, need| Priority::new(now, due, Duration::from_millis(need)));
    let naive = in_time(&items, |_, due, _| Priority::new(0, due, Duration::ZERO));
    expect_that!(naive, le(12));
    verify_that!(feasible, ge(naive + 6))
}

/// Guards against an estimate that ignores what an item has produced already.
#[gtest]
fn remaining_time() {
    let mut pace = DurationEstimate::default();
    for _ in 0..200 {
        pace.record_completed(100);
        pace.record_run(100, Duration::from_secs(2));
    }
    let whole = pace.remaining(0).as_millis();
    expect_that!(whole, ge(1_900).and(le(2_100)));
    expect_that!(pace.remaining(75).as_millis(), le(550));
    expect_that!(pace.remaining(500), eq(Duration::ZERO));
}

fn route(kind: Kind, resumable: bool, attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "Host.example".into(),
        path_prefix: "/a/".into(),
        kind,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(300),
        gap_objective: Duration::from_millis(400),
        max_attempts: attempts,
        resumable,
        completion_target: Duration::ZERO,
        retention: Duration::ZERO,
        targets: vec![Target { deployment: "chat".into(), weight: 1 }],
    }
}

/// Guards against a second run of what may run once, and against a refusal that claims that
/// something did not run.
#[gtest]
fn at_most_once() {
    for route in [route(Kind::Unsafe, false, 5), route(Kind::Stream, false, 5)] {
        for failure in [Failure::Broken, Failure::Silent] {
            let mut spent = AttemptCounts::default();
            spent.record_failure(failure);
            expect_that!(spent.allows_attempt(&route), eq(false), "{failure:?}");
            expect_that!(spent.is_not_run(), eq(false), "{failure:?}");
        }
        let mut spent = AttemptCounts::default();
        spent.record_failure(Failure::NotRun);
        expect_that!(spent.allows_attempt(&route), eq(true));
        expect_that!(spent.is_not_run(), eq(true));
    }
}

/// Guards against more upstreams for one request than its route allows.
#[gtest]
fn bounded_attempts() {
    let route = route(Kind::Safe, false, 2);
    let mut spent = AttemptCounts::default();
    spent.record_failure(Failure::Broken);
    expect_that!(spent.allows_attempt(&route), eq(true));
    spent.record_failure(Failure::Misdirected);
    spent.record_failure(Failure::Silent);
    expect_that!(spent.allows_attempt(&route), eq(false));
    let mut refused = AttemptCounts::default();
    for _ in 0..3 {
        refused.record_failure(Failure::NotRun);
    }
    expect_that!(refused.allows_attempt(&route), eq(false));
}

/// Guards against an item that is given up before its bound, or tried beyond it, also over owners.
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

/// Guards against the wrong one of two routes whose prefixes both begin a path.
#[gtest]
fn longest_prefix() {
    let long =
        Route { path_prefix: "/a/b/".into(), name: "long".into(), ..route(Kind::Safe, false, 1) };
    let routes = vec![route(Kind::Safe, false, 1), long];
    let table =
        RouteTable::new(1, routes, BTreeMap::<String, Deployment>::new(), Limits::default());
    let name = |path| table.find("host.example:80", path).map(|route| route.name.as_str());
    expect_that!(name("/a/b/c"), some(eq("long")));
    expect_that!(name("/a/c"), some(eq("r")));
    expect_that!(name("/b/"), none());
    expect_that!(table.find("other.example", "/a/").is_none(), eq(true));
}

/// Guards against a split that ignores its weights.
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
