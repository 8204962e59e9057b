//! Tells the other relays what this one has at the upstreams, and hears them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cyclamengrade_control::relay::selector::report_interval;
use cyclamengrade_peer::occupancy::{Notice, Socket};
use cyclamengrade_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::shared::{Phase, Shared};

/// Time between two notices when nothing changes.
const PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two notices to relays that have to make room. A step of online load brings
/// several requests in this time.
const SHORTEST_ROOM_PERIOD: Duration = Duration::from_millis(5);

/// Sends what this relay has at the upstreams.
pub struct Sender {
    shared: Arc<Shared>,
    socket: Arc<Socket>,
    sequence: AtomicU64,
}

impl Sender {
    /// A sender that has sent nothing.
    pub const fn new(shared: Arc<Shared>, socket: Arc<Socket>) -> Self {
        Self { shared, socket, sequence: AtomicU64::new(0) }
    }

    /// Tells all relays about changes, until the process ends.
    pub async fn tell_all(self: Arc<Self>) {
        loop {
            // Either a change or the period; both lead to a notice.
            let _ = timeout(PERIOD, self.shared.occupancy_changed.notified()).await;
            let addresses: Vec<SocketAddr> =
                self.shared.members().values().map(|member| member.address).collect();
            self.send(&addresses).await;
            sleep(report_interval(addresses.len())).await;
        }
    }

    /// Tells the relays that have to make room for online requests, until the process ends.
    pub async fn ask_for_room(self: Arc<Self>) {
        loop {
            self.shared.room_needed.notified().await;
            let holders = self.shared.take_holders();
            let addresses: Vec<SocketAddr> = {
                let members = self.shared.members();
                holders.iter().filter_map(|name| Some(members.get(name)?.address)).collect()
            };
            self.send(&addresses).await;
            sleep(SHORTEST_ROOM_PERIOD).await;
        }
    }

    async fn send(&self, addresses: &[SocketAddr]) {
        let shared = &self.shared;
        let report = shared.fleet().own_report(shared.clock.now());
        let notice = Notice {
            from: shared.name.clone(),
            incarnation: shared.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            store_age_ms: u32::try_from(shared.store_age().as_millis()).unwrap_or(u32::MAX),
            leaving: *shared.phase.borrow() >= Phase::Leaving,
            report,
        };
        // A datagram that is not sent is as good as one that is lost; the next one replaces it.
        let _ = self.socket.send(addresses, &notice).await;
    }
}

/// Receives notices until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<Socket>) {
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
            shared.fleet().record_report(now, &notice.from, notice.report);
            shared.batch_changed.notify_one();
        }
    }
}
