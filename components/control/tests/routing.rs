//! Tests of upstream selection, retries and silence timeouts.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{
        Action, Attempt, Input, Load, Machine, Outcome, Refusal, Request, RequestId, ServingState,
        Settings,
    },
};
use googletest::prelude::*;

const UPSTREAMS: usize = 10;

struct Fixture {
    machine: Machine,
    now: Time,
    next_request: u64,
}

impl Fixture {
    fn new(subset: usize) -> Self {
        let mut machine = Machine::new(Settings {
            daemon: "vm-1".into(),
            data_centre: "bergamo".into(),
            seed: 1,
            subset,
            queue: 16,
            retry_share: 0.05,
            naive: false,
        });
        let mut document = Document::default();
        document.deployments.insert("lm".into(), Deployment::model("telaio", "1"));
        let vms = (0..UPSTREAMS).map(|n| Vm {
            name: format!("runner-{n}"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            data_centre: "bergamo".into(),
            service: "lm".into(),
            leaving: false,
        });
        let now = Time::from_millis(1_000);
        let vms = Arc::new(vms.collect());
        machine.handle(now, Input::Fleet { vms, document: Arc::new(document) });
        machine.handle(now, Input::Members { names: vec!["vm-1".into()], demand: Vec::new() });
        let mut fixture = Self { machine, now, next_request: 0 };
        for n in 0..UPSTREAMS {
            fixture.report(&format!("runner-{n}"), 0);
        }
        fixture
    }

    fn report(&mut self, upstream: &str, running: u32) {
        let load = Load { running, slots: 8, ready: true, ..Load::default() };
        self.handle(Input::Load { upstream: upstream.into(), load });
    }

    fn handle(&mut self, input: Input) -> Vec<Action> {
        self.machine.handle(self.now, input)
    }

    fn arrive(&mut self, prefix: u64) -> Option<Attempt> {
        self.next_request += 1;
        let request = Request {
            id: RequestId(self.next_request),
            client: "tessiture".into(),
            deployment: "lm".into(),
            prefix,
            deadline: None,
            idempotent: true,
        };
        dispatch(&self.handle(Input::Arrived(request)))
    }

    fn end(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Action> {
        self.handle(Input::Ended { attempt: attempt.id, outcome, delivered: false })
    }

    /// Serves `count` requests one after the other, each with its first token after `first_ms`.
    fn serve(&mut self, count: usize, first_ms: u64) {
        for _ in 0..count {
            let Some(attempt) = self.arrive(0) else { return };
            self.now = self.now + Duration::from_millis(first_ms);
            self.handle(Input::FirstToken { attempt: attempt.id });
            self.end(&attempt, Outcome::Done);
            self.handle(Input::Tick);
        }
    }

    fn upstream_name(&self, attempt: &Attempt) -> String {
        self.machine.fleet().upstreams[attempt.upstream].name.clone()
    }
}

fn dispatch(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

/// Guards against requests with a common prompt prefix that spread over all upstreams and miss the
/// prefix cache, and against a single upstream that gets all of them although it is loaded above
/// the mean.
#[gtest]
fn prefix_affinity() -> Result<()> {
    let mut fixture = Fixture::new(64);
    let mut names = BTreeSet::new();
    for _ in 0..5 {
        let attempt = fixture.arrive(7).or_fail()?;
        names.insert(fixture.upstream_name(&attempt));
        fixture.end(&attempt, Outcome::Done);
    }
    expect_that!(names.len(), eq(1));
    let owner = names.first().or_fail()?.clone();
    fixture.report(&owner, 6);
    let attempt = fixture.arrive(7).or_fail()?;
    expect_that!(fixture.upstream_name(&attempt), not(eq(&owner)));
    Ok(())
}

/// Guards against announcements of cached prefixes that do not influence the selection.
#[gtest]
fn cache_hint() -> Result<()> {
    let mut fixture = Fixture::new(64);
    for n in 0..UPSTREAMS {
        let upstream = format!("runner-{n}");
        fixture.handle(Input::Cached { upstream: upstream.clone(), prefix: 7 });
        let attempt = fixture.arrive(7).or_fail()?;
        expect_that!(fixture.upstream_name(&attempt), eq(&upstream));
        fixture.end(&attempt, Outcome::Done);
    }
    Ok(())
}

/// Guards against a daemon that sends online requests to every upstream of a large deployment.
#[gtest]
fn uses_subset() {
    let mut fixture = Fixture::new(3);
    let mut names = BTreeSet::new();
    for _ in 0..50 {
        if let Some(attempt) = fixture.arrive(0) {
            names.insert(fixture.upstream_name(&attempt));
            fixture.end(&attempt, Outcome::Done);
        }
    }
    expect_that!(names.len(), eq(3));
    expect_that!(
        fixture.machine.monitored_upstreams().len(),
        eq(UPSTREAMS),
        "batch work needs the load reports of all upstreams"
    );
}

/// Guards against retries that multiply the load of an overloaded deployment.
#[gtest]
fn retry_budget() {
    let mut fixture = Fixture::new(64);
    fixture.serve(100, 20);
    let mut retries = 0;
    for _ in 0..100 {
        let Some(mut attempt) = fixture.arrive(0) else { continue };
        while let Some(again) = dispatch(&fixture.end(&attempt, Outcome::Failed)) {
            retries += 1;
            attempt = again;
        }
    }
    // The budget is 5% of 100 successes, plus the initial two attempts.
    expect_that!(retries, all![ge(1), le(7)]);
}

/// Guards against a stream that waits forever on a silent connection: it is resumed after the first
/// silence timeout, and retried at another upstream after the second.
#[gtest]
fn retry_after_two_silences() -> Result<()> {
    let mut fixture = Fixture::new(64);
    let attempt = fixture.arrive(0).or_fail()?;
    expect_that!(attempt.silence_timeout, le(Duration::from_secs(30)));
    let first = fixture.handle(Input::Silent { attempt: attempt.id });
    expect_that!(first, is_empty(), "the stream is resumed on a fresh connection");
    let second = fixture.handle(Input::Silent { attempt: attempt.id });
    expect_that!(
        second,
        contains(matches_pattern!(Action::Cancel { attempt: eq(&attempt.id), .. }))
    );
    let again = dispatch(&second).or_fail()?;
    expect_that!(again.upstream, not(eq(attempt.upstream)));
    Ok(())
}

/// Guards against an unreachable upstream that keeps receiving its share of the requests, and
/// against one that is not readmitted after it recovers.
#[gtest]
fn unreachable_returns() -> Result<()> {
    let mut fixture = Fixture::new(64);
    fixture.serve(200, 20);
    let unreachable = |fixture: &Fixture| {
        let entries = fixture.machine.upstream_status();
        entries.iter().filter(|entry| entry.state == ServingState::Unreachable).count()
    };
    for _ in 0..200 {
        if unreachable(&fixture) > 0 {
            break;
        }
        fixture.now = fixture.now + Duration::from_millis(200);
        let attempt = fixture.arrive(0).or_fail()?;
        let outcome = if fixture.upstream_name(&attempt) == "runner-4" {
            Outcome::NotRun
        } else {
            Outcome::Done
        };
        if let Some(again) = dispatch(&fixture.end(&attempt, outcome)) {
            fixture.end(&again, Outcome::Done);
        }
    }
    expect_that!(unreachable(&fixture), eq(1));
    for _ in 0..200 {
        fixture.now = fixture.now + Duration::from_millis(500);
        fixture.serve(1, 20);
    }
    expect_that!(unreachable(&fixture), eq(0));
    Ok(())
}

/// Guards against a refusal with `not_run` set for a request whose outcome is unknown.
#[gtest]
fn unknown_outcome() -> Result<()> {
    let mut fixture = Fixture::new(64);
    let request = Request {
        id: RequestId(9_000),
        client: "tessiture".into(),
        deployment: "lm".into(),
        prefix: 0,
        deadline: None,
        idempotent: false,
    };
    let attempt = dispatch(&fixture.handle(Input::Arrived(request))).or_fail()?;
    expect_that!(
        fixture.end(&attempt, Outcome::Unknown),
        contains(matches_pattern!(Action::Refuse {
            refusal: eq(&Refusal::OutcomeUnknown),
            not_run: eq(&false),
            ..
        }))
    );
    Ok(())
}
