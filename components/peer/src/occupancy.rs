//! UDP socket for the occupancy of upstreams.

use std::{collections::BTreeMap, io, net::SocketAddr};

use cyclamengrade_control::relay::selector::{Counts, Report};
use prost::Message;
use tokio::net::UdpSocket;

use crate::wire;

/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 64 << 10;

/// What a daemon tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Name of the sender.
    pub from: String,
    /// Differs for each start of the sender.
    pub incarnation: u64,
    /// Rises with each notice of one incarnation.
    pub sequence: u64,
    /// Time since the sender last heard from the store, in milliseconds.
    pub store_age_ms: u32,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Requests of the sender.
    pub report: Report,
}

/// A bound UDP socket.
pub struct Occupancy {
    socket: UdpSocket,
}

impl Occupancy {
    /// Binds to an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a notice to each address; delivery is not confirmed. Returns how many were not sent.
    pub async fn send(&self, to: &[SocketAddr], notice: &Notice) -> usize {
        let content = encode(notice).encode_to_vec();
        let mut failed = 0;
        for address in to {
            failed += usize::from(self.socket.send_to(&content, address).await.is_err());
        }
        failed
    }

    /// Waits for the next well-formed notice.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> Notice {
        buffer.resize(LARGEST_DATAGRAM, 0);
        loop {
            // Errors come from earlier sends to closed ports and say nothing about the next read.
            let Ok((length, _)) = self.socket.recv_from(buffer).await else { continue };
            if let Ok(message) = wire::Occupancy::decode(&buffer[..length]) {
                return decode(message);
            }
        }
    }
}

fn encode(notice: &Notice) -> wire::Occupancy {
    let counts = notice.report.counts.iter().map(|(upstream, count)| wire::UpstreamCount {
        upstream: *upstream,
        online: count.online,
        batch: count.batch,
    });
    wire::Occupancy {
        from: notice.from.clone(),
        incarnation: notice.incarnation,
        sequence: notice.sequence,
        store_age_ms: notice.store_age_ms,
        leaving: notice.leaving,
        counts: counts.collect(),
        waiting: notice.report.waiting,
        failed: notice.report.failed.iter().copied().collect(),
    }
}

fn decode(message: wire::Occupancy) -> Notice {
    let counts: BTreeMap<_, _> = message
        .counts
        .into_iter()
        .map(|count| (count.upstream, Counts { online: count.online, batch: count.batch }))
        .collect();
    Notice {
        from: message.from,
        incarnation: message.incarnation,
        sequence: message.sequence,
        store_age_ms: message.store_age_ms,
        leaving: message.leaving,
        report: Report {
            counts,
            waiting: message.waiting,
            failed: message.failed.into_iter().collect(),
        },
    }
}
