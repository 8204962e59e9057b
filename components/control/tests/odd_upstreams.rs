//! Property tests of the state machines that are fed with entries of upstreams as other writers may have
//! left them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{
            Answer, Ask, Broker, Charge, Class, Held, Holder, Place, Sync, Ticket, Urgency, Want,
        },
        failure::Failure,
        limit::{News, Rate},
        origin::Software,
        registry::Registry,
        selector::{Choice, Selector, Upstream},
    },
    time::Time,
};
use proptest::{prelude::*, test_runner::RngSeed};

const SHARD: u32 = 9;
const SOFTWARE: Software = Software(1);
/// Slots of the upstream that is in order.
const SLOTS: u32 = 4;
/// When the relays first told the broker what they hold.
const START: Time = Time::from_millis(10_000);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    }
}

fn number() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX),
        Just(u32::MAX - 1),
        Just(u32::MAX / 1_000),
        Just(u32::MAX / 1_000 + 1),
        1..100_u32,
        any::<u32>(),
    ]
}

fn place(upstream: u32, slots: u32) -> Place {
    Place {
        upstream,
        shard: SHARD,
        slots,
        data_centre: 1,
        software: SOFTWARE,
        leaving: false,
        start: 0,
    }
}

fn ask(ticket: u64, start_within: Duration) -> Ask {
    Ask {
        ticket: Ticket(ticket),
        shard: SHARD,
        start_within,
        data_centre: 1,
        connected: BTreeSet::new(),
        avoid: BTreeSet::new(),
        software: None,
        charge: Charge::default(),
    }
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![Just(String::new()), Just("chat".to_owned()), any::<String>()]
}

prop_compose! {
    fn upstream()(
        id in text(),
        deployment in text(),
        data_centre in text(),
        version in text(),
        address in any::<SocketAddr>(),
        slots in proptest::option::of(number()),
        leaving in any::<bool>(),
        born in any::<Option<u64>>(),
    ) -> Upstream {
        Upstream { id, deployment, address, data_centre, version, slots, leaving, born }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against sums and products of slots that overflow, which ends the task that answers other
    /// relays, or leaves free slots unused where overflows wrap.
    #[test]
    fn broker_slots(
        slots in proptest::collection::vec(number(), 0..80),
        held in proptest::collection::vec((any::<u32>(), 10_000..u64::MAX), 0..20),
        rates in proptest::collection::vec((0..90_u32, any::<u32>(), any::<u32>()), 0..4),
        start_within_us in any::<u64>(),
    ) {
        let mut broker = Broker::new();
        let odd = slots.iter().enumerate().map(|(index, slots)| place(index as u32 + 1, *slots));
        broker.set_places(odd.chain([place(0, SLOTS)]));
        let relay = Holder(1);
        let held: Vec<Held> = held
            .into_iter()
            .map(|(upstream, ticket)| Held {
                ticket: Ticket(ticket),
                upstream: upstream % 100 + 1,
                class: Class::Batch,
                charge: Charge::default(),
            })
            // From now on, the broker knows what the relays hold.
            .chain([Held { ticket: Ticket(u64::MAX), upstream: 0, class: Class::Batch, charge: Charge::default() }])
            .collect();
        let limits: Vec<News> = rates
            .into_iter()
            .map(|(upstream, rate, age_ms)| News {
                upstream: upstream + 1,
                rate: Some(Rate(rate)),
                age: Duration::from_millis(age_ms.into()),
            })
            .collect();
        let sync = Sync { held, limits, ..Sync::default() };
        broker.sync(START, relay, sync.clone());
        let later = START + Duration::from_secs(1);
        let other = Holder(2);
        let wants = (1_000..1_002)
            .map(|ticket| Want {
                ticket: Ticket(ticket),
                shard: SHARD,
                urgency: Urgency { late: false, due_ms: u64::MAX },
                software: None,
                charge: Charge::default(),
            })
            .collect();
        let outgoing = broker.sync(later, other, Sync { wants, ..Sync::default() });
        let granted = outgoing
            .iter()
            .filter(|(holder, answer)| *holder == other && matches!(answer, Answer::Granted { .. }));
        // The upstream that is in order has free slots, and no online request arrived so far.
        prop_assert_eq!(granted.count(), 2, "{:?}", outgoing);
        let online = broker.ask(later, other, ask(2_000, Duration::from_micros(start_within_us)));
        prop_assert!(
            online.iter().any(|(_, answer)| matches!(answer, Answer::Granted { .. })),
            "{:?}", online
        );
        let load = broker.load(later, SHARD);
        prop_assert!(load.permille <= 1_000, "{:?}", load);
        broker.tick(later + Duration::from_secs(1));
        broker.release(later, other, &[Ticket(2_000)]);
        broker.give_back(later, other, &[Ticket(1_000)]);
        broker.tick(later + Duration::from_secs(3_600));
    }

    /// Guards against a selector or a registry that ends its thread for any list of upstreams, and
    /// against a choice that is not in the list.
    #[test]
    fn upstream_lists(
        lists in proptest::collection::vec(proptest::collection::vec(upstream(), 0..12), 1..4),
        versions in proptest::collection::vec(any::<u64>(), 12),
        point in 0.0..1.0_f64,
    ) {
        let mut registry = Registry::new(Duration::from_secs(2));
        let mut selector = Selector::new("a");
        let mut broker = Broker::new();
        let mut now = START;
        for list in lists {
            now = now + Duration::from_secs(1);
            registry.record_store_answer(now, Duration::from_secs(2));
            for (upstream, version) in list.iter().zip(&versions) {
                registry.put(&upstream.id, *version, upstream.clone());
            }
            for upstream in list.iter().step_by(3) {
                registry.record_missing(&upstream.id, now);
            }
            registry.remove_expired(now);
            let upstreams: BTreeMap<String, Upstream> = registry.upstreams();
            selector.set_upstreams(&upstreams);
            broker.set_places(selector.places());
            for deployment in list.iter().map(|upstream| upstream.deployment.as_str()) {
                let choice = selector.choose(deployment, None, &BTreeSet::new(), now, [point, 1.0]);
                if let Choice::Send(key) = choice {
                    let chosen = selector.upstream(key);
                    prop_assert!(chosen.is_some_and(|chosen| upstreams.contains_key(&chosen.id)));
                    selector.record_start(key, now);
                    selector.record_failure(key, Failure::NotSent, now);
                    selector.record_service_time(key, Duration::from_secs(1));
                }
                for shard in selector.shards(deployment, None) {
                    let request = Ask { shard, ..ask(7, Duration::from_secs(1)) };
                    broker.ask(now, Holder(1), request);
                    broker.load(now, shard);
                }
            }
            selector.limits(now);
            selector.avoided(now);
        }
    }
}
