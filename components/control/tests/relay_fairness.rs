//! Shares of client accounts in the slots of a shard, under the loads that they answer.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Outgoing, Place, Sync, Ticket,
            Urgency, Want,
            fairness::{Order, Shares, by_turns},
        },
        origin::Software,
    },
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SHARD: u32 = 3;
const SLOTS: u32 = 8;
const NOW: Time = Time::from_millis(10_000);
/// Time within which the requests of the tests with few upstreams have to start. It lets a queue of up to a
/// hundred requests form behind eight slots.
const PATIENT: Duration = Duration::from_secs(10);

fn broker(upstreams: u32) -> Broker {
    let mut broker = Broker::new();
    broker.set_places((0..upstreams).map(|upstream| Place {
        upstream,
        shard: SHARD,
        slots: SLOTS,
        data_centre: 1,
        software: Software(1),
        leaving: false,
        start: 0,
    }));
    broker
}

/// Returns the charge of a request of an account that states no cost and has the default weight.
fn of(account: u32) -> Charge {
    Charge { account: Some(account), priority: 2, tokens: 0 }
}

fn ask(ticket: u64, start_within: Duration, charge: Charge) -> Ask {
    Ask {
        ticket: Ticket(ticket),
        shard: SHARD,
        start_within,
        data_centre: 1,
        connected: BTreeSet::new(),
        avoid: BTreeSet::new(),
        software: None,
        charge,
    }
}

fn want(ticket: u64, due_ms: u64, charge: Charge) -> Want {
    let urgency = Urgency { late: false, due_ms };
    Want { ticket: Ticket(ticket), shard: SHARD, urgency, software: None, charge }
}

fn granted(outgoing: &[Outgoing]) -> Vec<u64> {
    let grants = outgoing.iter().filter_map(|(_, answer)| match answer {
        Answer::Granted { ticket, .. } => Some(ticket.0),
        _ => None,
    });
    grants.collect()
}

fn refused(outgoing: &[Outgoing]) -> Vec<u64> {
    let refusals = outgoing.iter().filter_map(|(_, answer)| match answer {
        Answer::Refused { ticket, .. } => Some(ticket.0),
        _ => None,
    });
    refusals.collect()
}

/// Few upstreams with a queue, whose slots become free one by one.
struct Line {
    broker: Broker,
    last_ticket: u64,
    held: Vec<u64>,
    charges: BTreeMap<u64, Charge>,
}

impl Line {
    /// Creates one upstream whose slots are all in use by another account.
    fn new() -> Self {
        let mut line =
            Self { broker: broker(1), last_ticket: 0, held: Vec::new(), charges: BTreeMap::new() };
        line.ask(SLOTS, of(999));
        line
    }

    fn ask(&mut self, count: u32, charge: Charge) {
        for _ in 0..count {
            self.last_ticket += 1;
            self.charges.insert(self.last_ticket, charge);
            let ask = ask(self.last_ticket, PATIENT, charge);
            self.held.extend(granted(&self.broker.ask(NOW, Holder(1), ask)));
        }
    }

    /// Frees slots one by one. Returns how many of them each account got.
    fn free(&mut self, count: usize) -> BTreeMap<Option<u32>, usize> {
        let mut got = BTreeMap::new();
        for _ in 0..count {
            let ended = Ticket(self.held.remove(0));
            for ticket in granted(&self.broker.release(NOW, Holder(1), &[ended])) {
                self.held.push(ticket);
                *got.entry(self.charges[&ticket].account).or_default() += 1;
            }
        }
        got
    }
}

/// Guards against an account that gets credit for the time in which it sent nothing: in a burst after a
/// pause, and in its first requests, it gets half of the slots beside another one, not all.
#[gtest]
fn no_credit() {
    let mut line = Line::new();
    line.ask(4, of(1));
    line.ask(80, of(2));
    line.free(40);
    // Account 1 has paused, account 3 is new.
    for account in [1, 3] {
        line.ask(20, of(account));
        let got = line.free(20);
        expect_that!(got[&Some(account)], all!(ge(9), le(11)), "{got:?}");
        line.free(20);
        line.ask(40, of(2));
    }
}

/// Guards against a penalty for slots that nobody else wanted: an account that used all of them alone gets
/// its half as soon as another one sends as well.
#[gtest]
fn no_penalty() {
    let mut line = Line::new();
    line.ask(60, of(1));
    line.free(40);
    line.ask(30, of(2));
    let got = line.free(20);
    expect_that!(got[&Some(1)], all!(ge(9), le(11)), "{got:?}");
}

/// Guards against shares by the number of requests: an account with requests of four times the cost gets a
/// quarter of the grants, and one that states no cost gains nothing by that.
#[gtest]
fn shares_by_tokens() {
    let mut line = Line::new();
    line.ask(60, Charge { tokens: 4_000, ..of(1) });
    line.ask(60, Charge { tokens: 1_000, ..of(2) });
    let got = line.free(50);
    expect_that!(got[&Some(1)], all!(ge(9), le(11)), "{got:?}");
    line.ask(60, of(3));
    let got = line.free(50);
    expect_that!(got[&Some(3)], le(25), "{got:?}");
}

/// Guards against priorities that let others starve, or that have no effect: an account of the priorities 0,
/// 1 and 2 gets four, two and one of seven slots.
#[gtest]
fn weights() {
    let mut line = Line::new();
    for priority in 0..3 {
        line.ask(50, Charge { priority, ..of(priority) });
    }
    let got = line.free(70);
    expect_that!(got[&Some(0)], all!(ge(39), le(41)), "{got:?}");
    expect_that!(got[&Some(1)], all!(ge(19), le(21)), "{got:?}");
    expect_that!(got[&Some(2)], all!(ge(9), le(11)), "{got:?}");
}

/// Guards against callers without a key who crowd out accounts: their requests share as those of one account.
#[gtest]
fn mixed_queue() {
    let mut line = Line::new();
    line.ask(90, Charge::default());
    line.ask(20, Charge { priority: 0, ..of(1) });
    let got = line.free(20);
    expect_that!(got[&Some(1)], all!(ge(9), le(11)), "{got:?}");
}

/// Guards against a connection of the large account's relays that brings its requests before those of
/// another account.
#[gtest]
fn connections_within_accounts() {
    let mut line = Line::new();
    line.ask(1, of(1));
    let connected = Ask { connected: [0].into(), ..ask(100, PATIENT, of(2)) };
    line.broker.ask(NOW, Holder(2), connected.clone());
    let outgoing = line.broker.release(NOW, Holder(1), &[Ticket(line.held[0])]);
    expect_that!(granted(&outgoing), elements_are![eq(&(u64::from(SLOTS) + 1))]);
}

/// Guards against requests that learn of their refusal only when their time is over: those that a request
/// of another account pushes back too far are refused at once, and no more of them than it takes.
#[gtest]
fn pushed_back() {
    let mut broker = broker(1);
    let within = Duration::from_millis(400);
    for ticket in 0..u64::from(SLOTS) {
        broker.ask(NOW, Holder(1), ask(ticket, within, of(1)));
    }
    // Eight slots become free in 500 ms, so that six requests can start within 400 ms.
    for ticket in 10..16 {
        let outgoing = broker.ask(NOW, Holder(1), ask(ticket, within, of(1)));
        expect_that!(refused(&outgoing), is_empty());
    }
    expect_that!(refused(&broker.ask(NOW, Holder(1), ask(16, within, of(1)))), eq(&[16]));
    let outgoing = broker.ask(NOW, Holder(2), ask(20, within, of(2)));
    expect_that!(refused(&outgoing), eq(&[15]));
    // Those that remain get the next slots.
    for (ended, next) in [(0, 20), (1, 10), (2, 11)] {
        let outgoing = broker.release(NOW, Holder(1), &[Ticket(ended)]);
        expect_that!(granted(&outgoing), eq(&[next]));
    }
}

/// Guards against another order in a configuration without accounts: whatever costs and priorities are
/// stated, each free slot goes to the request that has to start first.
#[gtest]
fn without_accounts() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut broker = broker(2);
        let (mut waiting, mut held) = (BTreeSet::new(), Vec::new());
        let mut now = NOW;
        for ticket in 0..600 {
            now = now + Duration::from_millis(random.random_range(0..40));
            let holder = Holder(random.random_range(1..9));
            let within = Duration::from_millis(random.random_range(50..2_000));
            let charge = Charge {
                account: None,
                priority: random.random_range(0..3),
                tokens: random.random_range(0..9_000),
            };
            let mut outgoing = broker.ask(now, holder, ask(ticket, within, charge));
            waiting.insert((now + within, holder, ticket));
            if held.len() > 12 && random.random_range(0..3) > 0 {
                let (holder, ticket) = held.swap_remove(random.random_range(0..held.len()));
                outgoing.extend(broker.release(now, holder, &[ticket]));
            }
            if random.random_range(0..8) == 0 {
                outgoing.extend(broker.tick(now));
            }
            // An expired request is refused by the next tick, which comes every few milliseconds.
            for ticket in refused(&outgoing) {
                waiting.retain(|(_, _, found)| *found != ticket);
            }
            for ticket in granted(&outgoing) {
                let first = waiting.pop_first();
                assert_eq!(first.map(|(_, _, first)| first), Some(ticket), "seed {seed}");
                held.extend(first.map(|(_, holder, ticket)| (holder, Ticket(ticket))));
            }
        }
    }
}

/// Guards against memory that grows with the accounts that ever sent: one whose requests the virtual time has
/// passed is dropped.
#[gtest]
fn bounded_memory() {
    const REGULAR: u32 = u32::MAX;
    let mut order = Order::default();
    for key in 0..10_000_u32 {
        // Accounts that send once, beside one that sends regularly.
        let account = if key % 2 == 0 { REGULAR } else { key };
        order.push(key, of(account));
        if key >= 50 {
            let first = order.iter().next().unwrap_or_default();
            let account = if first % 2 == 0 { REGULAR } else { first };
            order.grant(first, Some(account), |_| true);
        }
        assert!(order.accounts() <= 102, "{} accounts", order.accounts());
    }
}

/// Guards against shares that drift from what accounts hold and want, under random changes: the next item is
/// the one that a search of all items finds.
#[gtest]
fn next_item() {
    let mut random = StdRng::seed_from_u64(5);
    let mut shares = Shares::default();
    let mut items: BTreeMap<u64, (u64, u32, u32)> = BTreeMap::new();
    let mut held: BTreeMap<u32, u64> = BTreeMap::new();
    let key = |ticket, due_ms| (Urgency { late: false, due_ms }, Holder(1), Ticket(ticket));
    for step in 0..20_000 {
        let (account, software) = (random.random_range(0..6), random.random_range(0..2));
        match random.random_range(0..6) {
            0 | 1 => {
                let due = random.random_range(0..100);
                shares.push(key(step, due), Some(account), Some(Software(software)));
                items.insert(step, (due, account, software));
            }
            2 | 3 => {
                if let Some((ticket, (due, account, software))) = items.pop_first() {
                    shares.remove(key(ticket, due), Some(account), Some(Software(software)));
                }
            }
            4 => {
                shares.hold(Some(account));
                *held.entry(account).or_default() += 1;
            }
            _ => {
                shares.release(Some(account));
                let count = held.entry(account).or_default();
                *count = count.saturating_sub(1);
            }
        }
        held.retain(|_, count| *count > 0);
        let waiting = items.values().map(|(_, account, _)| *account);
        let members: BTreeSet<u32> = waiting.chain(held.keys().copied()).collect();
        let total: u64 = held.values().sum();
        let is_above = |account: &u32| {
            held.get(account).is_some_and(|count| count * members.len() as u64 > total)
        };
        let of_first = items.iter().filter(|(_, (_, _, software))| *software == 0);
        let next =
            of_first.min_by_key(|(ticket, (due, account, _))| (is_above(account), *due, **ticket));
        let found = shares.next(|software| software == Some(Software(0)));
        assert_eq!(found.map(|((_, _, ticket), _)| ticket.0), next.map(|(ticket, _)| *ticket));
    }
}

/// Returns a broker that has learned of the batch slots that accounts hold from the states of relays, and
/// knows that there are no others.
fn learned(upstreams: u32, held: &[(u32, u64)]) -> Broker {
    let mut broker = broker(upstreams);
    let mut last = 0;
    let mut slots = Vec::new();
    for (account, count) in held {
        for _ in 0..*count {
            last += 1;
            let upstream = (last - 1) as u32 / SLOTS;
            let ticket = Ticket(last);
            slots.push(Held { ticket, upstream, class: Class::Batch, charge: of(*account) });
        }
    }
    let state = Sync { held: slots, ..Sync::default() };
    broker.sync(NOW - Duration::from_secs(1), Holder(1), state.clone());
    broker.sync(NOW, Holder(1), state);
    broker
}

/// Guards against a large job that holds up a small one of another account: of 16 slots, all held by a job of
/// hundreds of earlier items, the next ones go to the small job. Beyond equal shares, and among accounts
/// within theirs, the due time decides.
#[gtest]
fn small_job() {
    let mut broker = learned(2, &[(1, 16)]);
    let large: Vec<Want> = (100..500).map(|ticket| want(ticket, ticket, of(1))).collect();
    broker.sync(NOW, Holder(2), Sync { wants: large, ..Sync::default() });
    let small: Vec<Want> = (1_000..1_012).map(|ticket| want(ticket, ticket * 9, of(2))).collect();
    broker.sync(NOW, Holder(3), Sync { wants: small, ..Sync::default() });
    let mut got = Vec::new();
    for ticket in 1..=12 {
        got.extend(granted(&broker.release(NOW, Holder(1), &[Ticket(ticket)])));
    }
    // After eight grants, each of the two accounts holds eight slots, and what each frees stays with it.
    let expected = [1_000, 1_001, 1_002, 1_003, 1_004, 1_005, 1_006, 1_007, 100, 101, 102, 103];
    expect_that!(got, eq(&expected.to_vec()));
}

/// Guards against shares that put due times out of force: among accounts that hold no more than an equal
/// share, the item that is due first goes first, and late items go last.
#[gtest]
fn due_within_shares() {
    let mut broker = learned(1, &[]);
    broker.ask(NOW, Holder(3), ask(900, PATIENT, of(3)));
    broker.release(NOW, Holder(3), &[Ticket(900)]);
    let late = |want: Want| Want { urgency: Urgency { late: true, ..want.urgency }, ..want };
    let first = (10..13).map(|ticket| want(ticket, 5_000 + ticket, of(1)));
    let second = (20..23).map(|ticket| want(ticket, 1_000 + ticket, of(2)));
    let third = (30..33).map(|ticket| late(want(ticket, 100 + ticket, of(3))));
    let wants = first.chain(second).chain(third).collect();
    let later = NOW + Duration::from_secs(1);
    let outgoing = broker.sync(later, Holder(2), Sync { wants, ..Sync::default() });
    expect_that!(granted(&outgoing), eq(&[20, 10, 30, 21, 11, 31, 22, 12]));
}

/// Guards against a large job whose items are the only ones that a relay names in a message of limited
/// length.
#[gtest]
fn limited_message() {
    let items = [(1, "a"), (1, "b"), (1, "c"), (2, "d"), (1, "e"), (2, "f")];
    let named = |items: &[(u32, &'static str)]| -> Vec<&'static str> {
        by_turns(items.to_vec(), |(account, _)| Some(*account)).map(|(_, name)| name).collect()
    };
    expect_that!(named(&items), eq(&["a", "d", "b", "f", "c", "e"]));
    expect_that!(named(&items[..3]), eq(&["a", "b", "c"]));
}

/// Guards against stopping the streams of an account that holds little for the online requests of others,
/// because its items are due later than those of a large job.
#[gtest]
fn stops_above_share() {
    let mut broker = learned(1, &[]);
    let large = (10..16).map(|ticket| want(ticket, 1_000, of(1)));
    let small = (20..22).map(|ticket| want(ticket, 9_000, of(2)));
    let wants = large.chain(small).collect();
    let later = NOW + Duration::from_secs(1);
    broker.ask(NOW, Holder(3), ask(900, PATIENT, of(3)));
    broker.release(NOW, Holder(3), &[Ticket(900)]);
    let outgoing = broker.sync(later, Holder(2), Sync { wants, ..Sync::default() });
    expect_that!(granted(&outgoing), len(eq(SLOTS as usize)));
    let mut stopped = Vec::new();
    for ticket in 1..=5 {
        let outgoing = broker.ask(later, Holder(3), ask(ticket, PATIENT, of(3)));
        stopped.extend(outgoing.iter().filter_map(|(_, answer)| match answer {
            Answer::Stop { ticket } => Some(ticket.0),
            _ => None,
        }));
    }
    // With two slots each left, both are within their shares, and the latest due time decides.
    expect_that!(stopped, eq(&[15, 14, 13, 12, 21]));
}

/// A load on 60 upstreams with 8 slots each: requests of 0.4 to 1.2 s, which use a part of the slots on
/// average. A large account usually has a quarter of them, 78 small ones the rest.
#[derive(Clone, Copy)]
struct Site {
    /// Requests of the large account, relative to its usual number.
    large: f64,
    /// Whether all requests come in steep rises.
    has_rises: bool,
    has_accounts: bool,
}

/// What the requests of some accounts got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    granted: u32,
    refused: u32,
    /// Requests that were granted after more than 50 ms.
    waited: u32,
    /// Requests that were refused because their time was over.
    expired: u32,
}

const UPSTREAMS: u32 = 60;
const SMALL: u32 = 78;
/// Requests a second that use all slots.
const FULL_RATE: f64 = (UPSTREAMS * SLOTS) as f64 / 0.8;
const USUAL_LOAD: [f64; 2] = [0.13, 0.39];
const START_WITHIN: Duration = Duration::from_millis(190);
const LENGTH: Time = Time::from_millis(23_200);
/// Time at the beginning that is not measured.
const WARM_UP: Time = Time::from_millis(5_800);
const STEP_PERIOD: Duration = Duration::from_millis(5_800);
const VALLEY: Duration = Duration::from_millis(3_400);
/// Rates in the valley and in the rise, relative to the mean.
const STEP: [f64; 2] = [0.383, 1.87];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(Ticket),
    Tick,
}

impl Site {
    /// Returns the rate of the large account or of all small ones.
    fn rate(&self, group: usize, now: Time) -> f64 {
        let step = match now.0 % STEP_PERIOD.as_micros() as u64 {
            _ if !self.has_rises => 1.0,
            phase => STEP[usize::from(phase >= VALLEY.as_micros() as u64)],
        };
        let factor = if group == 0 { self.large } else { 1.0 };
        FULL_RATE * USUAL_LOAD[group] * factor * step
    }

    /// Returns the outcomes of the large account and of all small ones.
    fn run(&self) -> [Outcome; 2] {
        let mut random = StdRng::seed_from_u64(7);
        let mut broker = broker(UPSTREAMS);
        let mut outcomes = [Outcome::default(); 2];
        let mut requests: BTreeMap<Ticket, (usize, Time)> = BTreeMap::new();
        let mut used: BTreeMap<u32, BTreeSet<Ticket>> = BTreeMap::new();
        let mut events = BinaryHeap::from([0, 1].map(|group| Reverse((NOW, Event::Arrive(group)))));
        events.push(Reverse((NOW, Event::Tick)));
        let mut last = 0;
        while let Some(Reverse((now, event))) = events.pop()
            && now < NOW + Duration::from_micros(LENGTH.0)
        {
            let is_measured = now >= NOW + Duration::from_micros(WARM_UP.0);
            let outgoing = match event {
                Event::Arrive(group) => {
                    let pause = -(1.0 - random.random::<f64>()).ln() / self.rate(group, now);
                    let next = now + Duration::from_secs_f64(pause);
                    events.push(Reverse((next, Event::Arrive(group))));
                    last += 1;
                    requests.insert(Ticket(last), (group, now));
                    outcomes[group].sent += u32::from(is_measured);
                    let account = if group == 0 { 0 } else { random.random_range(1..=SMALL) };
                    let charge = if self.has_accounts { of(account) } else { Charge::default() };
                    broker.ask(now, Holder(1), ask(last, START_WITHIN, charge))
                }
                Event::End(ticket) => {
                    used.values_mut().for_each(|tickets| {
                        tickets.remove(&ticket);
                    });
                    broker.release(now, Holder(1), &[ticket])
                }
                Event::Tick => {
                    events.push(Reverse((now + Duration::from_millis(10), Event::Tick)));
                    broker.tick(now)
                }
            };
            for (_, answer) in outgoing {
                match answer {
                    Answer::Granted { ticket, upstream, .. } => {
                        let Some((group, since)) = requests.remove(&ticket) else { continue };
                        let at_upstream = used.entry(upstream).or_default();
                        at_upstream.insert(ticket);
                        assert!(at_upstream.len() <= SLOTS as usize, "upstream {upstream}");
                        let outcome = &mut outcomes[group];
                        outcome.granted += u32::from(is_measured);
                        let has_waited = now.since(since) > Duration::from_millis(50);
                        outcome.waited += u32::from(is_measured && has_waited);
                        let service = Duration::from_millis(random.random_range(400..1_200));
                        events.push(Reverse((now + service, Event::End(ticket))));
                    }
                    Answer::Refused { ticket, .. } => {
                        let Some((group, since)) = requests.remove(&ticket) else { continue };
                        let outcome = &mut outcomes[group];
                        outcome.refused += u32::from(is_measured);
                        let has_expired = now.since(since) > START_WITHIN;
                        outcome.expired += u32::from(is_measured && has_expired);
                    }
                    Answer::Queued { .. } | Answer::Stop { .. } => {}
                }
            }
        }
        outcomes
    }
}

/// Guards against small accounts that are refused or wait because a large one sends seven times its usual
/// number of requests, and against slots that stay free meanwhile.
#[gtest]
fn seven_times() {
    let calm = Site { large: 1.0, has_rises: false, has_accounts: true };
    for site in [calm, Site { large: 7.0, ..calm }] {
        let [large, small] = site.run();
        println!("{large:?} {small:?}");
        expect_that!(small.sent, gt(3_000));
        expect_that!(small.refused, eq(0), "{small:?}");
        expect_that!(small.waited * 200, le(small.sent), "{small:?}");
        let in_use = f64::from(large.granted + small.granted) / FULL_RATE / 17.4;
        expect_that!(in_use, ge(if site.large > 1.0 { 0.97 } else { 0.5 }), "{large:?}");
    }
}

/// Shows that the accounts prevent this: by the time of the start alone, small ones are refused as well.
#[gtest]
fn seven_times_without_accounts() {
    for has_rises in [false, true] {
        let [large, small] = Site { large: 7.0, has_rises, has_accounts: false }.run();
        println!("{large:?} {small:?}");
        expect_that!(small.refused * 10, gt(small.sent), "{small:?}");
    }
}

/// Guards against the same in steep rises of all traffic, in which the small accounts alone need
/// three quarters of the slots, while the large account sends what a quota of 1.6 times its usual load admits.
#[gtest]
fn steep_rises() {
    for factor in [1.0, 1.6] {
        let [large, small] = Site { large: factor, has_rises: true, has_accounts: true }.run();
        println!("{factor}: {large:?} {small:?}");
        expect_that!(small.refused * 200, le(small.sent), "{small:?}");
        expect_that!(small.waited * 50, le(small.sent), "{small:?}");
        expect_that!(large.expired * 100, le(large.sent), "{large:?}");
    }
}

/// Guards against the same when the large account has no quota and sends seven times its usual load.
#[gtest]
fn unlimited_rises() {
    let [large, small] = Site { large: 7.0, has_rises: true, has_accounts: true }.run();
    println!("{large:?} {small:?}");
    expect_that!(small.refused * 200, le(small.sent), "{small:?}");
    expect_that!(small.waited * 50, le(small.sent), "{small:?}");
    expect_that!(large.expired * 100, le(large.sent), "{large:?}");
}
