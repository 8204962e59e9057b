//! Client side of the calls between daemons.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use displaydoc::Display;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{
    Request,
    transport::{Channel, Endpoint},
};

use crate::wire::{FetchReply, FetchRequest, JobNotice, OnlineNotice, peer_client::PeerClient};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two keep-alive pings on a connection.
const PING_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a connection whose ping is not answered is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Notices that may wait for a slow connection. A dropped notice is made good by the next one,
/// which carries the current number.
const NOTICE_QUEUE: usize = 256;
/// Largest message, in bytes. A snapshot of the configuration at 320 clients is under 1 MiB.
const LARGEST_MESSAGE: usize = 64 << 20;

/// Why a call to another daemon failed.
#[derive(Debug, Display)]
pub enum Error {
    /// the address of the other daemon is not valid: {0}
    Address(String),
    /// the other daemon did not answer: {0}
    Call(Box<tonic::Status>),
}

impl std::error::Error for Error {}

/// Connections to other daemons, opened when they are first used.
#[derive(Default)]
pub struct Client {
    channels: Mutex<BTreeMap<SocketAddr, Channel>>,
    notices: Mutex<BTreeMap<SocketAddr, mpsc::Sender<OnlineNotice>>>,
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads configuration content above a revision.
    pub async fn fetch(&self, address: SocketAddr, after: u64) -> Result<FetchReply, Error> {
        let mut client = self.peer(address)?;
        let reply = client.fetch_revisions(timed(FetchRequest { after })).await;
        reply.map(tonic::Response::into_inner).map_err(|status| Error::Call(Box::new(status)))
    }

    /// Tells another daemon of an accepted or cancelled job.
    pub async fn notify_job(&self, address: SocketAddr, notice: JobNotice) -> Result<(), Error> {
        let mut client = self.peer(address)?;
        let reply = client.notify_job(timed(notice)).await;
        reply.map(drop).map_err(|status| Error::Call(Box::new(status)))
    }

    /// Queues a notice on the one-way stream to another daemon; must run within a runtime.
    pub fn notify(&self, address: SocketAddr, notice: OnlineNotice) {
        let Ok(mut notices) = self.notices.lock() else { return };
        if let Some(sender) = notices.get(&address)
            && !sender.is_closed()
        {
            let _ = sender.try_send(notice);
            return;
        }
        let Ok(mut client) = self.peer(address) else { return };
        let (sender, receiver) = mpsc::channel(NOTICE_QUEUE);
        let _ = sender.try_send(notice);
        notices.insert(address, sender);
        drop(notices);
        tokio::spawn(async move {
            let _ = client.notify(ReceiverStream::new(receiver)).await;
        });
    }

    /// Closes connections to daemons that are no longer live.
    pub fn retain(&self, live: &[SocketAddr]) {
        if let Ok(mut channels) = self.channels.lock() {
            channels.retain(|address, _| live.contains(address));
        }
        if let Ok(mut notices) = self.notices.lock() {
            notices.retain(|address, _| live.contains(address));
        }
    }

    fn peer(&self, address: SocketAddr) -> Result<PeerClient<Channel>, Error> {
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
        Ok(PeerClient::new(channel).max_decoding_message_size(LARGEST_MESSAGE))
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

fn timed<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(CALL_TIMEOUT);
    request
}
