//! Tests of the limit on the tokens of a batch route that wait for a run.

use std::time::Duration;

use cyclamengrade_control::relay::quota::{Admission, Quota, View};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const COMPLETION: Duration = Duration::from_secs(18);

fn view(waiting: u64, reserved: u64) -> View {
    View { waiting, reserved, age: Duration::ZERO }
}

/// Jobs must be admitted up to the limit and refused beyond it, also when other submissions are
/// being stored at the same relay.
#[gtest]
fn limit() {
    let quota = Quota::new(100);
    expect_that!(quota.admit(view(60, 30), 10, COMPLETION), eq(Admission::Admitted));
    expect_that!(quota.admit(view(60, 31), 10, COMPLETION), pat!(Admission::Full(_)));
    expect_that!(quota.admit(view(0, 0), 101, COMPLETION), eq(Admission::TooLarge));
    expect_that!(quota.admit(view(u64::MAX, 1), 10, COMPLETION), pat!(Admission::Full(_)));
}

/// A limit of zero must admit every job.
#[gtest]
fn no_limit() {
    let quota = Quota::new(0);
    expect_that!(quota.admit(view(u64::MAX, 0), u64::MAX, COMPLETION), eq(Admission::Admitted));
    expect_that!(quota.needs_exact_count(u64::MAX), is_false());
}

/// A relay whose view is old must not admit jobs near the limit, since other relays may have.
#[gtest]
fn old_view() {
    let quota = Quota::new(100);
    let old = |waiting| View { waiting, reserved: 0, age: Duration::from_secs(3) };
    expect_that!(quota.admit(old(20), 10, COMPLETION), eq(Admission::Admitted));
    expect_that!(quota.admit(old(70), 10, COMPLETION), eq(Admission::Unknown));
}

/// The time to come back must grow with the excess, within bounds.
#[gtest]
fn retry_after() {
    let quota = Quota::new(1_000);
    let wait = |waiting| match quota.admit(view(waiting, 0), 100, COMPLETION) {
        Admission::Full(wait) => wait,
        _ => Duration::ZERO,
    };
    expect_that!(wait(901), eq(Duration::from_millis(500)));
    expect_that!(wait(1_000), eq(Duration::from_millis(1_800)));
    expect_that!(wait(9_000), eq(Duration::from_secs(4)));
}

/// Number of relays that submit at the same time in a schedule.
const RELAYS: usize = 40;
/// Tokens of a job in a schedule.
const JOB_TOKENS: u64 = 3_000;
const LIMIT: u64 = 1_000_000;
/// Share by which the waiting tokens may exceed the limit.
const OVERAGE: f64 = 0.1;
/// Time in which a relay learns of the submissions and results of the others.
const VIEW_LAG_MS: u64 = 800;

/// A stored job with its time of acceptance and, once it is finished, of its end.
struct Job {
    accepted_ms: u64,
    ended_ms: Option<u64>,
}

/// Submissions that race at many relays with delayed views, lost replies and late writes must not
/// exceed the limit by more than the allowed share, and a limit that is never approached must refuse
/// nothing. The burst is six times the usual rate, as on the days with many jobs at once.
#[gtest]
fn racing_submissions() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut jobs: Vec<Job> = Vec::new();
        let mut late: Vec<u64> = Vec::new();
        let quota = Quota::new(LIMIT);
        let mut admitted = 0;
        for now in (0..20_000_u64).step_by(10) {
            let burst = (5_000..11_000).contains(&now);
            // Jobs per 10 ms over all relays; an accepted job ends after a random time.
            let rate = if burst { 0.45 } else { 0.075 };
            let _relay = random.random_range(0..RELAYS);
            let known = |job: &&Job| {
                let visible = job.accepted_ms + VIEW_LAG_MS <= now;
                visible && job.ended_ms.is_none_or(|ended| ended + VIEW_LAG_MS > now)
            };
            if random.random_bool(rate) {
                let waiting = jobs.iter().filter(known).count() as u64 * JOB_TOKENS;
                let view = View { waiting, reserved: 0, age: Duration::from_millis(VIEW_LAG_MS) };
                if quota.admit(view, JOB_TOKENS, COMPLETION) == Admission::Admitted {
                    admitted += 1;
                    match random.random_range(0..20) {
                        // The reply is lost and the write takes effect later.
                        0 => late.push(now + random.random_range(0..1_000)),
                        _ => jobs.push(Job { accepted_ms: now, ended_ms: None }),
                    }
                }
            }
            let (due, rest): (Vec<u64>, Vec<u64>) = late.iter().partition(|time| **time <= now);
            jobs.extend(due.iter().map(|_| Job { accepted_ms: now, ended_ms: None }));
            late = rest;
            if random.random_bool(0.06)
                && let Some(job) = jobs.iter_mut().find(|job| job.ended_ms.is_none())
            {
                job.ended_ms = Some(now);
            }
            let open = jobs.iter().filter(|job| job.ended_ms.is_none()).count() as u64;
            let bound = (LIMIT as f64 * (1.0 + OVERAGE)) as u64;
            assert!(open * JOB_TOKENS <= bound, "seed {seed}: {open} jobs at {now} ms");
        }
        assert!(admitted > 0, "seed {seed}");
    }
}

/// Guards against a time for the next try that overflows when far more tokens wait than the limit allows.
#[gtest]
fn extreme_excess() {
    let view = View { waiting: u64::MAX, reserved: u64::MAX, age: Duration::ZERO };
    let completion = Duration::from_secs(365 * 24 * 3_600);
    let admission = Quota::new(1).admit(view, 1, completion);
    expect_that!(admission, eq(Admission::Full(Duration::from_secs(4))));
}
