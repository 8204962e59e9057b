//! Client for gRPC calls to other daemons.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use displaydoc::Display;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{
    Request,
    transport::{Channel, Endpoint},
};

use crate::wire::{FetchReply, FetchRequest, JobNotice, OnlineNotice, peer_client::PeerClient};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two HTTP/2 keep-alive pings on a connection.
const PING_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a connection whose ping is not answered is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the queue of notices to one daemon. When the queue is full, notices are dropped. The
/// next notice makes up for a dropped one because it carries the current number of requests.
const NOTICE_QUEUE_CAPACITY: usize = 256;
/// Maximum size of a received message, in bytes. A configuration snapshot with 320 clients is
/// smaller than 1 MiB.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why a call to another daemon failed.
#[derive(Debug, Display)]
pub enum Error {
    /// invalid address of another daemon: {0}
    Address(String),
    /// call to another daemon failed: {0}
    Call(Box<tonic::Status>),
}

impl std::error::Error for Error {}

/// Connections to other daemons, which are opened on first use.
#[derive(Default)]
pub struct Client {
    channels: Mutex<BTreeMap<SocketAddr, Channel>>,
    notices: Mutex<BTreeMap<SocketAddr, mpsc::Sender<OnlineNotice>>>,
}

impl Client {
    pub fn new() -> Self {
        Self::default()
    }

    /// Fetches the configuration revisions after revision `after`.
    pub async fn fetch(&self, address: SocketAddr, after: u64) -> Result<FetchReply, Error> {
        let mut client = self.peer_client(address)?;
        let reply = client.fetch_revisions(with_timeout(FetchRequest { after })).await;
        reply.map(tonic::Response::into_inner).map_err(|status| Error::Call(Box::new(status)))
    }

    /// Notifies another daemon that a job was accepted or cancelled.
    pub async fn notify_job(&self, address: SocketAddr, notice: JobNotice) -> Result<(), Error> {
        let mut client = self.peer_client(address)?;
        let reply = client.notify_job(with_timeout(notice)).await;
        reply.map(drop).map_err(|status| Error::Call(Box::new(status)))
    }

    /// Queues a notice about online requests on the one-way stream to another daemon.
    ///
    /// Must be called within a tokio runtime. The notice is dropped if the queue is full.
    pub fn notify_online(&self, address: SocketAddr, notice: OnlineNotice) {
        let Ok(mut notices) = self.notices.lock() else { return };
        if let Some(sender) = notices.get(&address)
            && !sender.is_closed()
        {
            let _ = sender.try_send(notice);
            return;
        }
        let Ok(mut client) = self.peer_client(address) else { return };
        let (sender, receiver) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        let _ = sender.try_send(notice);
        notices.insert(address, sender);
        drop(notices);
        tokio::spawn(async move {
            let _ = client.notify(ReceiverStream::new(receiver)).await;
        });
    }

    /// Closes the connections to all daemons whose address is not in `live`.
    pub fn retain(&self, live: &[SocketAddr]) {
        if let Ok(mut channels) = self.channels.lock() {
            channels.retain(|address, _| live.contains(address));
        }
        if let Ok(mut notices) = self.notices.lock() {
            notices.retain(|address, _| live.contains(address));
        }
    }

    fn peer_client(&self, address: SocketAddr) -> Result<PeerClient<Channel>, Error> {
        let Ok(mut channels) = self.channels.lock() else {
            return Err(Error::Address(address.to_string()));
        };
        let channel = match channels.get(&address) {
            Some(channel) => channel.clone(),
            None => {
                let channel = connect(address)?;
                channels.insert(address, channel.clone());
                channel
            }
        };
        Ok(PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
    }
}

fn connect(address: SocketAddr) -> Result<Channel, Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Error::Address(error.to_string()))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .connect_lazy())
}

fn with_timeout<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(CALL_TIMEOUT);
    request
}
