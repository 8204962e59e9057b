//! A node without platform, and its online requests.
#![allow(dead_code, clippy::panic, clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    traffic::{Action, Input, Load},
};
use cyclamengrade_daemon::{
    node::{Accepted, Clock, Member, Members, Node, Phase},
    online::{Claims, Online},
};
use cyclamengrade_platform as platform;
use cyclamengrade_settings as settings;
use cyclamengrade_upstream as upstream;
use tokio::{
    runtime::Handle,
    sync::{mpsc, watch},
};

/// A platform that is down.
struct Down;

fn down<T>() -> platform::Boxed<'static, T> {
    Box::pin(async { panic!("online requests must not use the platform") })
}

impl platform::Table for Down {
    fn read(&self, _: Vec<String>) -> platform::Boxed<'_, Vec<Option<platform::table::Row>>> {
        down()
    }

    fn scan(
        &self,
        _: String,
        _: String,
        _: usize,
    ) -> platform::Boxed<'_, Vec<platform::table::Row>> {
        down()
    }

    fn commit(
        &self,
        _: platform::table::Transaction,
    ) -> platform::Boxed<'_, platform::table::Commit> {
        down()
    }
}

impl platform::Objects for Down {
    fn delete(&self, _: String) -> platform::Boxed<'_, ()> {
        down()
    }

    fn put_new(&self, _: String, _: Bytes) -> platform::Boxed<'_, bool> {
        down()
    }

    fn get(&self, _: String) -> platform::Boxed<'_, Option<Bytes>> {
        down()
    }
}

impl platform::Vms for Down {
    fn list(&self, _: Option<String>) -> platform::Boxed<'_, Option<(String, Vec<platform::Vm>)>> {
        down()
    }
}

/// Senders that keep the node's channels open.
pub struct Daemon {
    pub online: Online,
    pub effects: mpsc::UnboundedReceiver<Action>,
    pub fleet: watch::Sender<Arc<Vec<Vm>>>,
    _rest: (watch::Sender<Arc<Accepted>>, watch::Sender<Arc<Members>>, watch::Sender<Phase>),
}

/// Deployments: `wording-llm` (model `m@1`) and `print-relay` (service).
pub fn document() -> Document {
    let mut document = Document::default();
    document.deployments.insert("wording-llm".into(), Deployment::model("m", "1"));
    document.deployments.insert("print-relay".into(), Deployment::service());
    document
}

/// Vms of one deployment at the given addresses, named `u0` and so on.
pub fn vms(service: &str, addresses: &[SocketAddr]) -> Vec<Vm> {
    addresses
        .iter()
        .enumerate()
        .map(|(number, &address)| Vm {
            name: format!("u{number}"),
            address,
            data_centre: "ktm-a".into(),
            service: service.into(),
            leaving: false,
        })
        .collect()
}

pub fn settings() -> settings::Daemon {
    let mut settings: settings::Daemon = serde_json::from_str(
        r#"{
            "name": "d0",
            "data_centre": "ktm-a",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "vms": "127.0.0.1:1"}
        }"#,
    )
    .unwrap();
    settings.policy.seed = Some(1);
    settings
}

impl Daemon {
    /// Online requests to upstreams that have reported that they are ready.
    pub async fn start(vms: Vec<Vm>, claims: Option<Arc<dyn Claims>>) -> Self {
        Self::start_on(Handle::current(), vms, claims, settings()).await
    }

    /// Online requests whose tasks run on the given runtime.
    pub async fn start_on(
        traffic: Handle,
        vms: Vec<Vm>,
        claims: Option<Arc<dyn Claims>>,
        settings: settings::Daemon,
    ) -> Self {
        let member = Member {
            name: "d0".into(),
            address: settings.peer_listen,
            data_centre: "ktm-a".into(),
        };
        let members = Members { daemons: vec![member], demand: Vec::new() };
        let accepted = Accepted { revision: 1, document: Arc::new(document()) };
        let (configuration, configuration_receiver) = watch::channel(Arc::new(accepted));
        let (fleet, fleet_receiver) = watch::channel(Arc::new(vms));
        let (members, members_receiver) = watch::channel(Arc::new(members));
        let (phase, phase_receiver) = watch::channel(Phase::Ready);
        let node = Arc::new(Node {
            settings,
            table: Arc::new(Down),
            objects: Arc::new(Down),
            vms: Arc::new(Down),
            clock: Clock::new(),
            traffic: traffic.clone(),
            configuration: configuration_receiver,
            fleet: fleet_receiver,
            members: members_receiver,
            phase: phase_receiver,
        });
        let (effects_sender, effects) = mpsc::unbounded_channel();
        let client = upstream::Client::new(upstream::Options::default());
        let online = Online::new(node, client, claims, effects_sender);
        let running = online.clone();
        traffic.spawn(async move { running.run().await });
        let daemon = Self { online, effects, fleet, _rest: (configuration, members, phase) };
        daemon.settle().await;
        daemon
    }

    /// Waits until the actor knows the upstreams.
    async fn settle(&self) {
        let vms = self.fleet.borrow().clone();
        let load = Load { slots: 8, ready: true, ..Load::default() };
        while self.online.status().await.len() < vms.len() {
            tokio::task::yield_now().await;
        }
        for vm in vms.iter() {
            self.online.feed(Input::Load { upstream: vm.name.clone(), load });
        }
    }
}
