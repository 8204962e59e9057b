//! Exchanges occupancy reports with the other relays: how many requests each has at each upstream.

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

/// Time between two reports while nothing changes.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two reports to preemption targets. A sudden rise of the online load brings
/// several requests within this time, which one report covers.
const MIN_PREEMPTION_INTERVAL: Duration = Duration::from_millis(5);

/// Sends the occupancy reports of this relay.
pub struct Sender {
    shared: Arc<Shared>,
    socket: Arc<Socket>,
    sequence: AtomicU64,
}

impl Sender {
    pub const fn new(shared: Arc<Shared>, socket: Arc<Socket>) -> Self {
        Self { shared, socket, sequence: AtomicU64::new(0) }
    }

    /// Sends reports to all relays after changes and periodically, until the process ends.
    pub async fn report_to_all(self: Arc<Self>) {
        loop {
            // A report is sent after a change and when the period is over.
            let _ = timeout(REPORT_PERIOD, self.shared.occupancy_changed.notified()).await;
            let addresses: Vec<SocketAddr> =
                self.shared.members().values().map(|member| member.address).collect();
            self.send(&addresses).await;
            sleep(report_interval(addresses.len())).await;
        }
    }

    /// Sends reports at once to the relays that are to stop batch streams for online requests,
    /// until the process ends.
    pub async fn report_to_preemption_targets(self: Arc<Self>) {
        loop {
            self.shared.preemption_needed.notified().await;
            let targets = self.shared.take_preemption_targets();
            let addresses: Vec<SocketAddr> = {
                let members = self.shared.members();
                targets.iter().filter_map(|name| Some(members.get(name)?.address)).collect()
            };
            self.send(&addresses).await;
            sleep(MIN_PREEMPTION_INTERVAL).await;
        }
    }

    async fn send(&self, addresses: &[SocketAddr]) {
        let shared = &self.shared;
        let report = shared.selector().own_report(shared.clock.now());
        let notice = Notice {
            from: shared.name.clone(),
            incarnation: shared.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            store_age_ms: u32::try_from(shared.store_age().as_millis()).unwrap_or(u32::MAX),
            leaving: *shared.phase.borrow() >= Phase::Leaving,
            report,
        };
        // A failure to send is handled like a lost datagram: the next report replaces it.
        let _ = self.socket.send(addresses, &notice).await;
    }
}

/// Receives the reports of the other relays until the process ends.
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
            // A report of a relay whose row the feed has not delivered yet is dropped. That relay
            // sends further reports.
            let Some(member) = members.get_mut(&notice.from) else { continue };
            let is_new =
                member.incarnation == notice.incarnation && notice.sequence > member.sequence;
            if is_new {
                member.sequence = notice.sequence;
                member.last_heard = now;
                member.store_age = Duration::from_millis(notice.store_age_ms.into());
                if notice.leaving && !member.leaving {
                    member.leaving = true;
                    event!(MemberLeaving, member:% = notice.from);
                }
            }
            is_new
        };
        if is_new {
            shared.selector().record_report(now, &notice.from, notice.report);
            shared.batch_changed.notify_one();
        }
    }
}
