//! Tests of the quotas of client accounts over all relays, without a network.
//!
//! The loads are those of a site with 74 relays and 79 accounts, whose quotas are 1.6 times their usual
//! load with a burst of one second.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::{
    relay::{
        allowance::{
            Ask, BLOCK_TIME, Client, Decision, Ledger, Limit, Message, Report, Shares, retry_after,
        },
        broker::Holder,
    },
    time::Time,
};
use googletest::prelude::*;
use proptest::prelude::{Just, prop, prop_assert, prop_oneof, proptest};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const RELAYS: usize = 74;
const ACCOUNT: u64 = 7;
const START: Time = Time::from_millis(100_000);
const WINDOW: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);
/// Requests a second of a large account.
const LARGE: f64 = 100.0;
const HEAVY_FACTOR: f64 = 7.0;

/// Returns the quota of an account with a usual load of so many requests a second.
fn quota(usual: f64) -> Limit {
    let milli = (usual * 1_600.0) as u64;
    Limit { rate_milli: milli, burst_milli: milli }
}

/// Returns the most requests that may be run in a window.
fn bound(limit: Limit) -> f64 {
    (5.0 * limit.rate() + limit.burst_milli as f64 / 1_000.0) * 1.1 + 20.0
}

fn ask(ticket: u64, count: u32, limit: Limit) -> Ask {
    Ask { ticket, account: ACCOUNT, count, limit, configuration: 1, report: None }
}

/// Returns the number of tokens of an answer.
fn granted(answer: Message) -> u32 {
    if let Message::Granted { count, .. } = answer { count } else { 0 }
}

/// Returns the largest number of times within one window.
fn most_in_window(times: &[Time]) -> f64 {
    let mut first = 0;
    let count = |(last, time): (usize, &Time)| {
        while time.since(times[first]) >= WINDOW {
            first += 1;
        }
        last + 1 - first
    };
    times.iter().enumerate().map(count).max().unwrap_or(0) as f64
}

/// The quota of an account in one place, which refuses no request within it.
struct Single {
    limit: Limit,
    level: f64,
    filled_at: Time,
}

impl Single {
    fn new(limit: Limit) -> Self {
        Self { limit, level: limit.burst(), filled_at: START }
    }

    fn take(&mut self, now: Time) -> bool {
        let gained = self.limit.rate() * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.limit.burst());
        self.filled_at = now;
        let is_taken = self.level >= 1.0;
        self.level -= f64::from(u8::from(is_taken));
        is_taken
    }
}

/// Relays that ask two possible owners of one account.
struct Fleet {
    random: StdRng,
    limit: Limit,
    clients: Vec<Client<usize>>,
    shares: Vec<Shares>,
    ledgers: [Ledger; 2],
    is_silent: [bool; 2],
    /// Relays that ask the second owner first.
    diverted: usize,
    /// Part of the messages that are lost.
    loss: f64,
    last_ticket: u64,
    admitted: Vec<Time>,
    refused: Vec<Time>,
}

impl Fleet {
    fn new(limit: Limit) -> Self {
        Self {
            random: StdRng::seed_from_u64(4),
            limit,
            clients: (0..RELAYS).map(|_| Client::new()).collect(),
            shares: (0..RELAYS).map(|_| Shares::new()).collect(),
            ledgers: [Ledger::new(), Ledger::new()],
            is_silent: [false; 2],
            diverted: 0,
            loss: 0.0,
            last_ticket: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sends an ask up to twice. Returns the first answer that arrives.
    fn ask(&mut self, now: Time, relay: usize, owner: usize, count: u32) -> Option<Message> {
        self.last_ticket += 1;
        let report = self.clients[relay].report(now, ACCOUNT, owner);
        let ask = Ask { report, ..ask(self.last_ticket, count, self.limit) };
        for _ in 0..2 {
            if self.is_silent[owner] || self.random.random_bool(self.loss) {
                continue;
            }
            let answer = self.ledgers[owner].ask(now, Holder(relay as u64), &ask);
            if !self.random.random_bool(self.loss) {
                return Some(answer);
            }
        }
        None
    }

    /// Handles a request at a random relay. Returns whether it is admitted.
    fn request(&mut self, now: Time) -> bool {
        let relay = self.random.random_range(0..RELAYS);
        let is_admitted = match self.clients[relay].take(now, ACCOUNT, self.limit) {
            Decision::Taken(_) => true,
            Decision::Refused(_) => false,
            Decision::Ask(count) => self.ask_owners(now, relay, count),
        };
        let times = if is_admitted { &mut self.admitted } else { &mut self.refused };
        times.push(now);
        is_admitted
    }

    fn ask_owners(&mut self, now: Time, relay: usize, count: u32) -> bool {
        let first = usize::from(relay < self.diverted);
        for owner in [first, 1 - first] {
            let answer = self.ask(now, relay, owner, count);
            let client = &mut self.clients[relay];
            match answer {
                Some(Message::Granted { count, level_milli, .. }) => {
                    client.record_grant(now, ACCOUNT, owner, count, level_milli);
                    return true;
                }
                Some(Message::Refused { wait, level_milli, .. }) => {
                    let level = (self.limit, level_milli);
                    client.record_refusal(now, ACCOUNT, owner, (now, wait), level);
                    return false;
                }
                Some(Message::Closed { report: Some(report), .. }) => {
                    client.record_closing(now, ACCOUNT, owner, report);
                }
                _ => {}
            }
        }
        let random = self.random.random();
        self.shares[relay].take(now, ACCOUNT, self.limit, RELAYS, random).is_ok()
    }

    /// Has requests arrive at random (Poisson) at `rate` a second for `time`.
    fn run(&mut self, from: Time, time: Duration, rate: f64) -> Time {
        let mut now = from;
        loop {
            let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            now = now + Duration::from_secs_f64(gap);
            if now >= from + time {
                return from + time;
            }
            self.request(now);
        }
    }
}

/// An account at seven times its usual load. Guards against limits per relay, against more than the bound,
/// and against tokens that no request gets.
#[gtest]
fn heavy_account() -> Result<()> {
    let limit = quota(LARGE);
    let mut fleet = Fleet::new(limit);
    let heavy_from = fleet.run(START, SECOND * 10, LARGE);
    expect_that!(fleet.refused, is_empty());
    fleet.run(heavy_from, SECOND * 20, LARGE * HEAVY_FACTOR);
    expect_that!(most_in_window(&fleet.admitted), le(bound(limit)));
    let admitted = fleet.admitted.iter().filter(|time| **time >= heavy_from).count();
    verify_that!(admitted as f64, ge(limit.rate() * 20.0 + limit.burst() - 2.0))
}

/// 79 accounts of Zipf-distributed size with short rises to 1.87 times their mean. Guards against refusals
/// of requests within the quota.
#[gtest]
fn usual_load() -> Result<()> {
    let sizes: Vec<f64> = (1..=79).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = sizes.iter().sum();
    for size in sizes {
        let usual = 400.0 * size / total;
        let mut fleet = Fleet::new(quota(usual));
        let mut random = StdRng::seed_from_u64(5);
        let (mut now, mut sent) = (START, 0.0);
        let end = START + SECOND * 60;
        while now < end {
            let phase = now.since(START).as_secs_f64() % 5.8;
            let low = (5.8 - 1.87 * 2.4) / 3.4;
            sent += usual * if phase < 2.4 { 1.87 } else { low } / 1_000.0;
            now = now + Duration::from_millis(1);
            while sent >= 1.0 {
                sent -= 1.0;
                fleet.request(now + Duration::from_micros(random.random_range(0..1_000)));
            }
        }
        expect_that!(fleet.refused, is_empty(), "account of {usual} a second");
    }
    Ok(())
}

/// Accounts of different sizes whose callers send at random, up to above the quota. Guards against refusals
/// of requests that a single bucket admits.
#[gtest]
fn no_needless_refusals() -> Result<()> {
    for usual in [0.5, 1.0, 4.0, 20.0, LARGE, LARGE * HEAVY_FACTOR] {
        let limit = quota(usual);
        let (mut fleet, mut single) = (Fleet::new(limit), Single::new(limit));
        let warm = fleet.run(START, SECOND * 10, usual / 2.0);
        let before = fleet.admitted.len();
        let (mut now, mut expected) = (warm, 0);
        while now < warm + SECOND * 20 {
            let gap = -fleet.random.random_range(f64::MIN_POSITIVE..1.0).ln() / usual / 1.87;
            now = now + Duration::from_secs_f64(gap);
            fleet.request(now);
            expected += usize::from(single.take(now));
            expect_that!(fleet.admitted.len() - before, ge(expected), "{usual} a second");
        }
    }
    Ok(())
}

/// Accounts with one request a second over 74 relays, none of which knows the account. Guards against a
/// first request that is refused, also after a pause in which the bucket was dropped, and against shares
/// that are too small to admit any.
#[gtest]
fn small_account() -> Result<()> {
    for pause in [SECOND, SECOND * 3, SECOND * 90] {
        let mut fleet = Fleet::new(quota(1.0));
        for index in 0..40 {
            expect_that!(fleet.request(START + pause * index), eq(true));
        }
    }
    Ok(())
}

/// An account at seven times its usual load whose owner is lost. Guards against a second burst from the next
/// owner and against refusals without one.
#[gtest]
fn lost_owner() -> Result<()> {
    for rate in [LARGE * 1.87, LARGE * HEAVY_FACTOR] {
        let limit = quota(LARGE);
        let mut fleet = Fleet::new(limit);
        let begin = fleet.run(START, SECOND * 10, LARGE);
        let lost_at = fleet.run(begin, SECOND, rate);
        fleet.is_silent[0] = true;
        let end = fleet.run(lost_at, SECOND * 10, rate);
        expect_that!(most_in_window(&fleet.admitted), le(bound(limit)));
        let admitted = fleet.admitted.iter().filter(|time| **time >= lost_at).count();
        let allowed = limit.rate() * end.since(lost_at).as_secs_f64();
        expect_that!(admitted as f64, ge(allowed.min(rate * 10.0 * 0.9) - 2.0));
    }
    Ok(())
}

/// An owner that is frozen for two seconds, and then answers from its old bucket, which has filled up
/// meanwhile. Guards against a burst that is granted twice.
#[gtest]
fn frozen_owner() -> Result<()> {
    let limit = quota(LARGE);
    let mut fleet = Fleet::new(limit);
    let mut now = fleet.run(START, SECOND * 10, LARGE);
    for _ in 0..3 {
        now = fleet.run(now, SECOND, LARGE * HEAVY_FACTOR);
        fleet.is_silent[0] = true;
        now = fleet.run(now, SECOND * 2, LARGE * HEAVY_FACTOR);
        fleet.is_silent[0] = false;
    }
    fleet.run(now, SECOND * 5, LARGE * HEAVY_FACTOR);
    verify_that!(most_in_window(&fleet.admitted), le(bound(limit)))
}

/// An owner that shuts down under load while half of the relays have not heard of it, with and without the
/// message that hands its level over. Guards against two owners that both grant the quota, against a second
/// burst from the next owner, and against refusals during the change.
#[gtest]
fn closed_owner() -> Result<()> {
    let limit = quota(LARGE);
    for is_lost in [false, true] {
        let mut fleet = Fleet::new(limit);
        let begin = fleet.run(START, SECOND * 10, LARGE);
        let closed_at = fleet.run(begin, SECOND, LARGE * HEAVY_FACTOR);
        fleet.ledgers[0].close(closed_at);
        for handover in fleet.ledgers[0].handovers(closed_at) {
            if !is_lost {
                fleet.ledgers[1].take_over(closed_at, &handover);
            }
        }
        fleet.diverted = RELAYS / 2;
        let end = fleet.run(closed_at, SECOND * 10, LARGE * HEAVY_FACTOR);
        expect_that!(most_in_window(&fleet.admitted), le(bound(limit)), "lost: {is_lost}");
        let admitted = fleet.admitted.iter().filter(|time| **time >= closed_at).count();
        let allowed = limit.rate() * end.since(closed_at).as_secs_f64();
        expect_that!(admitted as f64, ge(allowed - 2.0), "lost: {is_lost}");
    }
    Ok(())
}

/// Owners that are killed one after the other, each after it has told the next one its level, under load from relays
/// that remember nothing. Guards against a part of the burst from each of them, and against a successor that refuses
/// what the quota allows.
#[gtest]
fn killed_owners() -> Result<()> {
    for usual in [4.0, LARGE] {
        let limit = quota(usual);
        let mut ledgers: Vec<Ledger> = (0..6).map(|_| Ledger::new()).collect();
        let (mut now, mut ticket, mut run) = (START, 0, Vec::new());
        let gap = Duration::from_secs_f64(1.0 / usual / HEAVY_FACTOR);
        for owner in 0..ledgers.len() {
            let end = now + SECOND * if owner == 0 { 10 } else { 1 };
            let mut told_at = now;
            while now < end {
                now = now + gap;
                ticket += 1;
                let answer = ledgers[owner].ask(now, Holder(ticket), &ask(ticket, 1, limit));
                run.extend((granted(answer) > 0).then_some(now));
                if now.since(told_at) >= SECOND / 10 && owner + 1 < ledgers.len() {
                    told_at = now;
                    expect_that!(ledgers[owner].active(now), elements_are![eq(&ACCOUNT)]);
                    if let Some(handover) = ledgers[owner].tell(now, ACCOUNT, owner as u64 + 1) {
                        ledgers[owner + 1].take_over(now, &handover);
                        // One that only learns the level does not answer for it.
                        expect_that!(ledgers[owner + 1].active(now), is_empty());
                    }
                }
            }
        }
        // Without the levels, five owners would begin with half of the burst each.
        let most = 5.0 * limit.rate() + limit.capacity() + 0.5 * limit.burst() + 2.0;
        expect_that!(most_in_window(&run), le(most.min(bound(limit))), "{usual} a second");
        let later = run.iter().filter(|time| **time > START + SECOND * 10).count();
        expect_that!(later as f64, ge(5.0 * limit.rate() - 2.0), "{usual} a second");
    }
    Ok(())
}

/// An account within its quota. Guards against messages with its level that change nothing.
#[gtest]
fn untold_level() -> Result<()> {
    let limit = quota(LARGE);
    let mut ledger = Ledger::new();
    let mut now = START;
    let mut told = 0;
    for ticket in 0..2_000 {
        now = now + Duration::from_secs_f64(1.0 / LARGE);
        ledger.ask(now, Holder(1), &ask(ticket, 1, limit));
        told += usize::from(ledger.tell(now, ACCOUNT, 1).is_some());
    }
    verify_that!(told, le(1))
}

/// A ledger that is closed, asked again, and opened after others have granted. Guards against a repeated ask that
/// is answered otherwise, and against tokens gained while another owner granted them.
#[gtest]
fn reopened_ledger() -> Result<()> {
    let limit = quota(LARGE);
    let mut ledger = Ledger::new();
    let first = ledger.ask(START, Holder(1), &ask(1, 1_000, limit));
    ledger.close(START);
    expect_that!(ledger.ask(START, Holder(1), &ask(1, 1_000, limit)), eq(first));
    let closed = ledger.ask(START + SECOND, Holder(1), &ask(2, 1, limit));
    let report = Some(Report { level_milli: 0, age: SECOND });
    expect_that!(closed, eq(Message::Closed { ticket: 2, account: ACCOUNT, report }));
    expect_that!(ledger.handovers(START + WINDOW), is_empty());
    ledger.reopen(START + SECOND * 3);
    let again = ledger.ask(START + SECOND * 3, Holder(1), &ask(3, 1_000, limit));
    verify_that!(granted(again), eq(0))
}

/// Half of the relays ask another owner for one second, without the first one being silent. Guards against
/// more in excess of the bound than the quota of that second and, if it was unused, the burst; and against an
/// excess that is repeated later.
#[gtest]
fn two_owners() -> Result<()> {
    let limit = quota(LARGE);
    for (heavy_before, excess) in
        [(SECOND * 2, limit.rate()), (Duration::ZERO, limit.rate() + limit.burst())]
    {
        let mut fleet = Fleet::new(limit);
        let mut now = fleet.run(START, SECOND * 10, LARGE);
        now = fleet.run(now, heavy_before, LARGE * HEAVY_FACTOR);
        fleet.diverted = RELAYS / 2;
        now = fleet.run(now, SECOND, LARGE * HEAVY_FACTOR);
        fleet.diverted = 0;
        now = fleet.run(now, SECOND * 10, LARGE * HEAVY_FACTOR);
        expect_that!(most_in_window(&fleet.admitted), le(bound(limit) + excess));
        let later = fleet.admitted.into_iter().filter(|time| now.since(*time) < SECOND * 9);
        expect_that!(most_in_window(&later.collect::<Vec<Time>>()), le(bound(limit)));
    }
    Ok(())
}

/// A twentieth of the messages are lost, each way. Guards against tokens that are charged twice for a repeated ask, and
/// against more than the bound.
#[gtest]
fn lost_messages() -> Result<()> {
    let limit = quota(LARGE);
    let mut fleet = Fleet::new(limit);
    fleet.loss = 0.05;
    let heavy_from = fleet.run(START, SECOND * 10, LARGE);
    expect_that!(fleet.refused, is_empty());
    fleet.run(heavy_from, SECOND * 20, LARGE * HEAVY_FACTOR);
    expect_that!(most_in_window(&fleet.admitted), le(bound(limit)));
    let admitted = fleet.admitted.iter().filter(|time| **time >= heavy_from).count();
    verify_that!(admitted as f64, ge(limit.rate() * 20.0 * 0.95))
}

/// No owner answers any relay, while the account sends seven times its usual load. Guards against shares
/// that add up to more than the allowed excess, since an owner elsewhere may grant the quota.
#[gtest]
fn no_owner() -> Result<()> {
    for (usual, seconds) in [(1.0, 200), (10.0, 60), (LARGE, 30), (LARGE * 10.0, 10)] {
        let limit = quota(usual);
        let mut fleet = Fleet::new(limit);
        fleet.is_silent = [true; 2];
        let rate = (usual * HEAVY_FACTOR).max(200.0);
        fleet.run(START, SECOND * seconds, rate);
        let most = most_in_window(&fleet.admitted);
        expect_that!(most, le(limit.excess()), "{usual} a second");
        expect_that!(most, ge(limit.excess() / 3.0), "{usual} a second");
    }
    Ok(())
}

/// Requests of a small account at all relays at once, without an owner, in intervals in which shares are
/// forgotten or nearly are. Guards against shares that become full together.
#[gtest]
fn share_bursts() -> Result<()> {
    let limit = quota(1.0);
    for interval in [4_900, 5_100, 35_000] {
        let mut random = StdRng::seed_from_u64(6);
        let mut shares: Vec<Shares> = (0..RELAYS).map(|_| Shares::new()).collect();
        let mut admitted = Vec::new();
        for burst in 0..50 {
            let now = START + Duration::from_millis(interval) * burst;
            for share in &mut shares {
                if share.take(now, ACCOUNT, limit, RELAYS, random.random()).is_ok() {
                    admitted.push(now);
                }
            }
        }
        // The random levels spread by a few requests.
        expect_that!(most_in_window(&admitted), le(limit.excess() * 1.5), "{interval} ms");
    }
    Ok(())
}

/// An owner without a bucket. Guards against a second burst where no relay remembers the level, and against
/// a level other than the one that relays do remember.
#[gtest]
fn new_owner() -> Result<()> {
    let limit = quota(LARGE);
    let mut ledger = Ledger::new();
    let first = granted(ledger.ask(START, Holder(1), &ask(1, 1_000, limit)));
    expect_that!(f64::from(first), eq(limit.burst() / 2.0));
    let age = SECOND / 10;
    let full = Some(Report { level_milli: 160_000, age });
    let second =
        granted(ledger.ask(START, Holder(2), &Ask { report: full, ..ask(1, 1_000, limit) }));
    expect_that!(f64::from(second), eq(160.0 + 16.0 - f64::from(first)));
    let mut ledger = Ledger::new();
    let low = Some(Report { level_milli: 20_000, age });
    let third = granted(ledger.ask(START, Holder(1), &Ask { report: low, ..ask(1, 1_000, limit) }));
    verify_that!(third, eq(36))
}

/// A limit that a new configuration lowers far below the load, and raises again. Guards against the level of
/// the old limit, against relays with the old configuration, and against an owner that has it.
#[gtest]
fn changed_limit() -> Result<()> {
    let (high, low) = (quota(LARGE), quota(1.0));
    let mut ledger = Ledger::new();
    let holder = Holder(1);
    let asks = |ledger: &mut Ledger, now, ticket, limit, configuration| {
        granted(ledger.ask(now, holder, &Ask { configuration, ..ask(ticket, 100, limit) }))
    };
    let mut now = START;
    asks(&mut ledger, now, 1, high, 4);
    now = now + SECOND * 5;
    expect_that!(asks(&mut ledger, now, 2, low, 5), le(4));
    now = now + SECOND;
    expect_that!(asks(&mut ledger, now, 3, high, 4), le(4), "an older configuration");
    now = now + SECOND;
    ledger.set_limits(6, BTreeMap::from([(ACCOUNT, high)]));
    expect_that!(asks(&mut ledger, now, 4, low, 5), le(4), "the level is kept");
    now = now + SECOND;
    expect_that!(asks(&mut ledger, now, 5, low, 5), eq(100), "the owner's own limit is newer");
    let other = Ask { account: 8, ..ask(6, 1, low) };
    verify_that!(granted(ledger.ask(now, holder, &other)), eq(1))
}

/// Requests that end without having been sent. Guards against tokens that are lost, and against more than
/// the bucket holds.
#[gtest]
fn returned_tokens() -> Result<()> {
    let limit = quota(10.0);
    let mut ledger = Ledger::new();
    let taken = granted(ledger.ask(START, Holder(1), &ask(1, 1_000, limit)));
    ledger.give_back(START, ACCOUNT, taken);
    let again = granted(ledger.ask(START, Holder(1), &ask(2, 1_000, limit)));
    expect_that!(again, eq(taken));
    ledger.give_back(START, ACCOUNT, 1_000_000);
    let most = granted(ledger.ask(START, Holder(1), &ask(3, 1_000, limit)));
    expect_that!(f64::from(most), le(limit.capacity()));
    ledger.give_back(START, ACCOUNT, most);
    let report = Some(Report { level_milli: 10_000, age: SECOND });
    let ask = Ask { report, ..ask(4, 1_000, limit) };
    let reported = granted(ledger.ask(START, Holder(1), &ask));
    expect_that!(f64::from(reported), ge(10.0), "what was given back does not count as granted");
    ledger.give_back(START, 99, 1);
    verify_that!(ledger.len(), eq(1))
}

/// A hundred callers are refused at once. Guards against retries that all come at the same time, and against
/// times beyond two seconds.
#[gtest]
fn spread_retries() -> Result<()> {
    let limit = quota(LARGE);
    let mut ledger = Ledger::new();
    ledger.ask(START, Holder(1), &ask(1, 1_000, limit));
    let waits: Vec<Duration> = (2..1_002)
        .map(|ticket| match ledger.ask(START, Holder(1), &ask(ticket, 1, limit)) {
            Message::Refused { wait, .. } => wait,
            other => unreachable!("{other:?}"),
        })
        .collect();
    let gap = Duration::from_secs_f64(1.0 / limit.rate());
    expect_that!(waits[0], le(gap));
    for pair in waits[..100].windows(2) {
        expect_that!(pair[1].abs_diff(pair[0] + gap), le(Duration::from_micros(2)));
    }
    expect_that!(waits.iter().max().copied().unwrap(), le(SECOND * 2));
    let in_step = |from: Duration| {
        waits.iter().filter(|wait| **wait >= from && **wait < from + SECOND / 10).count()
    };
    let busiest = (0..20).map(|step| in_step(SECOND / 10 * step)).max().unwrap();
    verify_that!(busiest, lt(150))
}

/// A relay with a hundred requests a second of one account. Guards against a message for each of them, and
/// against tokens of a block that are never given back.
#[gtest]
fn blocks() -> Result<()> {
    let limit = quota(1_000.0);
    let mut client: Client<usize> = Client::new();
    let (mut asks, mut now) = (0, START);
    for request in 0..400 {
        now = START + Duration::from_millis(10) * request;
        if let Decision::Ask(count) = client.take(now, ACCOUNT, limit) {
            asks += 1;
            client.record_grant(now, ACCOUNT, 0, count, 500_000);
        }
    }
    expect_that!(asks, all!(ge(100 + 60), le(100 + 110)));
    now = now + SECOND / 20;
    while client.take(now, ACCOUNT, limit) != Decision::Ask(5) {}
    client.record_grant(now, ACCOUNT, 0, 5, 500_000);
    expect_that!(client.take_rest(now, ACCOUNT), none());
    expect_that!(client.take(now, ACCOUNT, limit), eq(Decision::Taken(0)));
    now = now + BLOCK_TIME;
    expect_that!(client.take_rest(now, ACCOUNT), some(eq((0, 3))));
    verify_that!(client.take_rest(now, ACCOUNT), none())
}

/// Guards against memory that grows with the accounts and tickets of the past, and against reports of levels
/// that are no longer true.
#[gtest]
fn bounded_memory() -> Result<()> {
    let limit = quota(LARGE);
    let mut ledger = Ledger::new();
    for account in 0..20_000 {
        ledger.ask(START, Holder(1), &Ask { account, ..ask(account, 1, limit) });
    }
    expect_that!(ledger.len(), le(1 << 14));
    ledger.ask(START + SECOND * 90, Holder(1), &ask(1, 1, limit));
    expect_that!(ledger.len(), le(2));
    let mut client: Client<usize> = Client::new();
    client.record_grant(START, ACCOUNT, 0, 1, 4_000);
    let age = SECOND * 2;
    let report = Report { level_milli: 4_000, age };
    expect_that!(client.report(START + age, ACCOUNT, 1), some(eq(report)));
    expect_that!(client.report(START + age, ACCOUNT, 0), none());
    verify_that!(client.report(START + WINDOW, ACCOUNT, 1), none())
}

proptest! {
    /// Asks of any size at any time, repeated ones and returns, with one owner. Guards against more than
    /// the bound in any window.
    #[test]
    fn window_bound(
        usual in prop_oneof![Just(0.1), Just(1.0), Just(30.0), Just(500.0)],
        steps in prop::collection::vec((0u64..1_500, 1u32..200, 0u64..4, 0u32..3), 1..300),
    ) {
        let limit = quota(usual);
        let mut ledger = Ledger::new();
        let mut now = START;
        let mut run = Vec::new();
        let mut ticket = 0;
        for (gap_ms, count, repeats, returned) in steps {
            now = now + Duration::from_millis(gap_ms);
            ticket += 1;
            let ask = ask(ticket, count, limit);
            let taken = granted(ledger.ask(now, Holder(1), &ask));
            for _ in 0..repeats {
                prop_assert!(granted(ledger.ask(now, Holder(1), &ask)) == taken);
            }
            let returned = returned.min(taken);
            ledger.give_back(now, ACCOUNT, returned);
            run.extend((returned..taken).map(|_| now));
        }
        prop_assert!(most_in_window(&run) <= bound(limit));
    }
}

/// Callers of an account that sends seven times its usual load for seconds, with an objective of 300 ms. Guards
/// against retries after the objective, whose late responses use up the tokens of requests in time.
#[gtest]
fn retries_in_time() {
    let objective = Duration::from_millis(300);
    expect_that!(retry_after(SECOND * 2, objective), lt(objective));
    let soon = Duration::from_millis(20);
    expect_that!(retry_after(soon, objective), eq(soon));
}

/// Guards against callers over their quota that retry all the time, on a route without a latency objective.
#[gtest]
fn retries_without_objective() {
    let wait = Duration::from_millis(700);
    expect_that!(retry_after(wait, Duration::ZERO), eq(wait));
}
