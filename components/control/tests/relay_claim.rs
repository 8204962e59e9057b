//! Tests of the claims by which one relay at a time grants the tokens of an account, without a network.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        allowance::{Ask, Claims, Ledger, Limit, Message, Report, Response, Shares, Standing},
        broker::Holder,
    },
    time::Time,
};
use googletest::prelude::*;

const ACCOUNT: u64 = 7;
const START: Time = Time::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(100);
/// Longer than a claim waits.
const PATIENCE: Duration = Duration::from_millis(20);
const LIMIT: Limit = Limit { rate_milli: 100_000, burst_milli: 100_000 };

fn relays(names: &[u32]) -> BTreeSet<u32> {
    names.iter().copied().collect()
}

fn ask(ticket: u64, count: u32) -> Ask {
    Ask { ticket, account: ACCOUNT, count, limit: LIMIT, configuration: 1, report: None }
}

/// Returns the number of tokens that a ledger grants.
fn granted(ledger: &mut Ledger, now: Time, ticket: u64) -> u32 {
    match ledger.ask(now, Holder(1), &ask(ticket, 1_000)) {
        Message::Granted { count, .. } => count,
        _ => 0,
    }
}

/// Guards against grants of a relay that has not asked the others yet, and against a claim that waits for a relay that
/// does not answer.
#[gtest]
fn standing() -> Result<()> {
    let mut claims = Claims::new();
    expect_that!(claims.standing(START, ACCOUNT), eq(Standing::Unclaimed));
    claims.begin(START, (ACCOUNT, 1), LONG, relays(&[2, 3]));
    expect_that!(claims.standing(START, ACCOUNT), eq(Standing::Claiming));
    expect_that!(claims.record_yield((ACCOUNT, 1), 2, LONG), eq(false));
    expect_that!(claims.conclude(START, ACCOUNT), none());
    let outcome = claims.conclude(START + PATIENCE, ACCOUNT);
    expect_that!(outcome.map(|outcome| (outcome.asked, outcome.answered)), some(eq((2, 1))));
    expect_that!(claims.standing(START + PATIENCE, ACCOUNT), eq(Standing::Held));
    // A relay without others waits for nobody.
    claims.begin(START, (8, 2), LONG, relays(&[]));
    verify_that!(claims.conclude(START, 8).map(|outcome| outcome.memory), some(eq(LONG)))
}

/// Guards against a claim that ends with the answers to an earlier one, and against one relay that counts twice.
#[gtest]
fn stale_answers() -> Result<()> {
    let mut claims = Claims::new();
    expect_that!(claims.begin(START, (ACCOUNT, 2), LONG, relays(&[2, 3])), eq(true));
    expect_that!(claims.begin(START, (ACCOUNT, 3), LONG, relays(&[2, 3])), eq(false));
    expect_that!(claims.record_yield((ACCOUNT, 1), 2, LONG), eq(false));
    expect_that!(claims.record_kept(START, (ACCOUNT, 1), 3), eq(false));
    expect_that!(claims.record_yield((ACCOUNT, 2), 2, LONG), eq(false));
    expect_that!(claims.record_yield((ACCOUNT, 2), 2, LONG), eq(false));
    expect_that!(claims.record_yield((ACCOUNT, 2), 9, LONG), eq(false), "not asked");
    expect_that!(claims.record_yield((ACCOUNT, 2), 3, LONG), eq(true));
    verify_that!(claims.conclude(START, ACCOUNT).map(|outcome| outcome.answered), some(eq(2)))
}

/// Guards against two relays that hold one account after they claimed it at the same time, whichever message arrives
/// first, and against a holder that does not leave it to a later claim.
#[gtest]
fn racing_claims() -> Result<()> {
    let (mut first, mut second) = (Claims::new(), Claims::new());
    first.begin(START, (ACCOUNT, 1), LONG, relays(&[2]));
    second.begin(START, (ACCOUNT, 1), LONG, relays(&[1]));
    expect_that!(first.respond(START, ACCOUNT, 1, 2), eq(Response::Keep));
    expect_that!(second.respond(START, ACCOUNT, 2, 1), eq(Response::Yield));
    expect_that!(second.record_kept(START, (ACCOUNT, 1), 1), eq(false), "it has given up already");
    first.record_yield((ACCOUNT, 1), 2, LONG);
    first.conclude(START, ACCOUNT);
    expect_that!(first.standing(START, ACCOUNT), eq(Standing::Held));
    expect_that!(second.standing(START, ACCOUNT), eq(Standing::Released(1)));
    expect_that!(second.conclude(START + PATIENCE, ACCOUNT), none());
    let later = START + SECOND;
    expect_that!(first.respond(later, ACCOUNT, 1, 2), eq(Response::Yield));
    expect_that!(first.standing(later, ACCOUNT), eq(Standing::Released(2)));
    // One that is asked again has to claim the account back.
    verify_that!(first.standing(later + SECOND, ACCOUNT), eq(Standing::Unclaimed))
}

/// A relay that wakes up claims an account, and then reads a claim that was sent to it while it was frozen. Guards
/// against two relays that leave the account to each other.
#[gtest]
fn old_claim() -> Result<()> {
    let (mut woken, mut holder) = (Claims::new(), Claims::new());
    holder.begin(START, (ACCOUNT, 1), LONG, relays(&[2]));
    holder.conclude(START + PATIENCE, ACCOUNT);
    let now = START + SECOND * 4;
    woken.begin(now, (ACCOUNT, 9), LONG, relays(&[1, 3]));
    expect_that!(woken.respond(now, ACCOUNT, 2, 1), eq(Response::Yield));
    expect_that!(woken.standing(now, ACCOUNT), eq(Standing::Released(1)));
    expect_that!(holder.respond(now, ACCOUNT, 1, 2), eq(Response::Yield));
    // Only the answer of that relay to this claim changes anything.
    woken.record_yield((ACCOUNT, 9), 3, LONG);
    woken.record_yield((ACCOUNT, 8), 1, LONG);
    expect_that!(woken.standing(now, ACCOUNT), eq(Standing::Released(1)));
    woken.record_yield((ACCOUNT, 9), 1, LONG);
    expect_that!(woken.standing(now, ACCOUNT), eq(Standing::Claiming));
    expect_that!(woken.conclude(now + PATIENCE, ACCOUNT), some(anything()));
    verify_that!(woken.standing(now + PATIENCE, ACCOUNT), eq(Standing::Held))
}

/// Guards against a relay that goes on to grant after a pause, and against claims that are repeated without one.
#[gtest]
fn pauses() -> Result<()> {
    let mut claims = Claims::new();
    let mut now = START;
    expect_that!(claims.record_running(now), eq(false));
    claims.begin(now, (ACCOUNT, 1), LONG, relays(&[]));
    claims.conclude(now, ACCOUNT);
    for _ in 0..100 {
        now = now + Duration::from_millis(240);
        expect_that!(claims.record_running(now), eq(false));
    }
    expect_that!(claims.standing(now, ACCOUNT), eq(Standing::Held));
    expect_that!(claims.record_running(now + Duration::from_millis(250)), eq(true));
    verify_that!(claims.standing(now, ACCOUNT), eq(Standing::Unclaimed))
}

/// Guards against a burst that is granted again because only a minority of the relays remembers its grants, and
/// against a restart of a minority that costs callers theirs.
#[gtest]
fn common_memory() -> Result<()> {
    let short = SECOND / 10;
    for (own, others, expected) in [
        (short, [LONG, LONG, LONG, LONG], LONG),
        (short, [LONG, LONG, short, short], short),
        (LONG, [LONG, LONG, short, short], LONG),
        (short, [short, short, short, short], short),
    ] {
        let mut claims = Claims::new();
        claims.begin(START, (ACCOUNT, 1), own, (0..4).collect());
        for (relay, memory) in others.iter().enumerate() {
            claims.record_yield((ACCOUNT, 1), relay, *memory);
        }
        let memory = claims.conclude(START, ACCOUNT).map(|outcome| outcome.memory);
        expect_that!(memory, some(eq(expected)), "{own:?} and {others:?}");
    }
    // Relays that do not answer remember nothing.
    let mut claims = Claims::new();
    claims.begin(START, (ACCOUNT, 1), LONG, (0..3).collect());
    claims.record_yield((ACCOUNT, 1), 0, LONG);
    let outcome = claims.conclude(START + PATIENCE, ACCOUNT);
    verify_that!(outcome.map(|outcome| outcome.memory), some(eq(Duration::ZERO)))
}

/// Relays that start several times in a window, each time without a memory, and grant what they can. Guards against
/// starts whose tokens add up to more than the excess.
#[gtest]
fn repeated_starts() -> Result<()> {
    for (rate, burst) in [(1.0, 1.0), (10.0, 20.0), (100.0, 100.0), (100.0, 500.0), (230.0, 230.0)]
    {
        let limit =
            Limit { rate_milli: (rate * 1_000.0) as u64, burst_milli: (burst * 1_000.0) as u64 };
        let ask = Ask { limit, ..ask(1, 10_000) };
        let mut total = 0;
        for number in 0..4 {
            let now = START + SECOND * number;
            let mut ledger = Ledger::new();
            ledger.doubt(now, &ask, Duration::ZERO);
            let answer = ledger.ask(now, Holder(1), &ask);
            total += if let Message::Granted { count, .. } = answer { count } else { 0 };
        }
        expect_that!(f64::from(total), le(limit.excess()), "{rate} and {burst}");
        expect_that!(total, ge(4), "{rate} and {burst}: the first request after a start is served");
    }
    Ok(())
}

/// Guards against a level that is limited although most relays remember, and against a report that raises one that is
/// limited for good reason.
#[gtest]
fn doubtful_levels() -> Result<()> {
    let mut ledger = Ledger::new();
    ledger.prepare(START, &ask(1, 1));
    let assumed = ledger.doubt(START, &ask(1, 1), LONG);
    expect_that!(assumed, eq(50.0));
    let limited = ledger.doubt(START, &ask(1, 1), SECOND / 10);
    expect_that!(limited, all![ge(10.0), le(40.0)]);
    ledger.learn(START, ACCOUNT, Report { level_milli: 90_000, age: Duration::ZERO });
    expect_that!(f64::from(granted(&mut ledger, START, 1)), le(limited));
    // An account without a bucket has nothing to learn.
    ledger.learn(START, 8, Report { level_milli: 0, age: Duration::ZERO });
    verify_that!(ledger.len(), eq(1))
}

/// Guards against a claimant that is told a level that was only assumed, or that is old, in place of one that was
/// granted from.
#[gtest]
fn reported_levels() -> Result<()> {
    let mut ledger = Ledger::new();
    expect_that!(ledger.report(START, ACCOUNT), none());
    ledger.prepare(START, &ask(1, 1));
    expect_that!(ledger.report(START, ACCOUNT), none());
    granted(&mut ledger, START, 1);
    let later = START + SECOND / 10;
    let report = Report { level_milli: 10_000, age: Duration::ZERO };
    expect_that!(ledger.report(later, ACCOUNT), some(eq(report)));
    expect_that!(ledger.report(START + SECOND * 6, ACCOUNT), none());
    ledger.set_limits(2, BTreeMap::from([(ACCOUNT, LIMIT)]));
    ledger.close(later);
    let closed = Report { level_milli: 10_000, age: SECOND };
    verify_that!(ledger.report(later + SECOND, ACCOUNT), some(eq(closed)))
}

/// Relays that have just started and have no owner. Guards against the share of a window from each start.
#[gtest]
fn shares_after_start() -> Result<()> {
    let mut admitted = 0;
    for number in 0..10 {
        let now = START + SECOND / 2 * number;
        let mut shares = Shares::new().with_start(now);
        for step in 0..100 {
            let now = now + Duration::from_millis(2) * step;
            admitted += u32::from(shares.take(now, ACCOUNT, LIMIT, 3, 0.5).is_ok());
        }
    }
    expect_that!(admitted, le(10));
    let mut shares = Shares::new().with_start(START);
    let later = START + SECOND * 10;
    let count = (0..100).filter(|_| shares.take(later, ACCOUNT, LIMIT, 3, 0.5).is_ok()).count();
    verify_that!(count, ge(10))
}
