//! Starts the components of a daemon, connects them and runs them until the daemon is stopped.

use std::{collections::BTreeMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_caller::{Options, Server};
use cyclamengrade_control::{membership, traffic};
use cyclamengrade_peer as peer;
use cyclamengrade_platform as platform;
use cyclamengrade_settings as settings;
use cyclamengrade_telemetry::{event, metrics};
use cyclamengrade_upstream as upstream;
use kameo::prelude::ActorRef;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::{mpsc, watch},
};

use crate::{
    Error,
    batch::{self, Dispatcher, Jobs},
    claims::Claims,
    configuration::Follower,
    instrumented, lease,
    membership::Prober,
    node::{Clock, Configuration, Members, Node, Phase},
    online::Online,
    orders::Orders,
    peers::{self, Handler},
    runner::Runner,
    serve::{self, Service},
    shutdown, vms,
};

/// Maximum time to receive the header section of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory for the bodies of all batch jobs that are being accepted, in bytes. The limit of a single
/// body replaces it if that is larger.
const BATCH_MEMORY_BYTES: usize = 1 << 30;
/// Maximum size of a submitted configuration, in bytes.
const MAX_ADMIN_BODY_BYTES: usize = 64 << 20;
/// Time between two reports of this daemon's demand to the prober.
const DEMAND_REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two maintenance runs of the metrics recorder.
const METRICS_UPKEEP_PERIOD: Duration = Duration::from_secs(5);
/// Maximum time for the tasks of the traffic runtime to end after all other components have
/// stopped.
const TRAFFIC_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a daemon until SIGTERM or SIGINT.
///
/// Returns whether all requests in flight finished and the batch work was handed over within the
/// time limit of the shutdown. The calling thread becomes the control thread.
pub fn run(settings: settings::Daemon) -> Result<bool, Error> {
    let traffic = Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let control = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    let result = control.block_on(start(settings, traffic.handle().clone()));
    traffic.shutdown_timeout(TRAFFIC_SHUTDOWN_TIMEOUT);
    result
}

/// Senders of the state that the components share through [`Node`].
struct Publishers {
    configuration: watch::Sender<Arc<Configuration>>,
    fleet: watch::Sender<Arc<Vec<cyclamengrade_control::fleet::Vm>>>,
    members: watch::Sender<Arc<Members>>,
    phase: watch::Sender<Phase>,
}

async fn start(settings: settings::Daemon, traffic: Handle) -> Result<bool, Error> {
    event!(Starting, daemon = settings.name.as_str(), version = env!("CARGO_PKG_VERSION"));
    let metrics = metrics::install().ok();
    let caller_listener = bind("listen", settings.listen, &traffic).await?;
    let peer_listener = bind("peer_listen", settings.peer_listen, &traffic).await?;
    let socket = bind_udp(settings.peer_listen, &traffic).await?;
    let (node, publishers) = create_node(settings, traffic);
    let peers = Arc::new(peer::Client::new());
    let (ready, mut is_ready) = watch::channel(false);
    let follower =
        Follower::start(Arc::clone(&node), Arc::clone(&peers), publishers.configuration, ready);
    let prober = Prober::start(
        Arc::clone(&node),
        socket,
        publishers.members,
        follower.clone(),
        node.settings.policy.seed.unwrap_or_else(rand::random),
    );
    node.traffic.spawn(vms::poll(Arc::clone(&node), publishers.fleet));
    let lease_renewer = lease::Renewer::start(
        Arc::clone(&node.table),
        node.clock,
        &node.settings.name,
        &node.settings.lease,
    );
    let client = upstream::Client::new(upstream::Options::default());
    let (action_sender, actions) = mpsc::unbounded_channel();
    let claims = Arc::new(Claims::from_node(&node, lease_renewer.state()));
    let online = Online::new(Arc::clone(&node), client.clone(), Some(claims), action_sender);
    let dispatcher = start_dispatcher(&node, &online, &client, lease_renewer.state());
    spawn_tasks(&node, &peers, &dispatcher, &online, &prober, actions, metrics.as_ref());
    tokio::spawn(Orders::run(Arc::clone(&node), client, online.clone(), lease_renewer.state()));

    let (tokens, token_index) = watch::channel(Arc::new(BTreeMap::new()));
    node.traffic.spawn(serve::publish_token_index(Arc::clone(&node), tokens));
    let handler = Handler {
        online: online.clone(),
        dispatcher: dispatcher.clone(),
        follower: follower.clone(),
    };
    let shutdown = shutdown::Coordinator::new(Arc::clone(&node), publishers.phase);
    node.traffic.spawn(peer::serve(peer_listener, Arc::new(handler), shutdown.stopped()));
    let service = Service {
        node: Arc::clone(&node),
        online,
        jobs: Arc::new(Jobs::from_node(&node)),
        dispatcher: dispatcher.clone(),
        follower,
        peers,
        tokens: token_index,
        metrics,
    };
    let server = Server::new(Arc::new(service), server_options(&node.settings));
    let draining = shutdown.draining();
    let served = node.traffic.spawn(async move { server.serve(caller_listener, draining).await });
    let wait_ready = async move {
        // An error means that the follower has stopped and the daemon can never become ready.
        if is_ready.wait_for(|ready| *ready).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    shutdown.run(wait_ready, served, prober, dispatcher, lease_renewer).await
}

async fn bind(
    setting: &'static str,
    address: SocketAddr,
    traffic: &Handle,
) -> Result<TcpListener, Error> {
    run_on_traffic(traffic, TcpListener::bind(address)).await.map_err(|cause| Error::Listen {
        setting,
        address,
        cause,
    })
}

async fn bind_udp(address: SocketAddr, traffic: &Handle) -> Result<peer::Socket, Error> {
    run_on_traffic(traffic, peer::Socket::bind(address)).await.map_err(|cause| Error::Listen {
        setting: "peer_listen",
        address,
        cause,
    })
}

/// Runs a future on the traffic runtime, so that the sockets it opens belong to the I/O driver of
/// that runtime.
async fn run_on_traffic<T: Send + 'static>(
    traffic: &Handle,
    future: impl Future<Output = std::io::Result<T>> + Send + 'static,
) -> std::io::Result<T> {
    traffic.spawn(future).await.map_err(std::io::Error::other)?
}

fn create_node(settings: settings::Daemon, traffic: Handle) -> (Arc<Node>, Publishers) {
    let (configuration, configuration_receiver) = watch::channel(Arc::default());
    let (fleet, fleet_receiver) = watch::channel(Arc::default());
    let (members, members_receiver) = watch::channel(Arc::default());
    let (phase, phase_receiver) = watch::channel(Phase::Starting);
    let addresses = &settings.platform;
    let timeout = Duration::from_millis(addresses.timeout_ms);
    let (table, objects, vms) = (addresses.table, addresses.objects, addresses.vms);
    let client = platform::http::Client::new(table, objects, vms, timeout);
    let client = Arc::new(instrumented::Client::new(client));
    let node = Node {
        table: Arc::clone(&client) as Arc<dyn platform::Table>,
        objects: Arc::clone(&client) as Arc<dyn platform::Objects>,
        vms: client,
        clock: Clock::new(),
        traffic,
        configuration: configuration_receiver,
        fleet: fleet_receiver,
        members: members_receiver,
        phase: phase_receiver,
        settings,
    };
    (Arc::new(node), Publishers { configuration, fleet, members, phase })
}

fn start_dispatcher(
    node: &Arc<Node>,
    online: &Online,
    client: &upstream::Client,
    lease: watch::Receiver<lease::State>,
) -> ActorRef<Dispatcher> {
    let online = online.clone();
    Dispatcher::start(batch::Dependencies {
        table: Arc::clone(&node.table),
        objects: Arc::clone(&node.objects),
        clock: node.clock,
        runner: Arc::new(Runner::new(client.clone(), node.traffic.clone())),
        traffic: node.traffic.clone(),
        settings: node.settings.clone(),
        configuration: node.configuration.clone(),
        fleet: node.fleet.clone(),
        lease,
        notify: Arc::new(move |input| online.send_input(input)),
    })
}

fn spawn_tasks(
    node: &Arc<Node>,
    peers: &Arc<peer::Client>,
    dispatcher: &ActorRef<Dispatcher>,
    online: &Online,
    prober: &ActorRef<Prober>,
    actions: mpsc::UnboundedReceiver<traffic::Action>,
    metrics: Option<&metrics::Handle>,
) {
    let online_task = online.clone();
    node.traffic.spawn(async move { online_task.run().await });
    node.traffic.spawn(peers::forward_actions(
        Arc::clone(node),
        Arc::clone(peers),
        dispatcher.clone(),
        online.clone(),
        actions,
    ));
    node.traffic.spawn(report_demand(online.clone(), prober.clone()));
    node.traffic.spawn(close_connections(Arc::clone(node), Arc::clone(peers)));
    if let Some(metrics) = metrics.cloned() {
        node.traffic.spawn(async move {
            let mut interval = tokio::time::interval(METRICS_UPKEEP_PERIOD);
            loop {
                interval.tick().await;
                metrics.upkeep();
            }
        });
    }
}

/// Reports the demand at this daemon to the prober, whose probes carry it to the other daemons.
async fn report_demand(online: Online, prober: ActorRef<Prober>) {
    let mut interval = tokio::time::interval(DEMAND_REPORT_PERIOD);
    loop {
        interval.tick().await;
        let demand = online.demand().await;
        if prober.tell(membership::Input::Demand(demand)).await.is_err() {
            return;
        }
    }
}

/// Closes the connections to daemons that are no longer live.
async fn close_connections(node: Arc<Node>, peers: Arc<peer::Client>) {
    let mut members = node.members.clone();
    while members.changed().await.is_ok() {
        let live: Vec<_> =
            members.borrow_and_update().daemons.iter().map(|member| member.address).collect();
        peers.retain(&live);
    }
}

fn server_options(settings: &settings::Daemon) -> Options {
    let timers = &settings.timers;
    Options {
        max_body_bytes: settings.limits.body_bytes,
        max_batch_body_bytes: settings.limits.batch_body_bytes,
        batch_memory_bytes: BATCH_MEMORY_BYTES.max(settings.limits.batch_body_bytes),
        max_admin_body_bytes: MAX_ADMIN_BODY_BYTES,
        admin_token: settings.admin_token.clone(),
        max_header_bytes: settings.limits.header_bytes,
        header_timeout: HEADER_TIMEOUT,
        drain_timeout: Duration::from_millis(timers.drain_ms.saturating_sub(timers.leave_ms)),
    }
}
