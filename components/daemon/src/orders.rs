//! Actor that gives orders to the model engines.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_control::order::{Action, Input, Machine, Ownership, Settings};
use cyclamengrade_platform::{
    self as platform,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::{event, metrics::ORDERS};
use cyclamengrade_upstream::{Client, wire};
use kameo::prelude::{Actor, ActorRef, Context, Message, Spawn};
use metrics::counter;
use serde_json::json;
use tokio::sync::watch;

use crate::{lease, node::Node, online::Online};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_secs(1);

/// Gives orders to the engines that rendezvous hashing assigns to this daemon.
#[derive(Actor)]
pub struct Orders {
    machine: Machine,
    node: Arc<Node>,
    client: Client,
    lease: watch::Receiver<lease::State>,
}

impl Orders {
    /// Starts once the lease is held; must run on the control thread's runtime.
    pub async fn run(
        node: Arc<Node>,
        client: Client,
        online: Online,
        mut lease: watch::Receiver<lease::State>,
    ) {
        let Ok(epoch) = lease.wait_for(|state| state.epoch.is_some()).await.map(|s| s.epoch) else {
            return;
        };
        let machine = Machine::new(settings(&node, epoch.unwrap_or_default()));
        let actor = Self::spawn(Self { machine, node: Arc::clone(&node), client, lease });
        let mut interval = tokio::time::interval(TICK);
        let mut reported = BTreeMap::new();
        loop {
            interval.tick().await;
            for input in observe(&node, &online, &mut reported) {
                if actor.tell(input).await.is_err() {
                    return;
                }
            }
        }
    }

    fn act(&self, action: Action, actor: &ActorRef<Self>) {
        let actor = actor.clone();
        match action {
            Action::ReadRow { upstream } => {
                let table = Arc::clone(&self.node.table);
                self.node.traffic.spawn(async move {
                    let row = read(table.as_ref(), &upstream).await;
                    let _ = actor.tell(Input::RowRead { upstream, row }).await;
                });
            }
            Action::Claim { upstream, version, ownership } => {
                let table = Arc::clone(&self.node.table);
                self.node.traffic.spawn(async move {
                    let held = claim(table.as_ref(), &upstream, version, &ownership).await;
                    let _ = actor.tell(Input::Claimed { upstream, held }).await;
                });
            }
            Action::Order { upstream, address, fence, models } => {
                self.order(actor, upstream, address, fence, models);
            }
        }
    }

    fn order(
        &self,
        actor: ActorRef<Self>,
        upstream: String,
        address: SocketAddr,
        fence: u64,
        models: Vec<String>,
    ) {
        if self.lease.borrow().held_epoch(self.node.clock.now()).is_none() {
            return;
        }
        counter!(ORDERS, "outcome" => "sent").increment(1);
        event!(OrderSent, upstream = upstream.as_str(), fence = fence, wanted:? = models);
        let client = self.client.clone();
        self.node.traffic.spawn(async move {
            let result = client.order(address, fence, &wire::Order { models }).await;
            if let Err(error) = &result {
                counter!(ORDERS, "outcome" => "refused").increment(1);
                event!(OrderRefused, upstream = upstream.as_str(), fence = fence, error:% = error);
            }
            let accepted = result.is_ok();
            let _ = actor.tell(Input::Ordered { upstream, accepted }).await;
        });
    }
}

impl Message<Input> for Orders {
    type Reply = ();

    async fn handle(&mut self, input: Input, context: &mut Context<Self, ()>) {
        let now = self.node.clock.now();
        for action in self.machine.handle(now, input) {
            self.act(action, context.actor_ref());
        }
    }
}

fn settings(node: &Node, epoch: u64) -> Settings {
    let settings = &node.settings;
    Settings {
        daemon: settings.name.clone(),
        epoch,
        lease: Duration::from_millis(settings.lease.length_ms),
        margin: Duration::from_millis(settings.lease.margin_ms),
        longest_request: Duration::from_millis(settings.timers.request_ms),
    }
}

/// Inputs that bring the machine up to date, the tick last; `reported` holds the models that the
/// machine knows.
fn observe(
    node: &Node,
    online: &Online,
    reported: &mut BTreeMap<String, Vec<String>>,
) -> Vec<Input> {
    let document = Arc::clone(&node.configuration.borrow().document);
    let vms = Arc::clone(&node.fleet.borrow());
    let members = Arc::clone(&node.members.borrow());
    let names = members.daemons.iter().map(|member| member.name.clone()).collect();
    let mut inputs = vec![Input::Fleet { vms, document }, Input::Members(names)];
    let models = online.models();
    for (upstream, models) in &models {
        if reported.get(upstream) != Some(models) {
            inputs.push(Input::Models { upstream: upstream.clone(), models: models.clone() });
        }
    }
    *reported = models;
    inputs.push(Input::Tick);
    inputs
}

fn key(upstream: &str) -> String {
    format!("order/{upstream}")
}

async fn read(table: &dyn platform::Table, upstream: &str) -> Option<(u64, Option<Ownership>)> {
    let rows = table.read(vec![key(upstream)]).await.ok()?;
    match rows.into_iter().next().flatten() {
        // A row that is not understood is replaced; its fencing number is lost with it.
        Some(row) => Some((row.version, serde_json::from_value(row.value).ok())),
        None => Some((0, None)),
    }
}

async fn claim(
    table: &dyn platform::Table,
    upstream: &str,
    version: u64,
    ownership: &Ownership,
) -> bool {
    let key = key(upstream);
    let transaction =
        Transaction::new().with_condition(&key, version).with_write(&key, json!(ownership));
    match table.commit(transaction).await {
        Ok(commit) => matches!(commit, Commit::Done { .. }),
        // The write may have taken effect; the next read of the row shows it.
        Err(_) => false,
    }
}
