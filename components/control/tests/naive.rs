//! Tests of the naive policy, which is the baseline of comparisons and must itself be correct.

use std::{net::SocketAddr, sync::Arc};

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{Action, Input, Load, Machine, Outcome, Refusal, Request, RequestId, Settings},
};
use googletest::prelude::*;

fn machine() -> Machine {
    let mut machine = Machine::new(Settings {
        daemon: "vm-1".into(),
        data_centre: "biella".into(),
        seed: 1,
        subset: 64,
        queue: 256,
        retry_share: 0.05,
        naive: true,
    });
    let mut document = Document::default();
    document.deployments.insert("telaio-lm".into(), Deployment::model("telaio", "1"));
    let vms = (0..4)
        .map(|n| Vm {
            name: format!("runner-{n}"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n)),
            data_centre: "biella".into(),
            service: "telaio-lm".into(),
            leaving: n == 3,
        })
        .collect();
    let now = Time::default();
    machine.handle(now, Input::Fleet { vms: Arc::new(vms), document: Arc::new(document) });
    machine.handle(now, Input::Members { names: vec!["vm-1".into()], demand: Vec::new() });
    machine
}

fn request(id: u64, idempotent: bool) -> Input {
    Input::Arrived(Request {
        id: RequestId(id),
        client: "tessiture".into(),
        deployment: "telaio-lm".into(),
        prefix: 0,
        deadline: Some(Time::from_millis(1_000)),
        idempotent,
    })
}

fn upstream_name(machine: &Machine, action: &Action) -> String {
    match action {
        Action::Dispatch(attempt) => machine.fleet().upstreams[attempt.upstream].name.clone(),
        other => format!("{other:?}"),
    }
}

fn ended(action: &Action, outcome: Outcome) -> Input {
    match action {
        Action::Dispatch(attempt) => {
            Input::Ended { attempt: attempt.id, outcome, delivered: false }
        }
        _ => Input::Tick,
    }
}

/// Guards against upstreams that round robin skips, and against requests to a leaving one.
#[gtest]
fn round_robin() {
    let mut machine = machine();
    let mut names = Vec::new();
    for id in 0..6 {
        let actions = machine.handle(Time::default(), request(id, true));
        names.push(upstream_name(&machine, &actions[0]));
    }
    names.sort();
    expect_that!(
        names,
        elements_are![
            eq("runner-0"),
            eq("runner-0"),
            eq("runner-1"),
            eq("runner-1"),
            eq("runner-2"),
            eq("runner-2")
        ]
    );
}

/// Guards against a second run of a request that is not idempotent.
#[gtest]
fn retries_safely() {
    let mut machine = machine();
    let now = Time::default();
    let first = machine.handle(now, request(1, false));
    let second = machine.handle(now, ended(&first[0], Outcome::NotRun));
    let last = machine.handle(now, ended(&second[0], Outcome::Unknown));
    expect_that!(
        last,
        elements_are![matches_pattern!(Action::Refuse {
            refusal: eq(&Refusal::OutcomeUnknown),
            not_run: eq(&false),
            ..
        })]
    );
}

/// Guards against unlimited attempts, and against a refusal without `not_run` for a request that
/// never ran.
#[gtest]
fn stops_retrying() {
    let mut machine = machine();
    let now = Time::default();
    let mut actions = machine.handle(now, request(1, true));
    for _ in 0..3 {
        actions = machine.handle(now, ended(&actions[0], Outcome::NotRun));
    }
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Refuse {
            refusal: eq(&Refusal::GivenUp),
            not_run: eq(&true),
            ..
        })]
    );
}

/// Guards against requests that keep running after their deadline.
#[gtest]
fn expires() {
    let mut machine = machine();
    machine.handle(Time::default(), request(1, true));
    let actions = machine.handle(Time::from_millis(1_000), Input::Tick);
    expect_that!(
        actions,
        elements_are![
            matches_pattern!(Action::Cancel { .. }),
            matches_pattern!(Action::Refuse {
                refusal: eq(&Refusal::Expired),
                not_run: eq(&false),
                ..
            })
        ]
    );
}

/// Guards against batch work that uses more than half of the slots, the fixed limit of this policy.
#[gtest]
fn fixed_batch_limit() {
    let mut machine = machine();
    let load = Load { slots: 8, ready: true, ..Load::default() };
    let actions =
        machine.handle(Time::default(), Input::Load { upstream: "runner-0".into(), load });
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::BatchLimit { streams: eq(&4), .. })]
    );
}
