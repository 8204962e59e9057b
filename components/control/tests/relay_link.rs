//! Tests of the links of a relay to its upstreams and of the choice of relays that carry connections.

use std::time::Duration;

use cyclamengrade_control::{
    relay::link::{Candidate, Carriers, Cause, Links, PROBE_PERIOD},
    time::Time,
};
use googletest::prelude::*;

const START: Time = Time::from_millis(10_000);

fn links(reached: &[&str], lost: &[&str], confirmed: &[&str]) -> Links {
    let mut links = Links::default();
    for id in reached {
        links.record_reached(id, START);
    }
    for id in lost {
        links.record_lost(id, Cause::Timeout, START);
    }
    for id in confirmed {
        links.confirm_lost(id);
    }
    links
}

/// Guards against upstreams that crashed, even many, being taken for lost links.
#[gtest]
fn crashed_upstreams() -> Result<()> {
    let ids: Vec<String> = (0..50).map(|number| format!("m-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let links = links(&["alive"], &ids, &[]);
    expect_that!(links.lost_count(), eq(0));
    verify_that!(links.is_cut_off(START), eq(false))
}

/// Guards against a relay that goes on helping others after most of its own links were lost, and against
/// one that ceases to after it lost a few.
#[gtest]
fn most_links() -> Result<()> {
    let few = links(&["a", "b", "c"], &["d", "e"], &["d", "e"]);
    expect_that!(few.is_cut_off(START), eq(false));
    let most = links(&["a"], &["b", "c", "d"], &["b", "c", "d"]);
    expect_that!(most.is_cut_off(START), eq(true));
    // Connections of long ago say nothing.
    let later = START + Duration::from_secs(30);
    verify_that!(few.is_cut_off(later), eq(true))
}

/// Guards against a relay that takes itself for cut off after the loss of one link, since it opens no new
/// connections to the others.
#[gtest]
fn kept_connections() -> Result<()> {
    let mut links = links(&["a", "b"], &["c"], &["c"]);
    let later = START + Duration::from_secs(30);
    links.record_response("a", later);
    links.record_response("b", later);
    expect_that!(links.is_cut_off(later), eq(false));
    // Open connections to it may live on.
    links.record_response("c", later);
    verify_that!(links.is_lost("c"), eq(true))
}

/// Guards against a link that stays lost after a connection was opened on it, and against reports of its
/// return without one of its loss.
#[gtest]
fn restored_link() -> Result<()> {
    let mut links = links(&[], &["a", "b"], &["a"]);
    let later = START + Duration::from_secs(2);
    expect_that!(links.record_reached("a", later), some(eq(Duration::from_secs(2))));
    expect_that!(links.record_reached("b", later), none());
    expect_that!(links.failure("a"), none());
    verify_that!(links.has_probes(), eq(false))
}

/// Guards against probes of all lost links at once, against links that are never probed, and against
/// probes of one link in quick succession.
#[gtest]
fn bounded_probes() -> Result<()> {
    let mut links = links(&[], &["a", "b", "c"], &["a", "b"]);
    expect_that!(links.begin_probes(2, START), is_empty());
    let due = START + PROBE_PERIOD;
    expect_that!(links.begin_probes(2, due), elements_are![eq("a"), eq("b")]);
    expect_that!(links.begin_probes(2, due), elements_are![eq("c")]);
    verify_that!(links.begin_probes(2, due), is_empty())
}

/// Guards against a check of a link for each response that is waited for.
#[gtest]
fn rare_checks() -> Result<()> {
    let mut links = Links::default();
    expect_that!(links.begin_check("a", START), eq(true));
    expect_that!(links.begin_check("a", START + Duration::from_secs(1)), eq(false));
    verify_that!(links.begin_check("a", START + Duration::from_secs(3)), eq(true))
}

const CANDIDATES: [Candidate<'_>; 3] = [
    Candidate { name: "small", capacity: 100 },
    Candidate { name: "large", capacity: 900 },
    Candidate { name: "other", capacity: 900 },
];

fn random(seed: &mut u64) -> f64 {
    // A linear congruential generator (Knuth, MMIX).
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Guards against all relays that lost their links turning to the same one, and against small ones being
/// asked as often as large ones.
#[gtest]
fn spread_carriers() -> Result<()> {
    let carriers = Carriers::default();
    let mut seed = 7;
    let mut first = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let chosen = carriers.choose(&CANDIDATES, 2, START, || random(&mut seed));
        expect_that!(chosen, len(eq(2)));
        *first.entry(chosen[0].clone()).or_insert(0) += 1;
    }
    expect_that!(first["small"], lt(120));
    expect_that!(first["large"], gt(350));
    verify_that!(first["other"], gt(350))
}

/// Guards against asking a relay at once again that declined, and against leaving one that carries.
#[gtest]
fn known_carriers() -> Result<()> {
    let mut carriers = Carriers::default();
    carriers.record_carried("small", START);
    carriers.record_declined("large", START);
    let mut seed = 7;
    let chosen = carriers.choose(&CANDIDATES, 3, START, || random(&mut seed));
    expect_that!(chosen, elements_are![eq("small"), eq("other")]);
    let later = START + Duration::from_secs(5);
    verify_that!(carriers.choose(&CANDIDATES, 3, later, || random(&mut seed)), len(eq(3)))
}
