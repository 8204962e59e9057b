//! Which relay runs a job.

use std::{collections::BTreeMap, time::Duration};

use cyclamengrade_control::relay::owner::{
    Peer, RelayInstance, should_take_over, store_disconnection,
};
use googletest::prelude::*;

/// What happens to the owner as others see it.
type Change = fn(&mut Peer);

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn peer(incarnation: u64) -> Peer {
    Peer {
        incarnation,
        silence: Duration::ZERO,
        store_disconnection: Duration::ZERO,
        leaving: false,
    }
}

/// The peers as one of the relays sees them.
fn peers(own: &str) -> BTreeMap<String, Peer> {
    NAMES.into_iter().filter(|name| *name != own).map(|name| (name.to_owned(), peer(1))).collect()
}

const fn start(name: &str) -> RelayInstance<'_> {
    RelayInstance { name, incarnation: 1 }
}

/// The relays that take a job of this owner over, when all see the same change of the owner.
fn takers(
    owner: Option<RelayInstance<'_>>,
    job: &str,
    change: impl Fn(&mut Peer),
) -> Vec<&'static str> {
    let mut takers = Vec::new();
    for name in NAMES {
        let mut peers = peers(name);
        if let Some(peer) = owner.and_then(|owner| peers.get_mut(owner.name)) {
            change(peer);
        }
        if should_take_over(start(name), owner, job, &peers) {
            takers.push(name);
        }
    }
    takers
}

/// Guards against a job that nobody runs: the write that made a relay the owner took effect, its
/// reply was lost, and rendezvous hashing names another relay.
#[gtest]
fn lost_reply() {
    for job in ["j1", "j2", "j3", "j4", "j5", "j6"] {
        expect_that!(takers(Some(start("b")), job, |_| {}), elements_are![eq(&"b")], "{job}");
    }
}

/// Guards against two relays that run one job while its owner is alive.
#[gtest]
fn alive_owner() {
    for job in ["j1", "j2", "j3", "j4", "j5", "j6"] {
        for name in NAMES.into_iter().filter(|name| *name != "b") {
            let taken = should_take_over(start(name), Some(start("b")), job, &peers(name));
            expect_that!(taken, eq(false), "{name} takes {job}");
        }
    }
}

/// Guards against jobs that stay with a relay that is silent, cut off from the store, restarted or
/// removed, and against several takers.
#[gtest]
fn lost_owner() {
    let changes: [(&str, Change); 3] = [
        ("silent", |peer| peer.silence = Duration::from_secs(2)),
        ("cut off", |peer| peer.store_disconnection = Duration::from_secs(4)),
        ("restarted", |peer| peer.incarnation = 2),
    ];
    for (name, change) in changes {
        let mut takers = takers(Some(start("b")), "job", change);
        // The owner itself still counts as one that runs it.
        takers.retain(|taker| *taker != "b");
        let restarted = name == "restarted";
        expect_that!(takers.len(), le(1), "{name}");
        expect_that!(takers.len() == 1 || restarted, eq(true), "{name}");
    }
    expect_that!(takers(Some(start("gone")), "job", |_| {}).len(), eq(1));
    expect_that!(takers(None, "job", |_| {}).len(), eq(1));
}

/// Guards against jobs that are handed to a relay that is about to stop.
#[gtest]
fn leaving_taker() {
    for job in ["j1", "j2", "j3", "j4", "j5", "j6"] {
        let mut peers = peers("a");
        for peer in peers.values_mut() {
            peer.leaving = true;
        }
        expect_that!(should_take_over(start("a"), None, job, &peers), eq(true), "{job}");
    }
}

/// Pattern: an outage of the store that ends for all relays at about the same time. Guards against
/// relays that take each other's jobs over because everyone was cut off, and against a relay that
/// stays cut off and keeps its jobs.
#[gtest]
fn after_outage() {
    let (outage, heard) = (Duration::from_secs(6), Duration::from_millis(200));
    let takers = |in_touch: Duration| {
        let change = |peer: &mut Peer| {
            peer.store_disconnection = store_disconnection(outage, heard, in_touch)
        };
        let takers = takers(Some(start("b")), "j1", change).into_iter();
        takers.filter(|name| *name != "b").collect::<Vec<_>>()
    };
    expect_that!(takers(Duration::from_millis(500)), is_empty());
    expect_that!(takers(Duration::from_secs(60)).len(), eq(1));
}
