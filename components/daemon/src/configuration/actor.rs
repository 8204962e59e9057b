//! Actor that reads new configuration revisions and puts them in force.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ::metrics::gauge;
use cyclamengrade_configuration::Document;
use cyclamengrade_control::revision::{Action, Entry, Input, Machine, Snapshot, Source};
use cyclamengrade_peer::{self as peer, wire};
use cyclamengrade_telemetry::{event, metrics};
use kameo::{
    Reply,
    prelude::{Actor, ActorRef, Context, Message, Spawn},
};
use tokio::sync::watch;

use super::store;
use crate::node::{Configuration, Node};

/// Time between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(200);

/// Actor that follows the configuration log in the table and at other daemons.
#[derive(Actor)]
pub struct Follower {
    machine: Machine,
    node: Arc<Node>,
    peers: Arc<peer::Client>,
    configuration: watch::Sender<Arc<Configuration>>,
    ready: watch::Sender<bool>,
}

/// Request for the revisions after a given one, on behalf of another daemon.
pub struct Fetch {
    /// Number of the revision that the other daemon has in force.
    pub after: u64,
}

/// Part of the configuration log that brings another daemon to the revision in force here.
#[derive(Reply)]
pub struct Extract {
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Extract {
    pub fn encode(self) -> wire::FetchReply {
        encode_reply(self.snapshot, self.entries)
    }
}

impl Follower {
    /// Starts the actor. Must be called on the control thread's runtime.
    ///
    /// `configuration` receives each revision that takes effect. `ready` becomes true once the
    /// newest revision that this daemon can learn of is in force.
    pub fn start(
        node: Arc<Node>,
        peers: Arc<peer::Client>,
        configuration: watch::Sender<Arc<Configuration>>,
        ready: watch::Sender<bool>,
    ) -> ActorRef<Self> {
        let poll_period = Duration::from_millis(node.settings.timers.config_poll_ms);
        let machine = Machine::new(poll_period);
        let actor = Self::spawn(Self { machine, node, peers, configuration, ready });
        let tick_target = actor.clone();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(TICK_PERIOD);
            while tick_target.tell(Input::Tick).await.is_ok() {
                interval.tick().await;
            }
        });
        actor
    }

    fn perform(&self, action: Action, actor: &ActorRef<Self>) {
        match action {
            Action::ReadHead => self.read_head(actor.clone()),
            Action::ReadContent { source: Source::Table, after, newest, snapshot } => {
                self.read_content_from_table(actor.clone(), after, newest, snapshot);
            }
            Action::ReadContent { source: Source::Peer { address }, after, .. } => {
                self.read_content_from_peer(actor.clone(), address, after);
            }
            Action::InForce(Snapshot { number, document }) => {
                let digest = document.digest();
                event!(ConfigurationInForce, revision = number, digest = digest.as_str());
                gauge!(metrics::CONFIGURATION_REVISION).set(number as f64);
                self.configuration
                    .send_replace(Arc::new(Configuration { revision: number, document }));
            }
            Action::Ready => {
                self.ready.send_replace(true);
            }
            Action::Mismatch { number } => {
                let error = "the revision does not apply or its digest differs; reading a snapshot";
                event!(ConfigurationUnusable, revision = number, error = error);
            }
        }
    }

    fn read_head(&self, actor: ActorRef<Self>) {
        let table = Arc::clone(&self.node.table);
        self.node.traffic.spawn(async move {
            let input = match store::read_head(table.as_ref()).await {
                Ok((head, _)) => Input::Head { newest: head.newest, snapshot: head.snapshot },
                Err(_) => Input::TableDown,
            };
            let _ = actor.tell(input).await;
        });
    }

    fn read_content_from_table(
        &self,
        actor: ActorRef<Self>,
        after: u64,
        newest: u64,
        snapshot: Option<u64>,
    ) {
        let table = Arc::clone(&self.node.table);
        self.node.traffic.spawn(async move {
            let content = store::read_content(table.as_ref(), after, newest, snapshot).await;
            let _ = actor.tell(content.unwrap_or(Input::ContentFailed)).await;
        });
    }

    fn read_content_from_peer(&self, actor: ActorRef<Self>, address: SocketAddr, after: u64) {
        let peers = Arc::clone(&self.peers);
        self.node.traffic.spawn(async move {
            let reply = peers.fetch(address, after).await;
            let input = reply.ok().and_then(decode_reply).unwrap_or(Input::ContentFailed);
            let _ = actor.tell(input).await;
        });
    }
}

impl Message<Input> for Follower {
    type Reply = ();

    async fn handle(&mut self, input: Input, context: &mut Context<Self, ()>) {
        let now = self.node.clock.now();
        for action in self.machine.handle(now, input) {
            self.perform(action, context.actor_ref());
        }
    }
}

impl Message<Fetch> for Follower {
    type Reply = Extract;

    async fn handle(
        &mut self,
        Fetch { after }: Fetch,
        _: &mut Context<Self, Self::Reply>,
    ) -> Extract {
        let (snapshot, entries) = self.machine.content_after(after);
        Extract { snapshot, entries }
    }
}

fn encode_reply(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> wire::FetchReply {
    let snapshot = snapshot.map(|snapshot| wire::Snapshot {
        number: snapshot.number,
        document: serde_json::to_vec(snapshot.document.as_ref()).unwrap_or_default(),
    });
    let revisions = entries
        .into_iter()
        .map(|entry| wire::Revision {
            number: entry.number,
            delta: serde_json::to_vec(&entry.delta).unwrap_or_default(),
            digest: entry.digest,
        })
        .collect();
    wire::FetchReply { revisions, snapshot }
}

/// Decodes a reply. Returns `None` if a document or delta is malformed.
fn decode_reply(reply: wire::FetchReply) -> Option<Input> {
    let snapshot = match reply.snapshot {
        Some(snapshot) => {
            let document: Document = serde_json::from_slice(&snapshot.document).ok()?;
            Some(Snapshot { number: snapshot.number, document: Arc::new(document) })
        }
        None => None,
    };
    let entries = reply
        .revisions
        .into_iter()
        .map(|revision| {
            let delta = serde_json::from_slice(&revision.delta).ok()?;
            Some(Entry { number: revision.number, delta, digest: revision.digest })
        })
        .collect::<Option<Vec<_>>>()?;
    Some(Input::Content { snapshot, entries })
}
