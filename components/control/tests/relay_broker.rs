//! Tests of the broker that grants the slots of upstreams to all relays.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Measure, Outgoing, Place, Sync,
            Ticket, Urgency, Want,
        },
        origin::Software,
    },
    time::Time,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SHARD: u32 = 9;
const V1: Software = Software(1);
const V2: Software = Software(2);
const SLOTS: u32 = 4;
const SERVICE: Duration = Duration::from_millis(500);
const START_WITHIN: Duration = Duration::from_millis(180);
const NOW: Time = Time::from_millis(10_000);

fn place(upstream: u32) -> Place {
    Place {
        upstream,
        shard: SHARD,
        slots: SLOTS,
        data_centre: 1,
        software: V1,
        leaving: false,
        start: 0,
    }
}

fn new_broker(upstreams: u32) -> Broker {
    let mut broker = Broker::new();
    broker.set_places((0..upstreams).map(place));
    broker
}

/// Returns a broker that has heard from all relays.
fn broker(upstreams: u32) -> Broker {
    let mut broker = new_broker(upstreams);
    let (holder, first) = (Holder(99), NOW - Duration::from_secs(1));
    let held =
        Held { ticket: Ticket(1), upstream: 0, class: Class::Batch, charge: Charge::default() };
    broker.sync(first, holder, Sync { held: vec![held], ..Sync::default() });
    broker.sync(first, holder, Sync::default());
    broker
}

fn ask(ticket: u64) -> Ask {
    Ask {
        ticket: Ticket(ticket),
        shard: SHARD,
        start_within: START_WITHIN,
        data_centre: 1,
        connected: BTreeSet::new(),
        avoid: BTreeSet::new(),
        software: None,
        charge: Charge::default(),
    }
}

fn want(ticket: u64, due_ms: u64) -> Want {
    let urgency = Urgency { late: false, due_ms };
    Want {
        ticket: Ticket(ticket),
        shard: SHARD,
        urgency,
        software: None,
        charge: Charge::default(),
    }
}

fn wants(tickets: std::ops::Range<u64>) -> Sync {
    Sync { wants: tickets.map(|ticket| want(ticket, 1_000 + ticket)).collect(), ..Sync::default() }
}

/// Returns the upstreams granted to a relay.
fn granted(outgoing: &[Outgoing], to: Holder) -> Vec<(Ticket, u32)> {
    let answers = outgoing.iter().filter(|(holder, _)| *holder == to);
    let grants = answers.filter_map(|(_, answer)| match answer {
        Answer::Granted { ticket, upstream, .. } => Some((*ticket, *upstream)),
        _ => None,
    });
    grants.collect()
}

fn stopped(outgoing: &[Outgoing], to: Holder) -> Vec<Ticket> {
    let answers = outgoing.iter().filter(|(holder, _)| *holder == to);
    let stops = answers.filter_map(|(_, answer)| match answer {
        Answer::Stop { ticket } => Some(*ticket),
        _ => None,
    });
    stops.collect()
}

fn is_refused(outgoing: &[Outgoing], ticket: u64) -> bool {
    let refused = |answer: &Answer| matches!(answer, Answer::Refused { ticket: found, .. } if found.0 == ticket);
    outgoing.iter().any(|(_, answer)| refused(answer))
}

/// Guards against more batch streams than slots when many relays have waiting items: the streams
/// would queue at the upstreams, ahead of online requests.
#[gtest]
fn many_relays_with_items() {
    let mut broker = broker(3);
    let mut started = 0;
    for relay in 0..20 {
        let outgoing = broker.sync(NOW, Holder(relay), wants(0..5));
        started += granted(&outgoing, Holder(relay)).len();
    }
    expect_that!(started, eq((3 * SLOTS) as usize));
}

/// Guards against online requests that wait behind batch streams: a step in traffic must stop as
/// many streams as it needs, each once, the least urgent first.
#[gtest]
fn step_stops_batch() {
    let mut broker = broker(2);
    let batch = Holder(1);
    expect_that!(granted(&broker.sync(NOW, batch, wants(0..8)), batch).len(), eq(8));
    let mut stops = Vec::new();
    let mut grants = 0;
    for ticket in 0..5 {
        let outgoing = broker.ask(NOW, Holder(2), ask(ticket));
        stops.extend(stopped(&outgoing, batch));
        grants += granted(&outgoing, Holder(2)).len();
    }
    expect_that!(grants, eq(5));
    let expected: Vec<Ticket> = (3..8).rev().map(Ticket).collect();
    expect_that!(stops, eq(&expected));
}

/// Guards against batch items that take the slots that the next online requests need, and so are
/// stopped again at once.
#[gtest]
fn reserve_for_online() {
    let mut broker = broker(50);
    let online = Holder(1);
    for ticket in 0..100 {
        broker.ask(NOW, online, ask(ticket));
    }
    let outgoing = broker.sync(NOW, Holder(2), wants(0..150));
    // 100 requests of 500 ms: ten arrive in the time that the reserve covers.
    expect_that!(granted(&outgoing, Holder(2)).len(), eq(90));
}

/// Guards against requests that wait although no slot can become free in time, and against refusals
/// while slots are free.
#[gtest]
fn early_refusal() {
    let mut broker = broker(2);
    let holder = Holder(1);
    for ticket in 0..8 {
        expect_that!(granted(&broker.ask(NOW, holder, ask(ticket)), holder).len(), eq(1));
    }
    // Eight slots become free in 500 ms, so that two requests can start within 180 ms.
    expect_that!(is_refused(&broker.ask(NOW, holder, ask(8)), 8), is_false());
    expect_that!(is_refused(&broker.ask(NOW, holder, ask(9)), 9), is_false());
    expect_that!(is_refused(&broker.ask(NOW, holder, ask(10)), 10), is_true());
    expect_that!(broker.release(NOW, holder, &[Ticket(3)]), not(is_empty()));
    let later = NOW + START_WITHIN + Duration::from_millis(1);
    expect_that!(is_refused(&broker.tick(later), 9), is_true());
}

/// Guards against a slot that two requests get, or that stays in use, when messages are repeated or
/// lost.
#[gtest]
fn lost_messages() {
    let mut broker = broker(1);
    let holder = Holder(1);
    let first = granted(&broker.ask(NOW, holder, ask(1)), holder);
    expect_that!(granted(&broker.ask(NOW, holder, ask(1)), holder), eq(&first));
    for ticket in 2..=4 {
        broker.ask(NOW, holder, ask(ticket));
    }
    // The releases of the tickets 1 to 3 are lost. The next state of the relay repairs that.
    let held =
        Held { ticket: Ticket(4), upstream: 0, class: Class::Online, charge: Charge::default() };
    broker.sync(NOW, holder, Sync { held: vec![held], ..Sync::default() });
    let outgoing = broker.sync(NOW, Holder(2), wants(0..4));
    expect_that!(granted(&outgoing, Holder(2)).len(), eq(3));
    // The answers are lost. The relay still wants the slots and gets the same ones.
    let again = broker.sync(NOW, Holder(2), wants(0..4));
    expect_that!(granted(&again, Holder(2)).len(), eq(3));
}

/// Guards against slots that stay in use after the relay that held them has died.
#[gtest]
fn dead_relay() {
    let mut broker = broker(1);
    for ticket in 0..4 {
        broker.ask(NOW, Holder(1), ask(ticket));
    }
    let later = NOW + Duration::from_secs(2);
    broker.sync(later, Holder(2), wants(0..4));
    expect_that!(granted(&broker.tick(later), Holder(2)).len(), ge(3));
}

/// Guards against a new broker that grants slots which relays hold from the earlier broker.
#[gtest]
fn change_of_broker() {
    let mut broker = broker(1);
    let held = (0..3).map(|number| Held {
        ticket: Ticket(number),
        upstream: 0,
        class: Class::Online,
        charge: Charge::default(),
    });
    let sync = Sync { held: held.collect(), ..Sync::default() };
    broker.sync(NOW, Holder(1), sync.clone());
    broker.sync(NOW, Holder(1), sync);
    let outgoing: Vec<Outgoing> =
        (10..12).flat_map(|ticket| broker.ask(NOW, Holder(2), ask(ticket))).collect();
    expect_that!(granted(&outgoing, Holder(2)).len(), eq(1));
}

/// Guards against upstreams that stay overfull, so that all online requests are refused: after all
/// relays have restarted, several brokers grant the same slots to batch items for a moment.
#[gtest]
fn overfull_upstream() {
    let mut broker = broker(1);
    let held = (0..7).map(|ticket| Held {
        ticket: Ticket(ticket),
        upstream: 0,
        class: Class::Batch,
        charge: Charge::default(),
    });
    let outgoing = broker.sync(NOW, Holder(1), Sync { held: held.collect(), ..Sync::default() });
    expect_that!(stopped(&outgoing, Holder(1)), len(eq(3)));
    let outgoing = broker.ask(NOW, Holder(2), ask(20));
    expect_that!(granted(&outgoing, Holder(2)), len(eq(1)));
}

/// Guards against a new broker that grants batch items the slots that other relays still hold: it
/// waits until all of them have told it, but serves online requests at once.
#[gtest]
fn new_broker_learns() {
    let mut broker = new_broker(1);
    expect_that!(granted(&broker.ask(NOW, Holder(2), ask(20)), Holder(2)), len(eq(1)));
    expect_that!(granted(&broker.sync(NOW, Holder(1), wants(0..9)), Holder(1)), is_empty());
    let held = (0..2).map(|ticket| Held {
        ticket: Ticket(ticket),
        upstream: 0,
        class: Class::Batch,
        charge: Charge::default(),
    });
    broker.sync(
        NOW + Duration::from_millis(400),
        Holder(3),
        Sync { held: held.collect(), ..Sync::default() },
    );
    let outgoing = broker.tick(NOW + Duration::from_millis(700));
    expect_that!(granted(&outgoing, Holder(1)), len(eq(1)));
}

/// Guards against new work at an upstream that is leaving, that this request has tried, or that
/// relays report as failed, and against reports of one disconnected relay that exclude all.
#[gtest]
fn unusable_upstreams() {
    let mut broker = broker(4);
    broker.set_places((0..4).map(|id| Place { leaving: id == 0, ..place(id) }));
    broker.sync(NOW, Holder(7), Sync { failed: [1].into(), ..Sync::default() });
    broker.sync(NOW, Holder(8), Sync { failed: [0, 1, 2, 3].into(), ..Sync::default() });
    let avoiding = Ask { avoid: [2].into(), ..ask(1) };
    let outgoing = broker.ask(NOW, Holder(1), avoiding);
    expect_that!(granted(&outgoing, Holder(1)), elements_are![eq(&(Ticket(1), 3))]);
}

/// Returns a broker of two upstreams of the first software version and two of the second.
fn mixed_broker() -> Broker {
    let mut broker = broker(4);
    let software = |id| if id < 2 { V1 } else { V2 };
    broker.set_places((0..4).map(|id| Place { software: software(id), ..place(id) }));
    broker
}

/// Guards against a stream or a text that is continued at another software version, and against one
/// that waits for slots of its version holding up the others.
#[gtest]
fn software_versions() {
    let mut broker = mixed_broker();
    let of_first = |ticket| Ask { software: Some(V1), ..ask(ticket) };
    for ticket in 0..u64::from(2 * SLOTS) {
        let granted = granted(&broker.ask(NOW, Holder(1), of_first(ticket)), Holder(1));
        expect_that!(granted, elements_are![(eq(&Ticket(ticket)), lt(&2))]);
    }
    expect_that!(granted(&broker.ask(NOW, Holder(1), of_first(50)), Holder(1)), is_empty());
    let text = Want { software: Some(V1), ..want(51, 1_000) };
    let new = want(52, 2_000);
    let sync = Sync { wants: vec![text, new], ..Sync::default() };
    expect_that!(granted(&broker.sync(NOW, Holder(2), sync), Holder(2)), is_empty());
    let outgoing = broker.release(NOW, Holder(1), &[Ticket(50)]);
    expect_that!(granted(&outgoing, Holder(2)), elements_are![(eq(&Ticket(52)), ge(&2))]);
    let outgoing = broker.release(NOW, Holder(1), &[Ticket(0), Ticket(1), Ticket(2)]);
    expect_that!(granted(&outgoing, Holder(2)), elements_are![(eq(&Ticket(51)), lt(&2))]);
}

/// Guards against stopping a batch stream of another software version for a stream that cannot use
/// its slot.
#[gtest]
fn preemption_by_version() {
    let mut broker = mixed_broker();
    let outgoing = broker.sync(NOW, Holder(1), wants(0..u64::from(4 * SLOTS)));
    let at = granted(&outgoing, Holder(1)).into_iter().collect::<BTreeMap<_, _>>();
    expect_that!(at.len(), eq(4 * SLOTS as usize));
    let outgoing = broker.ask(NOW, Holder(2), Ask { software: Some(V2), ..ask(90) });
    expect_that!(granted(&outgoing, Holder(2)), elements_are![(eq(&Ticket(90)), ge(&2))]);
    let stopped: Vec<u32> = stopped(&outgoing, Holder(1)).iter().map(|ticket| at[ticket]).collect();
    expect_that!(stopped, elements_are![ge(&2)]);
}

/// Guards against new streams that take the slots of the few upstreams at which a broken stream can be
/// continued, while its caller waits.
#[gtest]
fn continued_first() {
    let mut broker = mixed_broker();
    let mut at_first = Vec::new();
    for ticket in 0..u64::from(4 * SLOTS) {
        let granted = granted(&broker.ask(NOW, Holder(1), ask(ticket)), Holder(1));
        at_first.extend(granted.iter().filter(|(_, upstream)| *upstream < 2).map(|(id, _)| *id));
    }
    let new = Ask { start_within: Duration::from_millis(100), ..ask(50) };
    broker.ask(NOW, Holder(2), new);
    let start_within = Duration::from_secs(3);
    let continued = Ask { software: Some(V1), start_within, ..ask(51) };
    broker.ask(NOW, Holder(2), continued);
    // A connection to the upstream does not let a new stream overtake.
    let connected = Ask { connected: [0, 1].into(), ..ask(52) };
    broker.ask(NOW, Holder(3), connected);
    let outgoing = broker.release(NOW, Holder(1), &at_first[..1]);
    expect_that!(granted(&outgoing, Holder(2)), elements_are![(eq(&Ticket(51)), lt(&2))]);
    expect_that!(granted(&outgoing, Holder(3)), is_empty());
    broker.release(NOW, Holder(3), &[Ticket(52)]);
    let outgoing = broker.release(NOW, Holder(1), &at_first[1..2]);
    expect_that!(granted(&outgoing, Holder(2)), elements_are![(eq(&Ticket(50)), lt(&2))]);
}

/// Guards against a request that waits although no upstream has the version that began its stream.
#[gtest]
fn unknown_version() {
    let mut broker = mixed_broker();
    let outgoing = broker.ask(NOW, Holder(1), Ask { software: Some(Software(3)), ..ask(1) });
    expect_that!(is_refused(&outgoing, 1), eq(true));
}

/// Guards against a request that waits although it may be sent to none of the upstreams.
#[gtest]
fn avoided_upstreams() {
    let mut broker = broker(2);
    let outgoing = broker.ask(NOW, Holder(1), Ask { avoid: [0, 1].into(), ..ask(1) });
    expect_that!(is_refused(&outgoing, 1), eq(true));
}

/// Guards against requests that all go to failed upstreams because these have free slots: while the
/// others are full, requests wait, and after the relay that reported the failure has forgotten it, a
/// single request tries the upstream.
#[gtest]
fn failed_upstreams_attract_no_load() {
    let mut broker = broker(2);
    let report = |failed: BTreeSet<u32>| Sync { failed, ..Sync::default() };
    broker.sync(NOW, Holder(7), report([0].into()));
    for ticket in 0..4 {
        let outgoing = broker.ask(NOW, Holder(1), ask(ticket));
        expect_that!(granted(&outgoing, Holder(1))[0].1, eq(1));
    }
    expect_that!(granted(&broker.ask(NOW, Holder(1), ask(4)), Holder(1)), is_empty());
    broker.release(NOW, Holder(1), &[Ticket(4)]);
    let later = NOW + Duration::from_millis(400);
    broker.sync(later, Holder(7), report(BTreeSet::new()));
    let held = (0..4).map(|ticket| Held {
        ticket: Ticket(ticket),
        upstream: 1,
        class: Class::Online,
        charge: Charge::default(),
    });
    broker.sync(later, Holder(1), Sync { held: held.collect(), ..Sync::default() });
    expect_that!(granted(&broker.ask(later, Holder(2), ask(5)), Holder(2)), len(eq(1)));
    expect_that!(granted(&broker.ask(later, Holder(2), ask(6)), Holder(2)), is_empty());
    // The probe fails, so the next one has to wait longer.
    broker.release(later, Holder(2), &[Ticket(5), Ticket(6)]);
    broker.sync(later, Holder(2), report([0].into()));
    let soon = later + Duration::from_millis(500);
    broker.sync(soon, Holder(2), report(BTreeSet::new()));
    expect_that!(granted(&broker.ask(soon, Holder(2), ask(7)), Holder(2)), is_empty());
    broker.release(soon, Holder(2), &[Ticket(7)]);
    let last = later + Duration::from_millis(700);
    expect_that!(granted(&broker.ask(last, Holder(2), ask(8)), Holder(2)), len(eq(1)));
    // The probe is answered, which admits two requests, and each further answer more, up to all slots.
    let answered = |ticket| Measure {
        ticket: Ticket(ticket),
        first: Duration::from_millis(50),
        ..Measure::default()
    };
    broker.measure(last, Holder(2), &[answered(8)]);
    broker.release(last, Holder(2), &[Ticket(8)]);
    let end = last + Duration::from_millis(60);
    for ticket in 9..11 {
        expect_that!(granted(&broker.ask(end, Holder(2), ask(ticket)), Holder(2)), len(eq(1)));
    }
    expect_that!(granted(&broker.ask(end, Holder(2), ask(11)), Holder(2)), is_empty());
    let outgoing = broker.measure(end, Holder(2), &[answered(9), answered(10)]);
    expect_that!(granted(&outgoing, Holder(2)), elements_are![eq(&(Ticket(11), 0))]);
    expect_that!(granted(&broker.ask(end, Holder(2), ask(12)), Holder(2)), len(eq(1)));
}

/// Guards against a new connection for each request: an upstream with an idle connection of the
/// relay goes first while it has a free slot.
#[gtest]
fn open_connections() {
    let mut broker = broker(40);
    for ticket in 0..u64::from(SLOTS) {
        let connected = Ask { connected: [17].into(), ..ask(ticket) };
        let outgoing = broker.ask(NOW, Holder(1), connected);
        expect_that!(granted(&outgoing, Holder(1))[0].1, eq(17));
    }
    let full = Ask { connected: [17].into(), ..ask(90) };
    expect_that!(granted(&broker.ask(NOW, Holder(1), full), Holder(1))[0].1, ne(17));
}

/// Guards against new connections in a step of traffic, when slots become free one by one: a waiting
/// request whose relay has a connection to the upstream goes first, but the others are not put off
/// for more than half of their time.
#[gtest]
fn connections_in_steps() {
    let mut broker = broker(2);
    for ticket in 0..8 {
        broker.ask(NOW, Holder(1), ask(ticket));
    }
    broker.ask(NOW, Holder(2), ask(20));
    broker.ask(NOW, Holder(3), Ask { connected: [0, 1].into(), ..ask(30) });
    let outgoing = broker.release(NOW, Holder(1), &[Ticket(0)]);
    expect_that!(granted(&outgoing, Holder(3)), len(eq(1)));
    let soon = NOW + Duration::from_millis(60);
    broker.ask(soon, Holder(3), Ask { connected: [0, 1].into(), ..ask(31) });
    let later = NOW + START_WITHIN * 3 / 4;
    let outgoing = broker.release(later, Holder(1), &[Ticket(1)]);
    expect_that!(granted(&outgoing, Holder(2)), len(eq(1)));
}

/// Guards against lost or doubled slots under random requests, releases, states of relays that are
/// lost or late, relays that die, and upstreams that come and go: an upstream never has more grants
/// than slots, and once all messages arrive again, every slot can be granted.
#[gtest]
fn random_schedules() {
    const RELAYS: usize = 6;
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut broker = broker(5);
        let mut now = NOW;
        let mut held: Vec<Vec<Held>> = vec![Vec::new(); RELAYS];
        let mut next = 1_000;
        let mut reported = [now; RELAYS];
        let receive = |outgoing: Vec<Outgoing>, held: &mut Vec<Vec<Held>>| {
            for (holder, answer) in outgoing {
                let list = &mut held[holder.0 as usize];
                match answer {
                    Answer::Granted { ticket, upstream, .. } => {
                        let class = if ticket.0 % 2 == 0 { Class::Online } else { Class::Batch };
                        list.retain(|held| held.ticket != ticket);
                        list.push(Held { ticket, upstream, class, charge: Charge::default() });
                    }
                    Answer::Stop { ticket } => list.retain(|held| held.ticket != ticket),
                    Answer::Queued { .. } | Answer::Refused { .. } => {}
                }
            }
        };
        for _ in 0..400 {
            now = now + Duration::from_millis(random.random_range(1..30));
            let relay = random.random_range(0..RELAYS);
            let holder = Holder(relay as u64);
            next += 2;
            let outgoing = match random.random_range(0..10) {
                0..4 => broker.ask(now, holder, ask(next)),
                4 => {
                    let wants = vec![want(next + 1, random.random_range(0..50))];
                    broker.sync(
                        now,
                        holder,
                        Sync { held: held[relay].clone(), wants, ..Sync::default() },
                    )
                }
                5..8 if !held[relay].is_empty() => {
                    let index = random.random_range(0..held[relay].len());
                    let ended = held[relay].swap_remove(index);
                    // A lost release is repaired by the next state.
                    match random.random_range(0..4) {
                        0 => Vec::new(),
                        _ => broker.release(now, holder, &[ended.ticket]),
                    }
                }
                8 => {
                    let leaving = random.random_range(0..5);
                    broker
                        .set_places((0..5).map(|id| Place { leaving: id == leaving, ..place(id) }));
                    Vec::new()
                }
                _ => broker.tick(now),
            };
            receive(outgoing, &mut held);
            for relay in 0..RELAYS {
                if now.since(reported[relay]) >= Duration::from_millis(500) {
                    reported[relay] = now;
                    let state = Sync { held: held[relay].clone(), ..Sync::default() };
                    receive(broker.sync(now, Holder(relay as u64), state), &mut held);
                }
            }
            for upstream in 0..5 {
                let used = held.iter().flatten().filter(|held| held.upstream == upstream).count();
                assert!(used <= SLOTS as usize, "seed {seed}: {used} grants at {upstream}");
            }
        }
        for relay in 0..RELAYS {
            broker.sync(now, Holder(relay as u64), Sync::default());
        }
        broker.set_places((0..5).map(place));
        let free = (0..5 * u64::from(SLOTS)).filter(|ticket| {
            let asked = ask(100_000 + ticket);
            !granted(&broker.ask(now, Holder(0), asked), Holder(0)).is_empty()
        });
        assert_eq!(free.count(), 5 * SLOTS as usize, "seed {seed}");
    }
}

/// Guards against an estimate of the wait that ignores how long requests take.
#[gtest]
fn service_time() {
    let mut broker = broker(1);
    let mut now = NOW;
    for ticket in 0..200 {
        broker.ask(now, Holder(1), ask(ticket));
        now = now + Duration::from_millis(40);
        broker.release(now, Holder(1), &[Ticket(ticket)]);
    }
    for ticket in 1_000..1_004 {
        broker.ask(now, Holder(1), ask(ticket));
    }
    let wait = broker.load(now, SHARD).wait;
    expect_that!(wait, le(SERVICE / 10));
    expect_that!(wait, ge(Duration::from_millis(5)));
}

/// Guards against a new start of an upstream that is suspended because the earlier start under its id failed.
#[gtest]
fn new_start() {
    let mut broker = broker(4);
    let relay = Holder(1);
    broker.sync(NOW, relay, Sync { failed: [0].into(), ..Sync::default() });
    broker.set_places((0..4).map(|id| Place { start: 7, ..place(id) }));
    let slots = 4 * u64::from(SLOTS);
    let outgoing: Vec<Outgoing> =
        (0..slots).flat_map(|ticket| broker.ask(NOW, relay, ask(ticket))).collect();
    expect_that!(granted(&outgoing, relay).len(), eq(16));
}
