//! Node without a platform, and its online requests.
#![allow(dead_code, clippy::panic, clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use cyclamengrade_configuration::{Deployment, Document};
use cyclamengrade_control::{
    fleet::Vm,
    traffic::{Action, Input, Load},
};
use cyclamengrade_daemon::{
    node::{Clock, Configuration, Member, Members, Node, Phase},
    online::{Claims, Online},
};
use cyclamengrade_platform as platform;
use cyclamengrade_settings as settings;
use cyclamengrade_upstream as upstream;
use tokio::{
    runtime::Handle,
    sync::{mpsc, watch},
};

/// Platform that must not be used: every method panics.
struct ForbiddenPlatform;

fn forbidden<T>() -> platform::Boxed<'static, T> {
    Box::pin(async { panic!("online requests must not use the platform") })
}

impl platform::Table for ForbiddenPlatform {
    fn read(&self, _: Vec<String>) -> platform::Boxed<'_, Vec<Option<platform::table::Row>>> {
        forbidden()
    }

    fn scan(
        &self,
        _: String,
        _: String,
        _: usize,
    ) -> platform::Boxed<'_, Vec<platform::table::Row>> {
        forbidden()
    }

    fn commit(
        &self,
        _: platform::table::Transaction,
    ) -> platform::Boxed<'_, platform::table::Commit> {
        forbidden()
    }
}

impl platform::Objects for ForbiddenPlatform {
    fn delete(&self, _: String) -> platform::Boxed<'_, ()> {
        forbidden()
    }

    fn put_new(&self, _: String, _: Bytes) -> platform::Boxed<'_, bool> {
        forbidden()
    }

    fn get(&self, _: String) -> platform::Boxed<'_, Option<Bytes>> {
        forbidden()
    }
}

impl platform::Vms for ForbiddenPlatform {
    fn list(&self, _: Option<String>) -> platform::Boxed<'_, Option<(String, Vec<platform::Vm>)>> {
        forbidden()
    }
}

/// Daemon that serves online requests only. Its senders keep the channels of the node open.
pub struct Daemon {
    pub online: Online,
    pub batch_actions: mpsc::UnboundedReceiver<Action>,
    pub fleet: watch::Sender<Arc<Vec<Vm>>>,
    _senders:
        (watch::Sender<Arc<Configuration>>, watch::Sender<Arc<Members>>, watch::Sender<Phase>),
}

/// Returns a configuration with the deployments `wording-llm` (model `m@1`) and `print-relay`
/// (service).
pub fn document() -> Document {
    let mut document = Document::default();
    document.deployments.insert("wording-llm".into(), Deployment::model("m", "1"));
    document.deployments.insert("print-relay".into(), Deployment::service());
    document
}

/// Returns vms of one deployment at the given addresses, named `u0` and so on.
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
    /// Starts a daemon whose upstreams have reported that they are ready.
    pub async fn start(vms: Vec<Vm>, claims: Option<Arc<dyn Claims>>) -> Self {
        Self::start_on(Handle::current(), vms, claims, settings()).await
    }

    /// Like [`start`](Self::start), with the tasks of the requests on the given runtime.
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
        let first_revision = Configuration { revision: 1, document: Arc::new(document()) };
        let (configuration, configuration_receiver) = watch::channel(Arc::new(first_revision));
        let (fleet, fleet_receiver) = watch::channel(Arc::new(vms));
        let (members, members_receiver) = watch::channel(Arc::new(members));
        let (phase, phase_receiver) = watch::channel(Phase::Ready);
        let node = Arc::new(Node {
            settings,
            table: Arc::new(ForbiddenPlatform),
            objects: Arc::new(ForbiddenPlatform),
            vms: Arc::new(ForbiddenPlatform),
            clock: Clock::new(),
            traffic: traffic.clone(),
            configuration: configuration_receiver,
            fleet: fleet_receiver,
            members: members_receiver,
            phase: phase_receiver,
        });
        let (batch_actions_sender, batch_actions) = mpsc::unbounded_channel();
        let client = upstream::Client::new(upstream::Options::default());
        let online = Online::new(node, client, claims, batch_actions_sender);
        let background = online.clone();
        traffic.spawn(async move { background.run().await });
        let daemon =
            Self { online, batch_actions, fleet, _senders: (configuration, members, phase) };
        daemon.make_upstreams_ready().await;
        daemon
    }

    /// Puts a configuration with another version of the model of `wording-llm` in force.
    pub fn set_model_version(&self, version: &str) {
        let mut document = document();
        document.deployments.insert("wording-llm".into(), Deployment::model("m", version));
        let next = Configuration { revision: 2, document: Arc::new(document) };
        self._senders.0.send_replace(Arc::new(next));
    }

    /// Waits until the actor knows the upstreams, and reports each of them as ready.
    async fn make_upstreams_ready(&self) {
        let vms = self.fleet.borrow().clone();
        let load = Load { slots: 8, ready: true, ..Load::default() };
        while self.online.status().await.len() < vms.len() {
            tokio::task::yield_now().await;
        }
        for vm in vms.iter() {
            self.online.send_input(Input::Load { upstream: vm.name.clone(), load });
        }
    }
}
