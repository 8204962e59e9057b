//! Handles the calls of other daemons, and notifies them of jobs and of online requests.

use std::sync::Arc;

use cyclamengrade_control::traffic::{Action, Input};
use cyclamengrade_peer::{
    self as peer,
    wire::{FetchReply, FetchRequest, JobNotice, OnlineNotice},
};
use kameo::prelude::ActorRef;
use tokio::sync::mpsc;

use crate::{
    batch::{self, BatchLimit, Dispatcher},
    configuration::{Fetch, Follower},
    node::Node,
    online::Online,
};

/// Handles the calls of other daemons.
pub struct Handler {
    pub online: Online,
    pub dispatcher: ActorRef<Dispatcher>,
    pub follower: ActorRef<Follower>,
}

impl peer::Handler for Handler {
    fn online_notice(&self, notice: OnlineNotice) {
        let OnlineNotice { from, upstream, in_flight } = notice;
        self.online.send_input(Input::OnlineNotice { from, upstream, in_flight });
    }

    fn job_notice(&self, notice: JobNotice) {
        let _ = self.dispatcher.tell(batch::JobNotice { job: notice.job }).try_send();
    }

    async fn fetch(&self, request: FetchRequest) -> FetchReply {
        let reply = self.follower.ask(Fetch { after: request.after }).await;
        reply.map(|extract| extract.encode()).unwrap_or_default()
    }
}

/// Carries out the actions of the online traffic that concern batch work: limits go to the
/// dispatcher of this daemon, notices to the daemon that dispatches batch work to the upstream.
pub async fn forward_actions(
    node: Arc<Node>,
    peers: Arc<peer::Client>,
    dispatcher: ActorRef<Dispatcher>,
    online: Online,
    mut actions: mpsc::UnboundedReceiver<Action>,
) {
    while let Some(action) = actions.recv().await {
        match action {
            Action::BatchLimit { upstream, deployment, streams } => {
                let limit = BatchLimit { upstream, deployment, streams };
                let _ = dispatcher.tell(limit).try_send();
            }
            Action::Notify { dispatcher: name, upstream, in_flight } => {
                notify_dispatcher(&node, &peers, &online, &name, upstream, in_flight);
            }
            // The actor of the online traffic executes these itself and does not pass them on.
            Action::Dispatch(_) | Action::Cancel { .. } | Action::Refuse { .. } => {}
        }
    }
}

fn notify_dispatcher(
    node: &Node,
    peers: &peer::Client,
    online: &Online,
    dispatcher: &str,
    upstream: String,
    in_flight: u32,
) {
    let from = node.settings.name.clone();
    if dispatcher == from {
        online.send_input(Input::OnlineNotice { from, upstream, in_flight });
        return;
    }
    let members = Arc::clone(&node.members.borrow());
    if let Some(member) = members.daemons.iter().find(|member| member.name == dispatcher) {
        peers.notify_online(member.address, OnlineNotice { from, upstream, in_flight });
    }
}

/// Notifies every other live daemon that a job was accepted or cancelled.
///
/// A daemon that misses the notice finds the change at its next poll of the open jobs.
pub fn announce_job(node: &Node, peers: &Arc<peer::Client>, job: &str, cancelled: bool) {
    let members = Arc::clone(&node.members.borrow());
    for member in members.daemons.iter().filter(|member| member.name != node.settings.name) {
        let (peers, address) = (Arc::clone(peers), member.address);
        let notice = JobNotice { job: job.to_owned(), cancelled };
        node.traffic.spawn(async move {
            let _ = peers.notify_job(address, notice).await;
        });
    }
}
