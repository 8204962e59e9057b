//! Backend of the HTTP server: passes the requests of callers and operators to the components of
//! the daemon.

use std::{collections::BTreeMap, sync::Arc};

use cyclamengrade_caller::backend::{
    Backend, BackendFuture, Completion, ConfigurationChange, Event, HistoryEntry, Job, Results,
    Revision, ServiceCall, ServiceResponse, Submission, Upstream,
};
use cyclamengrade_control::{revision::Input, traffic::UpstreamStatus};
use cyclamengrade_peer as peer;
use cyclamengrade_telemetry::{event, metrics};
use kameo::prelude::ActorRef;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::{
    batch::{self, Dispatcher, Jobs},
    configuration::{self, Follower},
    node::{Node, Phase},
    online::Online,
    peers,
};

/// Backend through which the HTTP server uses the daemon.
#[derive(Clone)]
pub struct Service {
    pub node: Arc<Node>,
    pub online: Online,
    pub jobs: Arc<Jobs>,
    pub dispatcher: ActorRef<Dispatcher>,
    pub follower: ActorRef<Follower>,
    pub peers: Arc<peer::Client>,
    /// Names of the clients, by token.
    pub tokens: watch::Receiver<Arc<BTreeMap<String, String>>>,
    /// Metrics of the process; absent if no recorder could be installed.
    pub metrics: Option<metrics::Handle>,
}

impl Service {
    /// Notifies the dispatchers of all daemons, including this one, of an accepted or cancelled
    /// job.
    fn announce_job(&self, job: &Job, cancelled: bool) {
        let _ = self.dispatcher.tell(batch::JobNotice { job: job.id.clone() }).try_send();
        peers::announce_job(&self.node, &self.peers, &job.id, cancelled);
    }
}

impl Backend for Service {
    fn client(&self, token: &str) -> Option<String> {
        self.tokens.borrow().get(token).cloned()
    }

    fn complete(&self, call: Completion) -> BackendFuture<mpsc::Receiver<Event>> {
        let online = self.online.clone();
        Box::pin(async move { online.complete(call).await })
    }

    fn call_service(&self, call: ServiceCall) -> BackendFuture<ServiceResponse> {
        let online = self.online.clone();
        Box::pin(async move { online.call_service(call).await })
    }

    fn submit(&self, submission: Submission) -> BackendFuture<Job> {
        let service = self.clone();
        Box::pin(async move {
            let job = service.jobs.submit(submission).await?;
            service.announce_job(&job, false);
            Ok(job)
        })
    }

    fn job(&self, client: String, id: String) -> BackendFuture<Job> {
        let jobs = Arc::clone(&self.jobs);
        Box::pin(async move { jobs.job(&client, &id).await })
    }

    fn results(&self, client: String, id: String) -> BackendFuture<mpsc::Receiver<Results>> {
        let jobs = Arc::clone(&self.jobs);
        Box::pin(async move { jobs.results(&client, &id).await })
    }

    fn cancel(&self, client: String, id: String) -> BackendFuture<Job> {
        let service = self.clone();
        Box::pin(async move {
            let job = service.jobs.cancel(&client, &id).await?;
            service.announce_job(&job, true);
            Ok(job)
        })
    }

    fn configuration(&self) -> BackendFuture<Revision> {
        let configuration = Arc::clone(&self.node.configuration.borrow());
        Box::pin(async move {
            Ok(Revision {
                revision: configuration.revision,
                digest: configuration.document.digest(),
                document: json!(configuration.document.as_ref()),
            })
        })
    }

    fn apply(&self, change: ConfigurationChange) -> BackendFuture<Revision> {
        let table = Arc::clone(&self.node.table);
        let follower = self.follower.clone();
        let unix_ms = self.node.clock.unix_ms();
        let (author, change_id) = (change.author.clone(), change.change_id.clone());
        Box::pin(async move {
            let accepted = configuration::apply(table.as_ref(), unix_ms, change).await;
            match &accepted {
                // Makes the follower read the revision at once. As soon as it is in force here, the
                // probes of this daemon announce it to the others.
                Ok(revision) => {
                    let head = Input::Head { newest: revision.revision, snapshot: 0 };
                    let _ = follower.tell(head).await;
                }
                Err(failure) => event!(
                    ConfigurationRefused,
                    reason = failure.message.as_str(),
                    author = author.as_str(),
                    change_id = change_id.as_str()
                ),
            }
            accepted
        })
    }

    fn history(&self, limit: usize) -> BackendFuture<Vec<HistoryEntry>> {
        let table = Arc::clone(&self.node.table);
        Box::pin(async move { configuration::history(table.as_ref(), limit).await })
    }

    fn upstreams(&self) -> BackendFuture<Vec<Upstream>> {
        let online = self.online.clone();
        Box::pin(async move { Ok(online.status().await.into_iter().map(convert_status).collect()) })
    }

    fn ready(&self) -> bool {
        *self.node.phase.borrow() == Phase::Ready
    }

    fn metrics(&self) -> String {
        self.metrics.as_ref().map(metrics::Handle::render).unwrap_or_default()
    }
}

fn convert_status(status: UpstreamStatus) -> Upstream {
    Upstream {
        name: status.name,
        deployment: status.deployment,
        data_centre: status.data_centre,
        state: status.state.name().into(),
        online: status.online,
        batch: status.batch,
        reported_running: status.reported_running,
        first_token_ms: status.first_token_ms,
    }
}

/// Publishes the names of the clients, by token, at the start and whenever the configuration
/// changes.
pub async fn publish_token_index(
    node: Arc<Node>,
    tokens: watch::Sender<Arc<BTreeMap<String, String>>>,
) {
    let mut configuration = node.configuration.clone();
    loop {
        let document = Arc::clone(&configuration.borrow_and_update().document);
        let clients = document.clients.iter();
        let index = clients.map(|(name, client)| (client.token.clone(), name.clone())).collect();
        tokens.send_replace(Arc::new(index));
        if configuration.changed().await.is_err() {
            return;
        }
    }
}
