//! Tests of the read-only views that explain decisions, without a network.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        allowance::{self, Client, Decision, Ledger, Limit, Message},
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Outgoing, Place, Sync, Ticket,
            Urgency, Want, view::Obstacle,
        },
        failure::Failure,
        origin::Software,
        selector::{Selector, Suspicion, Upstream, short_id},
    },
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SHARD: u32 = 9;
const SLOTS: u32 = 2;
const START: Time = Time::from_millis(10_000);
const ACCOUNT: u64 = 7;

fn place(upstream: u32) -> Place {
    let (shard, slots, software) = (SHARD, SLOTS, Software(1));
    Place { upstream, shard, slots, data_centre: 1, software, leaving: false, start: 0 }
}

/// Returns a broker that has heard from all relays.
fn new_broker(upstreams: u32) -> Broker {
    let mut broker = Broker::new();
    broker.set_places((0..upstreams).map(place));
    let first = START - Duration::from_secs(1);
    let (ticket, class, charge) = (Ticket(1), Class::Batch, Charge::default());
    let held = vec![Held { ticket, upstream: 0, class, charge }];
    broker.sync(first, Holder(99), Sync { held, ..Sync::default() });
    broker.sync(first, Holder(99), Sync::default());
    broker
}

fn ask(ticket: u64, account: Option<u32>) -> Ask {
    Ask {
        ticket: Ticket(ticket),
        shard: SHARD,
        start_within: Duration::from_millis(180),
        data_centre: 1,
        connected: BTreeSet::new(),
        avoid: BTreeSet::new(),
        software: None,
        charge: Charge { account, priority: 1, tokens: 100 },
    }
}

fn answer_to(outgoing: &[Outgoing], ticket: u64) -> Option<Answer> {
    let answers = outgoing.iter().map(|(_, answer)| *answer);
    answers.into_iter().find(|answer| match answer {
        Answer::Granted { ticket: found, .. }
        | Answer::Queued { ticket: found, .. }
        | Answer::Refused { ticket: found, .. } => found.0 == ticket,
        Answer::Stop { .. } => false,
    })
}

/// Guards against an explanation that differs from the decision, or that changes what the broker grants: random
/// online requests of three accounts and batch items compete for the slots of three upstreams.
#[gtest]
fn same_as_ask() {
    let mut kinds = BTreeSet::new();
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut broker = new_broker(3);
        let mut untouched = new_broker(3);
        let holder = Holder(1);
        let mut granted = Vec::new();
        for ticket in 1..60 {
            let now = START + Duration::from_millis(ticket * 20);
            if random.random_bool(0.3) && !granted.is_empty() {
                let ended = granted.swap_remove(random.random_range(0..granted.len()));
                broker.release(now, holder, &[ended]);
                untouched.release(now, holder, &[ended]);
            }
            if random.random_bool(0.1) {
                let urgency = Urgency { late: false, due_ms: ticket };
                let (ticket, charge) = (Ticket(ticket), Charge::default());
                let want = Want { ticket, shard: SHARD, urgency, software: None, charge };
                let sync = || Sync { wants: vec![want], ..Sync::default() };
                broker.sync(now, Holder(2), sync());
                untouched.sync(now, Holder(2), sync());
            }
            let ask = ask(ticket, Some(random.random_range(0..3)));
            let views = broker.views(now, &ask);
            let preview = broker.preview(now, holder, &ask);
            let outgoing = broker.ask(now, holder, ask.clone());
            let answer = answer_to(&outgoing, ticket);
            expect_that!(preview.answer, eq(answer), "seed {seed}, ticket {ticket}");
            expect_that!(outgoing, eq(&untouched.ask(now, holder, ask)), "seed {seed}");
            let kind = match answer {
                Some(Answer::Granted { upstream, .. }) => {
                    granted.push(Ticket(ticket));
                    let view = views.iter().find(|view| view.upstream == upstream);
                    let obstacle = view.and_then(|view| view.obstacle);
                    let is_free = obstacle.is_none() || preview.stopped > 0;
                    expect_that!(is_free, eq(true), "seed {seed}, ticket {ticket}");
                    "granted"
                }
                Some(Answer::Queued { .. }) => "queued",
                Some(Answer::Refused { .. }) => "refused",
                Some(Answer::Stop { .. }) | None => "none",
            };
            kinds.insert(kind);
        }
    }
    expect_that!(kinds, eq(&BTreeSet::from(["granted", "queued", "refused"])));
}

/// Guards against an upstream that is passed over for another reason than the one that is told.
#[gtest]
fn obstacles() {
    let mut broker = new_broker(4);
    let places = (0..5).map(|upstream| Place { leaving: upstream == 1, ..place(upstream) });
    broker.set_places(places);
    let (class, charge) = (Class::Online, Charge::default());
    let held = (1..=2).map(|ticket| Held { ticket: Ticket(ticket), upstream: 2, class, charge });
    let sync = Sync { held: held.collect(), failed: [3].into(), ..Sync::default() };
    broker.sync(START, Holder(1), sync);
    let ask = Ask { avoid: [4].into(), ..ask(9, None) };
    let views = broker.views(START, &ask);
    let found: Vec<Option<Obstacle>> = views.iter().map(|view| view.obstacle).collect();
    let expected = [
        None,
        Some(Obstacle::Leaving),
        Some(Obstacle::Full),
        Some(Obstacle::Paused),
        Some(Obstacle::Avoided),
    ];
    expect_that!(found, eq(&expected.to_vec()));
    expect_that!(views[2].online, eq(2));
    expect_that!(views[3].failures, eq(1));
    let chosen = broker.preview(START, Holder(1), &ask).answer;
    expect_that!(matches!(chosen, Some(Answer::Granted { upstream: 0, .. })), eq(true));
}

/// Guards against a question that takes tokens of an account's quota, and against a level other than the one
/// by which the owner decides.
#[gtest]
fn tokens_untouched() {
    let limit = Limit { rate_milli: 1_000, burst_milli: 20_000 };
    let ask = |ticket| allowance::Ask {
        ticket,
        account: ACCOUNT,
        count: 1,
        limit,
        configuration: 1,
        report: None,
    };
    let mut ledger = Ledger::new();
    expect_that!(ledger.preview(START, ACCOUNT), none());
    let mut ticket = 0;
    let wait = loop {
        ticket += 1;
        let before = ledger.preview(START, ACCOUNT);
        for _ in 0..3 {
            expect_that!(ledger.preview(START, ACCOUNT), eq(before));
        }
        match ledger.ask(START, Holder(1), &ask(ticket)) {
            Message::Refused { wait, .. } => {
                expect_that!(before.and_then(|(_, wait)| wait), some(eq(wait)));
                break wait;
            }
            _ => expect_that!(before.is_none_or(|(level, _)| level >= 1.0), eq(true)),
        }
    };
    let mut client = Client::new();
    expect_that!(client.preview(START, ACCOUNT, limit), eq(Decision::Ask(1)));
    expect_that!(client.take(START, ACCOUNT, limit), eq(Decision::Ask(1)));
    client.record_refusal(START, ACCOUNT, 5, (START, wait), (limit, 0));
    expect_that!(client.stated(START, ACCOUNT), some(eq((5, Duration::ZERO, 0))));
    let previewed = client.preview(START, ACCOUNT, limit);
    expect_that!(client.preview(START, ACCOUNT, limit), eq(previewed));
    expect_that!(client.take(START, ACCOUNT, limit), eq(previewed));
}

/// Guards against an ejected upstream that is shown as sound, and against a question that counts as a refusal and
/// so makes `Retry-After` longer.
#[gtest]
fn selector_views() {
    let upstream = |id: &str| Upstream {
        id: id.to_owned(),
        deployment: "chat".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: Some(SLOTS),
        leaving: id == "u2",
        born: None,
    };
    let listed = ["u0", "u1", "u2"].map(|id| (id.to_owned(), upstream(id)));
    let mut selector = Selector::new("a");
    selector.set_upstreams(&BTreeMap::from(listed));
    let key = selector.key_of("u1").unwrap();
    selector.record_failure(key, Failure::NotSent, START);
    let views = selector.views("chat", START);
    let states: Vec<_> = views.iter().map(|view| (view.suspicion, view.is_leaving)).collect();
    let expected = [(None, false), (Some(Suspicion::Failed), false), (None, true)];
    expect_that!(states, eq(&expected.to_vec()));
    expect_that!(views[1].ejection, gt(Duration::ZERO));
    expect_that!(views[1].short_id, eq(short_id("u1")));

    let later = START + Duration::from_millis(500);
    let wait = Duration::from_millis(10);
    expect_that!(selector.retry_after("chat", wait, START), eq(wait));
    expect_that!(selector.record_refusal("chat", wait, START), eq(wait));
    let expected = selector.retry_after("chat", wait, later);
    expect_that!(selector.retry_after("chat", wait, later), eq(expected));
    expect_that!(selector.record_refusal("chat", wait, later), eq(expected));
    let over = later + Duration::from_secs(2);
    expect_that!(selector.retry_after("chat", wait, over), eq(wait));
}
