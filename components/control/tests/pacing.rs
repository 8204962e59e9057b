//! Tests of the batch-stream limit at one upstream, and of requests that wait for it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    hash,
    time::Time,
    traffic::{
        Action, Input, Load, Machine, Outcome, Refusal, Request, RequestId, ServingState, Settings,
    },
};
use googletest::prelude::*;

const SLOTS: u32 = 8;

struct Fixture {
    machine: Machine,
    now: Time,
    limit: u32,
    next_request: u64,
}

impl Fixture {
    /// Creates the only daemon, with one idle upstream of eight slots.
    fn new() -> Self {
        let mut machine = Machine::new(Settings {
            daemon: "vm-1".into(),
            data_centre: "ktm-a".into(),
            seed: 1,
            subset: 64,
            queue: 2,
            retry_share: 0.05,
            naive: false,
        });
        let mut document = Document::default();
        document.deployments.insert("lm".into(), Deployment::model("wording", "1"));
        let vm = Vm {
            name: "runner-0".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            data_centre: "ktm-a".into(),
            service: "lm".into(),
            leaving: false,
        };
        let now = Time::from_millis(1_000);
        let fleet = Input::Fleet { vms: Arc::new(vec![vm]), document: Arc::new(document) };
        machine.handle(now, fleet);
        let mut fixture = Self { machine, now, limit: 0, next_request: 0 };
        fixture.handle(Input::Members { names: vec!["vm-1".into()], demand: Vec::new() });
        fixture.report(0, 0);
        fixture
    }

    fn handle(&mut self, input: Input) -> Vec<Action> {
        let actions = self.machine.handle(self.now, input);
        for action in &actions {
            if let Action::BatchLimit { streams, .. } = action {
                self.limit = *streams;
            }
        }
        actions
    }

    fn report(&mut self, running: u32, queued: u32) {
        let load = Load { running, queued, slots: SLOTS, ready: true, ..Load::default() };
        self.handle(Input::Load { upstream: "runner-0".into(), load });
    }

    fn notice(&mut self, in_flight: u32) {
        let (from, upstream) = ("vm-2".into(), "runner-0".into());
        self.handle(Input::OnlineNotice { from, upstream, in_flight });
    }

    fn start_batch(&mut self, count: u32) {
        for _ in 0..count {
            self.handle(Input::BatchStarted { upstream: "runner-0".into() });
        }
    }

    fn arrive(&mut self, deadline_ms: u64) -> Vec<Action> {
        self.next_request += 1;
        let request = Request {
            id: RequestId(self.next_request),
            client: "himal".into(),
            deployment: "lm".into(),
            prefix: 0,
            deadline: Some(self.now + Duration::from_millis(deadline_ms)),
            idempotent: true,
        };
        self.handle(Input::Arrived(request))
    }

    fn tick(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now + Duration::from_millis(ms);
        self.handle(Input::Tick)
    }
}

/// Guards against online requests of this or another daemon that have to wait until batch items
/// end.
#[gtest]
fn online_work_lowers_limit() {
    let mut fixture = Fixture::new();
    fixture.start_batch(SLOTS);
    expect_that!(fixture.limit, eq(SLOTS));
    fixture.notice(3);
    expect_that!(fixture.limit, eq(SLOTS - 3));
    fixture.arrive(1_000);
    expect_that!(fixture.limit, eq(SLOTS - 4));
}

/// Guards against spare slots that stay idle after a burst of online requests.
#[gtest]
fn limit_recovers_after_burst() {
    let mut fixture = Fixture::new();
    fixture.notice(6);
    expect_that!(fixture.limit, le(2));
    fixture.notice(0);
    fixture.tick(100);
    expect_that!(fixture.limit, ge(SLOTS - 1));
}

/// Guards against batch work that keeps slowing down an upstream for which no notice of online work
/// arrives. The limit recovers once latencies meet their targets.
#[gtest]
fn slow_tokens_halve_limit() {
    let mut fixture = Fixture::new();
    fixture.start_batch(SLOTS);
    fixture.handle(Input::BatchEnded {
        upstream: "runner-0".into(),
        outcome: Outcome::Done,
        first_token: None,
        between_tokens: Some(Duration::from_millis(200)),
    });
    expect_that!(fixture.limit, eq(SLOTS / 2));
    for _ in 0..20 {
        fixture.tick(100);
    }
    expect_that!(fixture.limit, eq(SLOTS));
}

/// Guards against items that use up their attempts at an upstream that is down, and against an
/// upstream that gets no batch work after it recovers.
#[gtest]
fn dead_upstream() {
    let mut fixture = Fixture::new();
    fixture.start_batch(2);
    let ended = |outcome| Input::BatchEnded {
        upstream: "runner-0".into(),
        outcome,
        first_token: None,
        between_tokens: None,
    };
    fixture.handle(ended(Outcome::NotRun));
    fixture.handle(ended(Outcome::NotRun));
    expect_that!(fixture.limit, eq(0));
    fixture.tick(1_000);
    expect_that!(fixture.limit, eq(1));
    fixture.start_batch(1);
    fixture.handle(ended(Outcome::Done));
    for _ in 0..20 {
        fixture.tick(100);
    }
    expect_that!(fixture.limit, eq(SLOTS));
}

/// Guards against batch work that takes slots of online work whose notices were lost. Load reports
/// show such work.
#[gtest]
fn unexplained_load() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        fixture.report(5, 0);
    }
    expect_that!(fixture.limit, eq(SLOTS - 5));
    fixture.tick(2_000);
    expect_that!(fixture.limit, eq(SLOTS), "an expired report must not limit batch work");
}

/// Guards against two daemons that dispatch batch work to one upstream after a membership change,
/// and against a new dispatcher that is not notified of ongoing online work.
#[gtest]
fn dispatcher_change() {
    let mut fixture = Fixture::new();
    let other = (2..50)
        .map(|n| format!("vm-{n}"))
        .find(|name| hash::owner(["vm-1", name], "runner-0") == Some(name))
        .unwrap_or_default();
    fixture.arrive(1_000);
    let actions = fixture
        .handle(Input::Members { names: vec!["vm-1".into(), other.clone()], demand: vec![] });
    expect_that!(fixture.limit, eq(0));
    expect_that!(
        actions,
        contains(matches_pattern!(Action::Notify {
            dispatcher: eq(&other),
            in_flight: eq(&1),
            ..
        }))
    );
}

/// Guards against an unbounded queue and against late refusals: requests that find the queue full
/// are refused immediately, and queued requests as soon as their deadline passes.
#[gtest]
fn bounded_queue() {
    let mut fixture = Fixture::new();
    for _ in 0..2 * SLOTS {
        let actions = fixture.arrive(50_000);
        expect_that!(actions, contains(matches_pattern!(Action::Dispatch(_))));
    }
    expect_that!(fixture.arrive(300), not(contains(matches_pattern!(Action::Refuse { .. }))));
    expect_that!(fixture.arrive(50_000), not(contains(matches_pattern!(Action::Refuse { .. }))));
    expect_that!(
        fixture.arrive(50_000),
        contains(matches_pattern!(Action::Refuse {
            refusal: eq(&Refusal::Overloaded),
            not_run: eq(&true),
            ..
        }))
    );
    let refused = fixture.tick(301);
    expect_that!(
        refused,
        contains(matches_pattern!(Action::Refuse {
            refusal: eq(&Refusal::Expired),
            not_run: eq(&true),
            ..
        }))
    );
}

/// Guards against new work for an upstream that reports that it is leaving.
#[gtest]
fn leaving_report() {
    let mut fixture = Fixture::new();
    let load = Load { slots: SLOTS, ready: true, leaving: true, ..Load::default() };
    fixture.handle(Input::Load { upstream: "runner-0".into(), load });
    expect_that!(fixture.limit, eq(0));
    expect_that!(fixture.machine.upstream_status()[0].state, eq(ServingState::Leaving));
    expect_that!(
        fixture.arrive(1_000),
        contains(matches_pattern!(Action::Refuse { refusal: eq(&Refusal::Unavailable), .. }))
    );
}
