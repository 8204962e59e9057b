//! UDP socket for notices with which relays report their requests at the upstreams to each other.

use std::{collections::BTreeMap, io, net::SocketAddr};

use cyclamengrade_control::relay::selector::{Counts, Report};
use prost::Message;
use tokio::net::UdpSocket;

use crate::wire;

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Occupancy report of one relay, with the state of the relay itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Name of the sending relay.
    pub from: String,
    /// Identifies the process of the sender; it differs after every restart.
    pub incarnation: u64,
    /// Sequence number, which increases with every notice of one incarnation.
    pub sequence: u64,
    /// Time since the sender last received an answer from the store, in milliseconds.
    pub store_age_ms: u32,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    pub report: Report,
}

/// A bound UDP socket that sends and receives notices.
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a notice to each address and returns the number of failed sends. Delivery is not
    /// confirmed.
    pub async fn send(&self, to: &[SocketAddr], notice: &Notice) -> usize {
        let content = encode(notice).encode_to_vec();
        let mut failed = 0;
        for address in to {
            failed += usize::from(self.socket.send_to(&content, address).await.is_err());
        }
        failed
    }

    /// Waits for the next well-formed notice and ignores malformed ones.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> Notice {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            // An error reports that an earlier send reached a closed port. It does not mean that
            // the next read will fail.
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
