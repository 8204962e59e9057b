//! Signal handling and graceful shutdown.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::relay::stop::Stop;
use cyclamengrade_platform::table::Transaction;
use cyclamengrade_settings::Relay as Settings;
use cyclamengrade_telemetry::{event, logs};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::{
    Error,
    batch::Dispatcher,
    job::key,
    peers,
    shared::{Phase, Shared},
};

/// Time before the end of the grace time at which the relay stops waiting for requests, so that it
/// exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time before that at which the requests in flight get their final answers, so that these are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Timeout for the removal of this relay's row from the store.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for a termination signal or the failure of a task, then shuts down in phases.
///
/// New connections are accepted while the load balancer may still open them. After that, the
/// requests in flight are finished. Those that take too long get a final answer before the process ends.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed, or if the relay stops because one of its tasks has failed.
pub async fn run(
    shared: Arc<Shared>,
    dispatcher: Arc<Dispatcher>,
    mut settings: Settings,
    path: PathBuf,
    server: impl Future<Output = ()>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    tokio::pin!(server);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &mut settings),
            () = &mut server => break,
            () = shared.wait_for_failure() => break,
        }
    }
    let times = settings.stop;
    let requested_at = Instant::now();
    let stopped_after = times.grace().saturating_sub(EXIT_MARGIN);
    let end = requested_at + stopped_after;
    event!(Leaving, daemon:% = shared.name);
    let now = shared.clock.now();
    shared.begin_stop(Stop {
        leave_at: now + times.leave(),
        answer_by: now + stopped_after.saturating_sub(ANSWER_MARGIN),
    });
    peers::announce_stop(&shared);
    shared.mark_all_dirty();
    tokio::spawn(shared.clone().hand_over_quotas());
    // The handover runs concurrently. Without the store, it may take longer than the grace time.
    let handover = tokio::spawn(async move { dispatcher.hand_over().await });
    tokio::select! {
        () = sleep_until(requested_at + times.leave()) => {}
        () = &mut server => {}
    }
    event!(DrainStarted);
    shared.phase.send_replace(Phase::Draining);
    // Streams that are still in flight at the end of the grace time are cut off.
    let _ = timeout_at(end, &mut server).await;
    // Other relays learn that this one stops and close what it carries for them.
    let _ = timeout_at(end, shared.wait_until_none_carried()).await;
    let _ = timeout_at(end, handover).await;
    event!(DrainFinished);
    let removal = Transaction::new().with_delete(key::member(&shared.name));
    // If the removal fails, the other relays detect the missing datagrams.
    let _ = tokio::time::timeout(REMOVAL_TIMEOUT, shared.table.commit(removal)).await;
    shared.phase.send_replace(Phase::Stopped);
    event!(Stopped, daemon:% = shared.name);
    // Gives the log writer time to write its last lines.
    sleep(Duration::from_millis(20)).await;
    match shared.has_failed() {
        true => Err(Error::Task),
        false => Ok(()),
    }
}

/// Reads the settings again and applies those that can change at run time: the log level and the
/// times of a shutdown.
fn reload(path: &Path, settings: &mut Settings) {
    match Settings::read(path) {
        Ok(new) => {
            let applied = Settings { log_level: new.log_level, stop: new.stop, ..settings.clone() };
            event!(SettingsReloaded, restart_needed = applied != new);
            logs::set_level(applied.log_level.filter());
            *settings = applied;
        }
        Err(error) => event!(SettingsUnusable, error:% = error),
    }
}
