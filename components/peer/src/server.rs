//! Server side of the calls between daemons.

use std::{future::Future, sync::Arc};

use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, Streaming, transport::Server};

use crate::wire::{
    FetchReply, FetchRequest, JobNotice, JobNoticeReply, NotifyReply, OnlineNotice,
    peer_server::{Peer, PeerServer},
};

/// What the server needs from the daemon.
pub trait Handler: Send + Sync + 'static {
    /// Another daemon has online work at an upstream whose batch work this daemon dispatches.
    fn online_notice(&self, notice: OnlineNotice);

    /// A job was accepted or cancelled.
    fn job_notice(&self, notice: JobNotice);

    /// Content of the configuration above a revision.
    fn fetch(&self, request: FetchRequest) -> impl Future<Output = FetchReply> + Send;
}

struct Service<H>(Arc<H>);

#[tonic::async_trait]
impl<H: Handler> Peer for Service<H> {
    async fn notify(
        &self,
        request: Request<Streaming<OnlineNotice>>,
    ) -> Result<Response<NotifyReply>, Status> {
        let mut notices = request.into_inner();
        while let Some(notice) = notices.message().await? {
            self.0.online_notice(notice);
        }
        Ok(Response::new(NotifyReply {}))
    }

    async fn fetch_revisions(
        &self,
        request: Request<FetchRequest>,
    ) -> Result<Response<FetchReply>, Status> {
        Ok(Response::new(self.0.fetch(request.into_inner()).await))
    }

    async fn notify_job(
        &self,
        request: Request<JobNotice>,
    ) -> Result<Response<JobNoticeReply>, Status> {
        self.0.job_notice(request.into_inner());
        Ok(Response::new(JobNoticeReply {}))
    }
}

/// Serves until `shutdown` completes.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(PeerServer::new(Service(handler)))
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), shutdown)
        .await
}
