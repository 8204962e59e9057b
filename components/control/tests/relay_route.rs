//! Tests of the routes of batch jobs.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::{
    quota::Quota,
    route::{Kind, Limits, Route, Table, Target},
};
use googletest::prelude::*;

fn route(path_prefix: &str, kind: Kind) -> Route {
    Route {
        name: path_prefix.into(),
        host: "calls.example".into(),
        path_prefix: path_prefix.into(),
        kind,
        public: false,
        priority: 0,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_secs(1),
        gap_objective: Duration::ZERO,
        max_attempts: 2,
        resumable: false,
        completion_target: Duration::from_secs(18),
        retention: Duration::from_secs(60),
        quota: Quota::default(),
        targets: vec![Target { deployment: "model".into(), weight: 1 }],
    }
}

/// Guards against items that run at the deployment of a route of another kind, or are given up, because
/// that route has a longer prefix of the path of their job.
#[gtest]
fn shadowed_route() {
    let routes = vec![
        route("/batch/", Kind::Batch),
        route("/batch/a/", Kind::Safe),
        route("/batch/b/", Kind::Batch),
    ];
    let table = Table::new(7, routes, BTreeMap::new(), Limits::default());
    let name = |path| table.find_batch("calls.example:80", path).map(|route| route.name.as_str());
    expect_that!(name("/batch/a/job"), some(eq("/batch/")));
    expect_that!(name("/batch/b/job"), some(eq("/batch/b/")));
    expect_that!(name("/other/job"), none());
}
