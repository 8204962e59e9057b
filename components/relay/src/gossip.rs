//! Tells the other relays what this one has at the upstreams, and hears them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_peer::occupancy::{Notice, Occupancy};
use cyclamengrade_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::shared::{Phase, Shared};

/// Time between two notices when nothing changes.
const PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two notices.
const SHORTEST_PERIOD: Duration = Duration::from_millis(20);
/// Datagrams that one relay sends in a second at most; bounds the cost in a large fleet.
const DATAGRAMS_PER_S: u32 = 500;

/// Sends notices until the relay has stopped.
pub async fn send(shared: Arc<Shared>, socket: Arc<Occupancy>) {
    let mut sequence = 0;
    loop {
        // Either a change or the period; both lead to a notice.
        let _ = timeout(PERIOD, shared.occupancy_changed.notified()).await;
        sequence += 1;
        let addresses: Vec<SocketAddr> =
            shared.members().values().map(|member| member.address).collect();
        let report = shared.fleet().own(shared.clock.now());
        let notice = Notice {
            from: shared.name.clone(),
            incarnation: shared.incarnation,
            sequence,
            store_age_ms: u32::try_from(shared.store_age().as_millis()).unwrap_or(u32::MAX),
            leaving: *shared.phase.borrow() >= Phase::Leaving,
            report,
        };
        // A datagram that is not sent is as good as one that is lost; the next one replaces it.
        let _ = socket.send(&addresses, &notice).await;
        let spread = Duration::from_secs(1) * addresses.len() as u32 / DATAGRAMS_PER_S;
        sleep(spread.max(SHORTEST_PERIOD)).await;
    }
}

/// Receives notices until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<Occupancy>) {
    let mut buffer = Vec::new();
    loop {
        let notice = socket.receive(&mut buffer).await;
        if notice.from == shared.name {
            continue;
        }
        let now = shared.clock.now();
        let is_new = {
            let mut members = shared.members();
            // A relay that is not listed yet is heard again after it is.
            let Some(member) = members.get_mut(&notice.from) else { continue };
            let is_new =
                member.incarnation == notice.incarnation && notice.sequence > member.sequence;
            if is_new {
                member.sequence = notice.sequence;
                member.heard = now;
                member.store_age = Duration::from_millis(notice.store_age_ms.into());
                if notice.leaving && !member.leaving {
                    member.leaving = true;
                    event!(MemberLeaving, member:% = notice.from);
                }
            }
            is_new
        };
        if is_new {
            shared.fleet().report(now, &notice.from, notice.report);
            shared.batch_changed.notify_one();
        }
    }
}
