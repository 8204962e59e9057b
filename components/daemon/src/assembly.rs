//! Puts the parts of a daemon together and runs them until it is asked to stop.

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
    lease,
    membership::Prober,
    node::{Accepted, Clock, Members, Node, Phase},
    observed::Observed,
    online::Online,
    orders::Orders,
    peers::{self, Handler},
    runner::Runner,
    serve::{self, Service},
    shutdown, vms,
};

/// Longest wait for the header section of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory that the bodies of batch jobs may take together, in bytes.
const BATCH_MEMORY_BYTES: usize = 1 << 30;
/// Largest body of a configuration, in bytes.
const ADMIN_BODY_BYTES: usize = 64 << 20;
/// Time between two reports of the own demand to the other daemons.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Time between two upkeeps of the metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(5);
/// Time that traffic tasks get to end after everything else has ended.
const TRAFFIC_END: Duration = Duration::from_secs(1);

/// Runs a daemon until SIGTERM or SIGINT; returns whether it ended without cutting anything off.
///
/// The calling thread becomes the control thread.
pub fn run(settings: settings::Daemon) -> Result<bool, Error> {
    let traffic = Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::Threads)?;
    let control = Builder::new_current_thread().enable_all().build().map_err(Error::Threads)?;
    let result = control.block_on(start(settings, traffic.handle().clone()));
    traffic.shutdown_timeout(TRAFFIC_END);
    result
}

/// Senders of the state that the parts share.
struct Publishers {
    configuration: watch::Sender<Arc<Accepted>>,
    fleet: watch::Sender<Arc<Vec<cyclamengrade_control::fleet::Vm>>>,
    members: watch::Sender<Arc<Members>>,
    phase: watch::Sender<Phase>,
}

async fn start(settings: settings::Daemon, traffic: Handle) -> Result<bool, Error> {
    event!(Starting, daemon = settings.name.as_str(), version = env!("CARGO_PKG_VERSION"));
    let metrics = metrics::install().ok();
    let callers = bind("listen", settings.listen, &traffic).await?;
    let daemons = bind("peer_listen", settings.peer_listen, &traffic).await?;
    let socket = bind_udp(settings.peer_listen, &traffic).await?;
    let (node, publishers) = node(settings, traffic);
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
    let keeper = lease::Keeper::start(
        Arc::clone(&node.table),
        node.clock,
        &node.settings.name,
        &node.settings.lease,
    );
    let client = upstream::Client::new(upstream::Options::default());
    let (effects, actions) = mpsc::unbounded_channel();
    let claims = Arc::new(Claims::from_node(&node, keeper.state()));
    let online = Online::new(Arc::clone(&node), client.clone(), Some(claims), effects);
    let dispatcher = dispatcher(&node, &online, &client, keeper.state());
    spawn_loops(&node, &peers, &dispatcher, &online, &prober, actions, metrics.as_ref());
    tokio::spawn(Orders::run(Arc::clone(&node), client, online.clone(), keeper.state()));

    let (tokens, token_index) = watch::channel(Arc::new(BTreeMap::new()));
    node.traffic.spawn(serve::index_tokens(Arc::clone(&node), tokens));
    let handler = Handler {
        online: online.clone(),
        dispatcher: dispatcher.clone(),
        follower: follower.clone(),
    };
    let stop = shutdown::Stop::new(Arc::clone(&node), publishers.phase);
    node.traffic.spawn(peer::serve(daemons, Arc::new(handler), stop.ended()));
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
    let server = Server::new(Arc::new(service), options(&node.settings));
    let accepting = stop.accepting();
    let served = node.traffic.spawn(async move { server.serve(callers, accepting).await });
    let wait_ready = async move {
        // An error means that the follower has stopped, so the daemon never becomes ready.
        if is_ready.wait_for(|ready| *ready).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    stop.run(wait_ready, served, prober, dispatcher, keeper).await
}

async fn bind(
    setting: &'static str,
    address: SocketAddr,
    traffic: &Handle,
) -> Result<TcpListener, Error> {
    on_traffic(traffic, TcpListener::bind(address)).await.map_err(|cause| Error::Listen {
        setting,
        address,
        cause,
    })
}

async fn bind_udp(address: SocketAddr, traffic: &Handle) -> Result<peer::Socket, Error> {
    on_traffic(traffic, peer::Socket::bind(address)).await.map_err(|cause| Error::Listen {
        setting: "peer_listen",
        address,
        cause,
    })
}

/// Runs a future on the traffic runtime, whose driver then owns the sockets that it opens.
async fn on_traffic<T: Send + 'static>(
    traffic: &Handle,
    future: impl Future<Output = std::io::Result<T>> + Send + 'static,
) -> std::io::Result<T> {
    traffic.spawn(future).await.map_err(std::io::Error::other)?
}

fn node(settings: settings::Daemon, traffic: Handle) -> (Arc<Node>, Publishers) {
    let (configuration, accepted) = watch::channel(Arc::default());
    let (fleet, listed) = watch::channel(Arc::default());
    let (members, live) = watch::channel(Arc::default());
    let (phase, current) = watch::channel(Phase::Starting);
    let addresses = &settings.platform;
    let timeout = Duration::from_millis(addresses.timeout_ms);
    let (table, objects, vms) = (addresses.table, addresses.objects, addresses.vms);
    let client = platform::http::Client::new(table, objects, vms, timeout);
    let client = Arc::new(Observed::new(client));
    let node = Node {
        table: Arc::clone(&client) as Arc<dyn platform::Table>,
        objects: Arc::clone(&client) as Arc<dyn platform::Objects>,
        vms: client,
        clock: Clock::new(),
        traffic,
        configuration: accepted,
        fleet: listed,
        members: live,
        phase: current,
        settings,
    };
    (Arc::new(node), Publishers { configuration, fleet, members, phase })
}

fn dispatcher(
    node: &Arc<Node>,
    online: &Online,
    client: &upstream::Client,
    lease: watch::Receiver<lease::State>,
) -> ActorRef<Dispatcher> {
    let feed = online.clone();
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
        notify: Arc::new(move |input| feed.feed(input)),
    })
}

fn spawn_loops(
    node: &Arc<Node>,
    peers: &Arc<peer::Client>,
    dispatcher: &ActorRef<Dispatcher>,
    online: &Online,
    prober: &ActorRef<Prober>,
    actions: mpsc::UnboundedReceiver<traffic::Action>,
    metrics: Option<&metrics::Handle>,
) {
    let feeding = online.clone();
    node.traffic.spawn(async move { feeding.run().await });
    node.traffic.spawn(peers::relay(
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
            let mut interval = tokio::time::interval(METRICS_PERIOD);
            loop {
                interval.tick().await;
                metrics.upkeep();
            }
        });
    }
}

/// Reports the demand that this daemon sees, which the probes carry to the other daemons.
async fn report_demand(online: Online, prober: ActorRef<Prober>) {
    let mut interval = tokio::time::interval(DEMAND_PERIOD);
    loop {
        interval.tick().await;
        let demand = online.demand().await;
        if prober.tell(membership::Input::Demand(demand)).await.is_err() {
            return;
        }
    }
}

/// Closes connections to daemons that are gone.
async fn close_connections(node: Arc<Node>, peers: Arc<peer::Client>) {
    let mut members = node.members.clone();
    while members.changed().await.is_ok() {
        let live: Vec<_> =
            members.borrow_and_update().daemons.iter().map(|member| member.address).collect();
        peers.retain(&live);
    }
}

fn options(settings: &settings::Daemon) -> Options {
    let timers = &settings.timers;
    Options {
        max_body_bytes: settings.limits.body_bytes,
        max_batch_body_bytes: settings.limits.batch_body_bytes,
        batch_memory_bytes: BATCH_MEMORY_BYTES.max(settings.limits.batch_body_bytes),
        max_admin_body_bytes: ADMIN_BODY_BYTES,
        admin_token: settings.admin_token.clone(),
        max_header_bytes: settings.limits.header_bytes,
        header_timeout: HEADER_TIMEOUT,
        drain_timeout: Duration::from_millis(timers.drain_ms.saturating_sub(timers.leave_ms)),
    }
}
