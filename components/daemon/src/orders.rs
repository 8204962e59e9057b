//! Actor that sends orders to the model engines. An order states the models that an engine must
//! load.

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
const TICK_PERIOD: Duration = Duration::from_secs(1);

/// Actor that sends orders to the engines that rendezvous hashing assigns to this daemon.
#[derive(Actor)]
pub struct Orders {
    machine: Machine,
    node: Arc<Node>,
    client: Client,
    lease: watch::Receiver<lease::State>,
}

impl Orders {
    /// Waits until the lease is acquired, then starts the actor and sends it inputs until it stops.
    ///
    /// Must run on the control thread's runtime.
    pub async fn run(
        node: Arc<Node>,
        client: Client,
        online: Online,
        mut lease: watch::Receiver<lease::State>,
    ) {
        let Ok(epoch) = lease.wait_for(|state| state.epoch.is_some()).await.map(|s| s.epoch) else {
            return;
        };
        let machine = Machine::new(machine_settings(&node, epoch.unwrap_or_default()));
        let actor = Self::spawn(Self { machine, node: Arc::clone(&node), client, lease });
        let mut interval = tokio::time::interval(TICK_PERIOD);
        let mut known_models = BTreeMap::new();
        loop {
            interval.tick().await;
            for input in collect_inputs(&node, &online, &mut known_models) {
                if actor.tell(input).await.is_err() {
                    return;
                }
            }
        }
    }

    fn perform(&self, action: Action, actor: &ActorRef<Self>) {
        let actor = actor.clone();
        match action {
            Action::ReadRow { upstream } => {
                let table = Arc::clone(&self.node.table);
                self.node.traffic.spawn(async move {
                    let row = read_ownership(table.as_ref(), &upstream).await;
                    let _ = actor.tell(Input::RowRead { upstream, row }).await;
                });
            }
            Action::Claim { upstream, version, ownership } => {
                let table = Arc::clone(&self.node.table);
                self.node.traffic.spawn(async move {
                    let held =
                        claim_ownership(table.as_ref(), &upstream, version, &ownership).await;
                    let _ = actor.tell(Input::Claimed { upstream, held }).await;
                });
            }
            Action::Order { upstream, address, fence, models } => {
                self.send_order(actor, upstream, address, fence, models);
            }
        }
    }

    fn send_order(
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
            self.perform(action, context.actor_ref());
        }
    }
}

fn machine_settings(node: &Node, epoch: u64) -> Settings {
    let settings = &node.settings;
    Settings {
        daemon: settings.name.clone(),
        epoch,
        lease: Duration::from_millis(settings.lease.length_ms),
        margin: Duration::from_millis(settings.lease.margin_ms),
        longest_request: Duration::from_millis(settings.timers.request_ms),
    }
}

/// Returns the inputs that bring the state machine up to date, with the tick last.
///
/// `known_models` holds the models that the machine already knows, by upstream, and is updated.
fn collect_inputs(
    node: &Node,
    online: &Online,
    known_models: &mut BTreeMap<String, Vec<String>>,
) -> Vec<Input> {
    let document = Arc::clone(&node.configuration.borrow().document);
    let vms = Arc::clone(&node.fleet.borrow());
    let members = Arc::clone(&node.members.borrow());
    let names = members.daemons.iter().map(|member| member.name.clone()).collect();
    let mut inputs = vec![Input::Fleet { vms, document }, Input::Members(names)];
    let models = online.models();
    for (upstream, models) in &models {
        if known_models.get(upstream) != Some(models) {
            inputs.push(Input::Models { upstream: upstream.clone(), models: models.clone() });
        }
    }
    *known_models = models;
    inputs.push(Input::Tick);
    inputs
}

fn row_key(upstream: &str) -> String {
    format!("order/{upstream}")
}

/// Reads an upstream's row and returns its version, which is 0 if there is no row, and its content.
/// Returns `None` if the table cannot be read.
async fn read_ownership(
    table: &dyn platform::Table,
    upstream: &str,
) -> Option<(u64, Option<Ownership>)> {
    let rows = table.read(vec![row_key(upstream)]).await.ok()?;
    match rows.into_iter().next().flatten() {
        // A row that cannot be decoded is replaced, and its fencing number is lost.
        Some(row) => Some((row.version, serde_json::from_value(row.value).ok())),
        None => Some((0, None)),
    }
}

/// Writes an upstream's row if it still has the version, and returns whether the write is
/// confirmed.
async fn claim_ownership(
    table: &dyn platform::Table,
    upstream: &str,
    version: u64,
    ownership: &Ownership,
) -> bool {
    let key = row_key(upstream);
    let transaction =
        Transaction::new().with_condition(&key, version).with_write(&key, json!(ownership));
    match table.commit(transaction).await {
        Ok(commit) => matches!(commit, Commit::Done { .. }),
        // The write may have taken effect; the next read of the row will show whether it did.
        Err(_) => false,
    }
}
