//! Tests of the limits on upstreams that have failed or just started, under more requests than the others take.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Measure, Outgoing, Place, Sync,
            Ticket,
        },
        origin::Software,
    },
    time::Time,
};
use googletest::prelude::*;

const SHARD: u32 = 9;
const SLOTS: u32 = 8;
const UPSTREAMS: u32 = 4;
const NOW: Time = Time(1_000_000_000);
const RELAY: Holder = Holder(1);
/// Time to the first event at an upstream that is well.
const FIRST: Duration = Duration::from_millis(50);

fn place(upstream: u32, start: u64) -> Place {
    Place {
        upstream,
        shard: SHARD,
        slots: SLOTS,
        data_centre: 1,
        software: Software(1),
        leaving: false,
        start,
    }
}

/// A broker and the requests that it was asked for.
struct Bench {
    broker: Broker,
    tickets: u64,
    /// Requests at the upstream 0.
    running: Vec<Ticket>,
}

impl Bench {
    /// Creates a broker whose upstreams, but for the one with the id 0, are full for as long as a test lasts.
    fn new() -> Self {
        let mut broker = Broker::new();
        broker.set_places((0..UPSTREAMS).map(|id| place(id, 0)));
        let mut bench = Self { broker, tickets: 1_000, running: Vec::new() };
        bench.hold(NOW);
        // What is usual is learned from upstreams that are not limited.
        let usual = Measure { ticket: Ticket(1), first: FIRST, ..Measure::default() };
        bench.broker.measure(NOW, Holder(2), &[usual]);
        bench
    }

    /// Repeats the state of the relay whose requests fill the other upstreams.
    fn hold(&mut self, now: Time) {
        let held = (1..UPSTREAMS).flat_map(|upstream| {
            (0..SLOTS).map(move |slot| Held {
                ticket: Ticket(u64::from(upstream * SLOTS + slot) - u64::from(SLOTS) + 1),
                upstream,
                class: Class::Online,
                charge: Charge::default(),
            })
        });
        self.broker.sync(now, Holder(2), Sync { held: held.collect(), ..Sync::default() });
    }

    /// Reports the upstream 0 as failed, and takes the report back when the time of the relay's own ejection is
    /// over.
    fn fail(&mut self, now: Time) {
        self.broker.sync(now, Holder(3), Sync { failed: [0].into(), ..Sync::default() });
        self.broker.sync(now, Holder(3), Sync::default());
    }

    /// Asks for `count` slots. Returns the tickets of those that were granted.
    fn ask(&mut self, now: Time, count: usize) -> Vec<Ticket> {
        let mut granted = Vec::new();
        for _ in 0..count {
            self.tickets += 1;
            let ask = Ask {
                ticket: Ticket(self.tickets),
                shard: SHARD,
                start_within: Duration::from_millis(200),
                data_centre: 1,
                connected: [].into(),
                avoid: [].into(),
                software: None,
                charge: Charge::default(),
            };
            granted.extend(tickets(&self.broker.ask(now, RELAY, ask)));
        }
        self.running.extend(&granted);
        // Withdraws the requests that wait.
        let held = self.running.iter().map(|ticket| held(*ticket)).collect();
        self.broker.sync(now, RELAY, Sync { held, ..Sync::default() });
        granted
    }

    /// Reports the time to the first event of requests.
    fn answer(&mut self, now: Time, tickets: &[Ticket], first: Duration) {
        let measure = |ticket: &Ticket| Measure { ticket: *ticket, first, ..Measure::default() };
        let measures: Vec<Measure> = tickets.iter().map(measure).collect();
        self.broker.measure(now, RELAY, &measures);
    }

    fn release(&mut self, now: Time, tickets: &[Ticket]) {
        self.running.retain(|ticket| !tickets.contains(ticket));
        self.broker.release(now, RELAY, tickets);
    }
}

fn held(ticket: Ticket) -> Held {
    Held { ticket, upstream: 0, class: Class::Online, charge: Charge::default() }
}

fn tickets(outgoing: &[Outgoing]) -> Vec<Ticket> {
    let granted = outgoing.iter().filter_map(|(holder, answer)| match answer {
        Answer::Granted { ticket, .. } if *holder == RELAY => Some(*ticket),
        _ => None,
    });
    granted.collect()
}

/// Guards against an upstream that is flooded when its pause after a failure is over, and against one that is
/// left idle until the end of a whole request although its first events are prompt.
#[gtest]
fn recovered_upstream() {
    let mut bench = Bench::new();
    bench.fail(NOW);
    expect_that!(bench.ask(NOW + Duration::from_millis(200), 20), is_empty());
    let mut now = NOW + Duration::from_millis(310);
    for expected in [1, 1, 2, 4] {
        let granted = bench.ask(now, 20);
        expect_that!(granted.len(), eq(expected));
        now = now + FIRST;
        bench.hold(now);
        bench.answer(now, &granted, FIRST);
    }
    // 200 ms after the first request, all slots are in use.
    expect_that!(bench.running.len(), eq(SLOTS as usize));
}

/// Guards against an upstream that gets ever more requests although it answers slowly.
#[gtest]
fn slow_answers() {
    let mut bench = Bench::new();
    bench.fail(NOW);
    let now = NOW + Duration::from_millis(310);
    let first = bench.ask(now, 5);
    bench.answer(now, &first, FIRST);
    bench.release(now, &first);
    let second = bench.ask(now, 5);
    expect_that!(second.len(), eq(2));
    bench.answer(now, &second[..1], FIRST * 5);
    bench.release(now, &second);
    expect_that!(bench.ask(now, 5).len(), eq(1));
}

/// Guards against pauses that stay short while an upstream fails each time it is tried.
#[gtest]
fn flapping_upstream() {
    let mut bench = Bench::new();
    let mut now = NOW;
    for pause_ms in [300, 600, 1_200, 2_400, 4_000, 4_000] {
        bench.fail(now);
        let pause = Duration::from_millis(pause_ms);
        bench.hold(now + pause);
        let early = bench.ask(now + pause.mul_f64(0.9), 5);
        expect_that!(early, is_empty(), "{pause_ms} ms");
        now = now + pause + Duration::from_millis(1);
        let probe = bench.ask(now, 5);
        expect_that!(probe.len(), eq(1), "{pause_ms} ms");
        bench.release(now, &probe);
    }
}

/// Guards against a limit that stays low because nobody sends requests that would raise it.
#[gtest]
fn unused_upstream() {
    let mut bench = Bench::new();
    bench.fail(NOW);
    let later = NOW + Duration::from_millis(300) + Duration::from_secs(8);
    bench.hold(later);
    bench.broker.tick(later);
    expect_that!(bench.ask(later, 20).len(), eq(SLOTS as usize));
}

/// Guards against an upstream that stays limited to one request after a failure, because its requests end without a
/// measure: relays of the build before send none, and requests that upstreams reject have none.
#[gtest]
fn unmeasured_answers() {
    let mut bench = Bench::new();
    bench.fail(NOW);
    let mut now = NOW + Duration::from_millis(310);
    let mut running = Vec::new();
    for _ in 0..24 {
        running.extend(bench.ask(now, 20));
        now = now + Duration::from_millis(500);
        bench.hold(now);
        bench.broker.tick(now);
        bench.release(now, &std::mem::take(&mut running));
        now = now + Duration::from_millis(60);
    }
    bench.broker.tick(now);
    // The limit has grown by one each second for 13 s.
    expect_that!(bench.ask(now, 20).len(), eq(SLOTS as usize));
}

/// Guards against an upstream that is flooded right after its start in the middle of a rise, and against a new
/// broker that takes all upstreams for new ones.
#[gtest]
fn started_upstream() {
    let mut bench = Bench::new();
    bench.broker.set_places((0..UPSTREAMS).map(|id| place(id, u64::from(id == 0))));
    let granted = bench.ask(NOW, 20);
    expect_that!(granted.len(), eq(2));
    let mut new = Broker::new();
    new.set_places((0..UPSTREAMS).map(|id| place(id, 1)));
    let mut other = Bench { broker: new, tickets: 1_000, running: Vec::new() };
    expect_that!(other.ask(NOW, 40).len(), eq((UPSTREAMS * SLOTS) as usize));
}

/// Guards against a broker that begins with all slots of an upstream which its predecessor had limited.
#[gtest]
fn lost_broker() {
    let mut bench = Bench::new();
    bench.fail(NOW);
    let now = NOW + Duration::from_millis(310);
    let paces = bench.broker.paces(now);
    expect_that!(paces.len(), eq(1));
    let mut next = Bench::new();
    next.broker.sync(now, Holder(4), Sync { paces, ..Sync::default() });
    expect_that!(next.ask(now, 20).len(), eq(1));
}

/// Guards against a relay that is asked for no slots, and limits the upstreams of a list that it reads in parts: it
/// would name thousands of them in each acknowledgement.
#[gtest]
fn growing_list() {
    let mut broker = Broker::new();
    for count in 1..=40 {
        broker.set_places((0..count * 100).map(|id| Place { shard: id / 64, ..place(id, 0) }));
        broker.tick(NOW);
        broker.sync(NOW, RELAY, Sync::default());
    }
    expect_that!(broker.paces(NOW), is_empty());
}
