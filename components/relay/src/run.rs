//! Puts a relay together and runs it.

use std::{future::Future, path::PathBuf, sync::Arc, thread, time::Duration};

use cyclamengrade_peer::occupancy::Socket;
use cyclamengrade_platform::{Feed, Objects, Table, table::Transaction};
use cyclamengrade_settings::Relay as Settings;
use cyclamengrade_telemetry::{event, metrics};
use kameo::prelude::Spawn;
use tokio::{
    runtime::{Builder, Runtime},
    time::{interval, sleep},
};

use crate::{
    Error,
    batch::Dispatcher,
    dialect::Dialect,
    directory::{Directory, Sweep},
    follower::Follower,
    front::{self, Front},
    gossip,
    job::{cleanup, key, row, store},
    shared::{Phase, Shared},
    stop,
};

/// Time between two looks for lapsed upstreams and idle connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks whether this relay is still listed as itself.
const LISTING_PERIOD: Duration = Duration::from_millis(500);

/// What a relay is made of.
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// What is spoken.
    pub dialect: Arc<dyn Dialect>,
    /// Rows of the store, for the traffic thread.
    pub table: Arc<dyn Table>,
    /// Objects of the store.
    pub objects: Arc<dyn Objects>,
    /// Changes of the store, for the control thread.
    pub feed: Arc<dyn Feed>,
    /// File that the settings are read from again after a signal.
    pub path: PathBuf,
}

/// Runs a relay until a signal stops it.
///
/// # Errors
///
/// An address cannot be bound, or threads, signals or metrics cannot be set up.
pub fn run(parts: Parts) -> Result<(), Error> {
    let metrics = metrics::install().map_err(|error| Error::Metrics(error.to_string()))?;
    let Parts { settings, dialect, table, objects, feed, path } = parts;
    event!(Starting, daemon:% = settings.name, version = env!("CARGO_PKG_VERSION"));
    let shared = Shared::new(
        &settings.name,
        &settings.data_centre,
        rand::random::<u64>() >> 1,
        dialect,
        table,
        objects,
        settings.store.row_bytes,
    );
    let shared = Arc::new(shared.with_memory(settings.memory_bytes));
    let control = control(shared.clone(), feed, &settings)?;
    let traffic = runtime()?;
    let result = traffic.block_on(serve(shared, settings, metrics, path));
    traffic.shutdown_background();
    drop(control);
    result
}

fn runtime() -> Result<Runtime, Error> {
    Builder::new_current_thread().enable_all().build().map_err(Error::Thread)
}

/// Starts the thread that follows the store. It ends with the process.
fn control(
    shared: Arc<Shared>,
    feed: Arc<dyn Feed>,
    settings: &Settings,
) -> Result<thread::JoinHandle<()>, Error> {
    let runtime = runtime()?;
    let return_time = Duration::from_millis(settings.store.return_ms);
    let body = move || runtime.block_on(follow(shared, feed, return_time));
    thread::Builder::new().name("control".into()).spawn(body).map_err(Error::Thread)
}

async fn follow(shared: Arc<Shared>, feed: Arc<dyn Feed>, return_time: Duration) {
    let directory = Directory::spawn(Directory::new(shared.clone(), return_time));
    let sources = shared.dialect.sources().clone();
    for table in [sources.configuration_table, sources.upstream_table, key::FLEET.into()] {
        let follower = Follower::new(shared.clone(), feed.clone(), directory.clone(), table);
        tokio::spawn(follower.run());
    }
    let mut period = interval(SWEEP_PERIOD);
    loop {
        period.tick().await;
        if directory.tell(Sweep).await.is_err() {
            event!(InternalFault, error = "the directory has stopped");
            return;
        }
    }
}

async fn serve(
    shared: Arc<Shared>,
    settings: Settings,
    metrics: metrics::Handle,
    path: PathBuf,
) -> Result<(), Error> {
    let socket = Socket::bind(settings.peer_listen)
        .await
        .map_err(|cause| Error::Listen(settings.peer_listen, cause))?;
    let socket = Arc::new(socket);
    let dispatcher = Dispatcher::new(shared.clone());
    let front = Arc::new(Front::new(shared.clone(), dispatcher.clone()));
    let listener = front::bind(settings.listen).await?;
    tokio::spawn(front::ready(shared.clone(), front::bind(settings.ready_listen).await?));
    tokio::spawn(front::metrics(metrics, front::bind(settings.metrics_listen).await?));
    let sender = Arc::new(gossip::Sender::new(shared.clone(), socket.clone()));
    tokio::spawn(sender.clone().tell_all());
    tokio::spawn(sender.ask_for_room());
    tokio::spawn(gossip::receive(shared.clone(), socket));
    tokio::spawn(enlist(shared.clone(), settings.clone()));
    tokio::spawn(dispatcher.clone().run());
    tokio::spawn(dispatcher.clone().watch_owners());
    tokio::spawn(cleanup::run(shared.clone(), settings.store.keep()));
    tokio::spawn(sweep(shared.clone()));
    tokio::spawn(announce(shared.clone()));
    let served: std::pin::Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(front.run(listener));
    stop::run(shared, dispatcher, settings, path, served).await
}

/// Logs when the relay becomes ready.
async fn announce(shared: Arc<Shared>) {
    let mut known = shared.known.subscribe();
    if known.wait_for(|known| known.is_ready()).await.is_ok() {
        event!(Ready, daemon:% = shared.name, revision = shared.routes.load().version);
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_PERIOD * 5).await;
        shared.pool.sweep();
    }
}

/// Keeps the row of this relay in the store. A late write of an earlier start may replace it.
async fn enlist(shared: Arc<Shared>, settings: Settings) {
    let row = row::Member { address: settings.peer_listen, incarnation: shared.incarnation };
    let Ok(value) = store::encode(&row) else { return };
    let mut listed = false;
    while *shared.phase.borrow() == Phase::Running {
        if !listed {
            let write = Transaction::new().with_write(key::member(&shared.name), value.clone());
            match shared.table.commit(write).await {
                Ok(_) => {
                    shared.hear_store();
                    listed = true;
                }
                Err(error) => event!(PlatformUnreachable, service = "table", error:% = error),
            }
        }
        sleep(LISTING_PERIOD).await;
        if listed && let Some(own) = shared.own_listing() {
            listed = own == shared.incarnation;
        }
    }
}
