//! Choice of upstreams, retries and silent connections.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    time::Time,
    traffic::{
        Action, Attempt, Input, Load, Machine, Outcome, Refusal, Request, RequestId, Settings,
        State,
    },
};
use googletest::prelude::*;

const UPSTREAMS: usize = 10;

struct Fixture {
    machine: Machine,
    now: Time,
    next: u64,
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
        let mut fixture = Self { machine, now, next: 0 };
        for n in 0..UPSTREAMS {
            fixture.report(&format!("runner-{n}"), 0);
        }
        fixture
    }

    fn report(&mut self, upstream: &str, running: u32) {
        let load = Load { running, slots: 8, ready: true, ..Load::default() };
        self.feed(Input::Load { upstream: upstream.into(), load });
    }

    fn feed(&mut self, input: Input) -> Vec<Action> {
        self.machine.handle(self.now, input)
    }

    fn arrive(&mut self, prefix: u64) -> Option<Attempt> {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            client: "tessiture".into(),
            deployment: "lm".into(),
            prefix,
            deadline: None,
            idempotent: true,
        };
        dispatch(&self.feed(Input::Arrived(request)))
    }

    fn end(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Action> {
        self.feed(Input::Ended { attempt: attempt.id, outcome, delivered: false })
    }

    /// Serves requests that get their first token after `first_ms`.
    fn serve(&mut self, count: usize, first_ms: u64) {
        for _ in 0..count {
            let Some(attempt) = self.arrive(0) else { return };
            self.now = self.now + Duration::from_millis(first_ms);
            self.feed(Input::FirstToken { attempt: attempt.id });
            self.end(&attempt, Outcome::Done);
            self.feed(Input::Tick);
        }
    }

    fn name(&self, attempt: &Attempt) -> String {
        self.machine.fleet().upstreams[attempt.upstream].name.clone()
    }
}

fn dispatch(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

/// Guards against prompts that are computed anew at every upstream, and against one upstream that
/// gets all requests with a common prompt.
#[gtest]
fn prefix_affinity() -> Result<()> {
    let mut fixture = Fixture::new(64);
    let mut names = BTreeSet::new();
    for _ in 0..5 {
        let attempt = fixture.arrive(7).or_fail()?;
        names.insert(fixture.name(&attempt));
        fixture.end(&attempt, Outcome::Done);
    }
    expect_that!(names.len(), eq(1));
    let owner = names.first().or_fail()?.clone();
    fixture.report(&owner, 6);
    let attempt = fixture.arrive(7).or_fail()?;
    expect_that!(fixture.name(&attempt), not(eq(&owner)));
    Ok(())
}

/// Guards against cache events that are ignored.
#[gtest]
fn cache_hint() -> Result<()> {
    let mut fixture = Fixture::new(64);
    for n in 0..UPSTREAMS {
        let upstream = format!("runner-{n}");
        fixture.feed(Input::Cached { upstream: upstream.clone(), prefix: 7 });
        let attempt = fixture.arrive(7).or_fail()?;
        expect_that!(fixture.name(&attempt), eq(&upstream));
        fixture.end(&attempt, Outcome::Done);
    }
    Ok(())
}

/// Guards against a daemon that keeps connections to every upstream of a large deployment.
#[gtest]
fn uses_subset() {
    let mut fixture = Fixture::new(3);
    let mut names = BTreeSet::new();
    for _ in 0..50 {
        if let Some(attempt) = fixture.arrive(0) {
            names.insert(fixture.name(&attempt));
            fixture.end(&attempt, Outcome::Done);
        }
    }
    expect_that!(names.len(), eq(3));
    expect_that!(fixture.machine.watched().len(), eq(UPSTREAMS), "batch work needs all of them");
}

/// Guards against retries that multiply the load of an overloaded service.
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
    // 5% of 100 successes, and two that every deployment starts with.
    expect_that!(retries, all![ge(1), le(7)]);
}

/// Guards against a stream that waits for ever on a silent connection.
#[gtest]
fn silent_twice() -> Result<()> {
    let mut fixture = Fixture::new(64);
    let attempt = fixture.arrive(0).or_fail()?;
    expect_that!(attempt.silence, le(Duration::from_secs(30)));
    let first = fixture.feed(Input::Silent { attempt: attempt.id });
    expect_that!(first, is_empty(), "the stream is resumed on a fresh connection");
    let second = fixture.feed(Input::Silent { attempt: attempt.id });
    expect_that!(
        second,
        contains(matches_pattern!(Action::Cancel { attempt: eq(&attempt.id), .. }))
    );
    let again = dispatch(&second).or_fail()?;
    expect_that!(again.upstream, not(eq(attempt.upstream)));
    Ok(())
}

/// Guards against a dead upstream that keeps its share of the requests, and against one that is
/// never used again after its return.
#[gtest]
fn unreachable_returns() -> Result<()> {
    let mut fixture = Fixture::new(64);
    fixture.serve(200, 20);
    let count = |fixture: &Fixture| {
        let entries = fixture.machine.status();
        entries.iter().filter(|entry| entry.state == State::Unreachable).count()
    };
    for _ in 0..200 {
        if count(&fixture) > 0 {
            break;
        }
        fixture.now = fixture.now + Duration::from_millis(200);
        let attempt = fixture.arrive(0).or_fail()?;
        let outcome =
            if fixture.name(&attempt) == "runner-4" { Outcome::NotRun } else { Outcome::Done };
        if let Some(again) = dispatch(&fixture.end(&attempt, outcome)) {
            fixture.end(&again, Outcome::Done);
        }
    }
    expect_that!(count(&fixture), eq(1));
    for _ in 0..200 {
        fixture.now = fixture.now + Duration::from_millis(500);
        fixture.serve(1, 20);
    }
    expect_that!(count(&fixture), eq(0));
    Ok(())
}

/// Guards against a refusal that says "not run" about a request whose outcome is not known.
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
    let attempt = dispatch(&fixture.feed(Input::Arrived(request))).or_fail()?;
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
