//! Starts the threads and tasks of a relay and runs it until it stops.

use std::{future::Future, path::PathBuf, sync::Arc, thread, time::Duration};

use cyclamengrade_peer::slots::Socket;
use cyclamengrade_platform::{
    Feed, Objects, Table,
    table::{Commit, Transaction},
};
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
    clock,
    dialect::Dialect,
    directory::{Directory, Sweep},
    evidence,
    follower::Follower,
    front,
    job::{cleanup, key, row, store},
    leaving, link, listing,
    origin::archive,
    peers, quarantine, roll_call,
    shared::{Phase, Readiness, Shared},
    stop,
    task::{self, spawn_essential},
};

/// Time between two removals of expired upstreams. Expired connections are closed every fifth
/// period.
const SWEEP_PERIOD: Duration = Duration::from_millis(200);
/// Time between two checks whether the row of this relay in the store is still its own.
const ROW_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Settings and services that a relay is built from.
pub struct Parts {
    pub settings: Settings,
    /// Headers, paths and formats of callers, upstreams and the store.
    pub dialect: Arc<dyn Dialect>,
    /// Rows of the store, for use by the traffic thread, which is the one that calls [`run`].
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    /// Changes of the store, for use by the control thread, which [`run`] starts.
    pub feed: Arc<dyn Feed>,
    /// File from which the settings are read again after a hangup signal.
    pub path: PathBuf,
}

/// Runs a relay until a signal stops it.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the threads, signal handlers or metrics cannot be set
/// up.
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
    let apply_time = Duration::from_millis(settings.store.apply_ms);
    let shared = shared.with_memory(settings.memory_bytes).with_apply_time(apply_time);
    let shared = Arc::new(shared.with_revocation(settings.accounts.revocation_time()));
    shared.set_peer(settings.peer_listen, settings.capacity());
    let control = spawn_control(shared.clone(), feed, &settings)?;
    let traffic = runtime()?;
    let result = traffic.block_on(serve(shared, settings, metrics, path));
    traffic.shutdown_background();
    drop(control);
    result
}

fn runtime() -> Result<Runtime, Error> {
    Builder::new_current_thread().enable_all().build().map_err(Error::Thread)
}

/// Starts the thread that follows the store and exchanges messages with the other relays until the
/// process ends.
fn spawn_control(
    shared: Arc<Shared>,
    feed: Arc<dyn Feed>,
    settings: &Settings,
) -> Result<thread::JoinHandle<()>, Error> {
    let runtime = runtime()?;
    let grace_period = Duration::from_millis(settings.store.return_ms);
    let apply = Duration::from_millis(settings.store.apply_ms);
    let socket = {
        let _context = runtime.enter();
        let socket = Socket::bind(settings.peer_listen);
        Arc::new(socket.map_err(|cause| Error::Listen(settings.peer_listen, cause))?)
    };
    shared.slots.set_socket(socket.clone());
    let body = move || {
        runtime.block_on(async move {
            spawn_essential(&shared, "messages", peers::receive(shared.clone(), socket));
            spawn_essential(&shared, "reports", peers::report(shared.clone()));
            spawn_essential(&shared, "changes", peers::report_changes(shared.clone()));
            spawn_essential(&shared, "quotas", shared.clone().tell_levels());
            let follow = follow_store(shared.clone(), feed, grace_period, apply);
            if task::catch("store", follow).await.is_err() {
                shared.fail();
            }
            // The other tasks of this thread go on while the relay shuts down.
            std::future::pending::<()>().await
        });
    };
    thread::Builder::new().name("control".into()).spawn(body).map_err(Error::Thread)
}

async fn follow_store(
    shared: Arc<Shared>,
    feed: Arc<dyn Feed>,
    grace_period: Duration,
    apply: Duration,
) {
    let directory = Directory::spawn(Directory::new(shared.clone(), grace_period));
    let sources = shared.dialect.sources().clone();
    let list = sources.upstream_table.clone();
    spawn_essential(&shared, "listing", listing::confirm(shared.clone(), feed.clone(), list));
    for table in [sources.configuration_table, sources.upstream_table, key::FLEET.into()] {
        let follower = Follower::new(shared.clone(), feed.clone(), directory.clone(), table, apply);
        spawn_essential(&shared, "feed", follower.run());
    }
    spawn_essential(&shared, "evidence", evidence::run(shared.clone(), directory.clone()));
    let mut period = interval(SWEEP_PERIOD);
    loop {
        period.tick().await;
        if directory.tell(Sweep).await.is_err() {
            event!(InternalFault, error = "the directory actor has stopped");
            shared.fail();
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
    let dispatcher = Dispatcher::new(shared.clone());
    let front = Arc::new(front::Server::new(shared.clone(), dispatcher.clone()));
    let listener = front::bind(settings.listen).await?;
    spawn_essential(&shared, "pauses", clock::watch_pauses(shared.clone()));
    spawn_essential(
        &shared,
        "readiness",
        front::ready(shared.clone(), front::bind(settings.ready_listen).await?),
    );
    let metrics_listener = front::bind(settings.metrics_listen).await?;
    spawn_essential(&shared, "metrics", front::metrics(shared.clone(), metrics, metrics_listener));
    spawn_essential(&shared, "row", maintain_row(shared.clone(), settings.clone()));
    spawn_essential(&shared, "dispatcher", dispatcher.clone().run());
    spawn_essential(&shared, "takeovers", dispatcher.clone().watch_owners());
    spawn_essential(&shared, "cleanup", cleanup::run(shared.clone(), settings.store.keep()));
    let carrier = front::bind(settings.peer_listen).await?;
    spawn_essential(&shared, "carrier", link::carrier::serve(dispatcher.clone(), carrier));
    spawn_essential(&shared, "probes", shared.clone().probe_lost_links());
    spawn_essential(&shared, "connections", close_expired_connections(shared.clone()));
    spawn_essential(&shared, "leaving", leaving::store_changes(shared.clone()));
    spawn_essential(&shared, "roll call", roll_call::run(shared.clone()));
    spawn_essential(&shared, "quarantine", quarantine::store_changes(shared.clone()));
    spawn_essential(&shared, "origins", archive::write_changes(shared.clone()));
    spawn_essential(&shared, "versions", archive::watch_versions(shared.clone()));
    tokio::spawn(log_ready(shared.clone()));
    let server: std::pin::Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(front.run(listener));
    stop::run(shared, dispatcher, settings, path, server).await
}

/// Logs when the relay becomes ready.
async fn log_ready(shared: Arc<Shared>) {
    let mut readiness = shared.readiness.subscribe();
    if readiness.wait_for(|readiness| readiness.is_ready()).await.is_ok() {
        event!(Ready, daemon:% = shared.name, revision = shared.routes.load().version);
    }
}

async fn close_expired_connections(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_PERIOD * 5).await;
        shared.pool.close_expired();
        shared.close_unusable_carried();
    }
}

/// Writes the row of this relay to the store, and writes it again when it was replaced and to answer
/// roll calls. A delayed write of an earlier start may replace it.
async fn maintain_row(shared: Arc<Shared>, settings: Settings) {
    // The clock of the store is known once one of its tables was read.
    let mut readiness = shared.readiness.subscribe();
    let is_any_read = |readiness: &Readiness| *readiness != Readiness::default();
    let _ = readiness.wait_for(is_any_read).await;
    let joined_ms = shared.clock.store_ms().unwrap_or_default();
    shared.set_joined_ms(joined_ms);
    let row = row::Member {
        address: settings.peer_listen,
        incarnation: shared.incarnation,
        capacity: shared.capacity(),
        joined_ms,
        answers_calls: true,
    };
    let Ok(value) = store::encode(&row) else { return };
    let mut is_written = false;
    let mut written_version = 0;
    while *shared.phase.borrow() == Phase::Running {
        if !is_written {
            let write = Transaction::new().with_write(key::member(&shared.name), value.clone());
            match shared.table.commit(write).await {
                Ok(commit) => {
                    shared.record_store_contact();
                    is_written = true;
                    if let Commit::Done { versions } = commit {
                        written_version = versions.first().copied().unwrap_or(written_version);
                    }
                }
                Err(error) => event!(PlatformUnreachable, service = "table", error:% = error),
            }
        }
        sleep(ROW_CHECK_PERIOD).await;
        if is_written && let Some(own) = shared.own_row() {
            // A row that was deleted or cannot be read is written again, too.
            is_written = own.incarnation == Some(shared.incarnation);
            if let Some(delay) = shared.pending_answer(own.version.max(written_version)) {
                sleep(delay).await;
                is_written = false;
            }
        }
    }
}
