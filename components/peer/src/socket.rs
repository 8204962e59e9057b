//! UDP socket for membership datagrams.

use std::{io, net::SocketAddr};

use cyclamengrade_control::membership::Datagram;
use prost::Message;
use tokio::net::UdpSocket;

use crate::{convert, wire};

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A bound UDP socket that sends and receives membership datagrams.
pub struct Socket {
    socket: UdpSocket,
}

/// A received datagram.
pub struct Received {
    /// Address of the sender.
    pub from: SocketAddr,
    pub datagram: Datagram,
    /// Size of the encoded datagram, in bytes.
    pub bytes: usize,
}

impl Socket {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a datagram and returns its encoded size in bytes. Delivery is not confirmed.
    pub async fn send(&self, to: SocketAddr, datagram: Datagram) -> io::Result<usize> {
        self.socket.send_to(&convert::encode(datagram).encode_to_vec(), to).await
    }

    /// Waits for the next well-formed datagram and ignores malformed ones.
    pub async fn receive(&self) -> Received {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier send reached a closed port. It does not mean that
            // the next read will fail.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let decoded = wire::Datagram::decode(&buffer[..length]).ok().and_then(convert::decode);
            if let Some(datagram) = decoded {
                return Received { from, datagram, bytes: length };
            }
        }
    }
}
