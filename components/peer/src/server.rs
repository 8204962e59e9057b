//! Server for gRPC calls from other daemons.

use std::{future::Future, sync::Arc};

use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, Streaming, transport::Server};

use crate::wire::{
    FetchReply, FetchRequest, JobNotice, JobNoticeReply, NotifyReply, OnlineNotice,
    peer_server::{Peer, PeerServer},
};

/// Handles the calls of other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Handles the number of online requests that another daemon has in flight at an upstream for
    /// which this daemon dispatches batch work.
    fn online_notice(&self, notice: OnlineNotice);

    /// Handles a notice that another daemon has accepted or cancelled a job.
    fn job_notice(&self, notice: JobNotice);

    /// Returns the configuration revisions after the one that the request names.
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

/// Serves calls on a listener until `shutdown` completes.
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
