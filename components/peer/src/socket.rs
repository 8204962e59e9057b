//! UDP socket for membership datagrams.

use std::{io, net::SocketAddr};

use cyclamengrade_control::membership::Datagram;
use prost::Message;
use tokio::net::UdpSocket;

use crate::{convert, wire};

/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 64 << 10;

/// A bound UDP socket.
pub struct Socket {
    socket: UdpSocket,
}

/// A datagram that arrived.
pub struct Received {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Content.
    pub datagram: Datagram,
    /// Size in bytes.
    pub bytes: usize,
}

impl Socket {
    /// Binds to an address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a datagram and returns its size in bytes; delivery is not confirmed.
    pub async fn send(&self, to: SocketAddr, datagram: Datagram) -> io::Result<usize> {
        self.socket.send_to(&convert::encode(datagram).encode_to_vec(), to).await
    }

    /// Waits for the next well-formed datagram.
    pub async fn receive(&self) -> Received {
        let mut buffer = vec![0; LARGEST_DATAGRAM];
        loop {
            // Errors come from earlier sends to closed ports and say nothing about the next read.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let decoded = wire::Datagram::decode(&buffer[..length]).ok().and_then(convert::decode);
            if let Some(datagram) = decoded {
                return Received { from, datagram, bytes: length };
            }
        }
    }
}
