//! Tests of relays that lose their links to the upstreams while all else reaches them.

use std::time::Duration;

use cyclamengrade_standins::bridge::{Cut, Harness};
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

/// Time after which a relay that lost its links has to serve callers.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const REQUESTS: usize = 24;
/// Two thirds of the requests.
const LEAST_SERVED: usize = 16;

/// Sends requests of several kinds to one relay, `concurrent` at a time, and returns how many it serves.
async fn count_served(harness: &Harness, relay: usize, name: &str, concurrent: usize) -> usize {
    let mut served = 0;
    for first in (0..REQUESTS).step_by(concurrent) {
        let requests = (first..first + concurrent).map(async |number| {
            let id = format!("{name}-{number}");
            let reply = match number % 4 {
                0 => harness.stream(relay, "stream", &id, 8).await,
                1 => harness.stream(relay, "once", &id, 8).await,
                2 => harness.send(harness.call(relay, "safe", &id)).await,
                _ => harness.send(harness.call(relay, "unsafe", &id)).await,
            };
            usize::from(reply.is_ok_and(|reply| reply.status == 200))
        });
        served += join_all(requests).await.into_iter().sum::<usize>();
    }
    served
}

async fn check_cut(cut: Cut, relays: &[usize]) -> Result<()> {
    let harness = Harness::start_linked(4).await?;
    for relay in relays {
        let name = format!("before-{relay}");
        expect_that!(count_served(&harness, *relay, &name, 1).await, eq(REQUESTS));
        harness.cut_links(*relay, cut);
    }
    sleep(CONTACT_TIME).await;
    for relay in relays {
        let name = format!("cut-{relay}");
        // More than before the cut, so that open connections do not suffice.
        let served = count_served(&harness, *relay, &name, 8).await;
        expect_that!(served, ge(LEAST_SERVED), "{relay}");
        harness.cut_links(*relay, Cut::None);
    }
    sleep(CONTACT_TIME).await;
    for relay in relays {
        let name = format!("after-{relay}");
        expect_that!(count_served(&harness, *relay, &name, 1).await, eq(REQUESTS), "{relay}");
    }
    Ok(())
}

/// Guards against a relay that refuses its callers because nothing answers on its links to the upstreams,
/// though other relays have sound ones.
#[gtest]
#[tokio::test]
async fn hung_links() -> Result<()> {
    check_cut(Cut::Hang, &[0]).await
}

/// The same, when its new connections are refused and the open ones live on.
#[gtest]
#[tokio::test]
async fn refused_links() -> Result<()> {
    check_cut(Cut::Refuse, &[0]).await
}

/// The same, when its open connections are reset and new ones are refused.
#[gtest]
#[tokio::test]
async fn reset_links() -> Result<()> {
    check_cut(Cut::Reset, &[0]).await
}

/// Guards against relays that turn to one another when most of them have lost their links.
#[gtest]
#[tokio::test]
async fn most_relays() -> Result<()> {
    check_cut(Cut::Hang, &[0, 1, 2]).await
}
