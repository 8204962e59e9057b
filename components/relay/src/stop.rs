//! Signals, and the way from running to stopped.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

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
    shared::{Phase, Shared},
};

/// Time before the process is killed at which it ends by itself.
const MARGIN: Duration = Duration::from_millis(500);
/// Longest wait for the removal of this relay's row.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for a signal to stop, then stops in steps.
///
/// New connections are accepted while the load balancer may still send them; after that, requests
/// in flight are finished.
///
/// # Errors
///
/// Signals cannot be received.
pub async fn run(
    shared: Arc<Shared>,
    dispatcher: Arc<Dispatcher>,
    mut settings: Settings,
    path: PathBuf,
    served: impl Future<Output = ()>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    tokio::pin!(served);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &mut settings),
            () = &mut served => break,
        }
    }
    let times = settings.stop;
    let asked = Instant::now();
    let end = asked + times.grace().saturating_sub(MARGIN);
    event!(Leaving, daemon:% = shared.name);
    shared.phase.send_replace(Phase::Leaving);
    shared.occupancy_changed.notify_one();
    // The handover does not hold up the stop: without the store it may take longer than there is.
    let handover = tokio::spawn(async move { dispatcher.hand_over().await });
    tokio::select! {
        () = sleep_until(asked + times.leave()) => {}
        () = &mut served => {}
    }
    event!(DrainStarted);
    shared.phase.send_replace(Phase::Draining);
    // What is cut off at the end of the grace time is logged by the requests themselves.
    let _ = timeout_at(end, &mut served).await;
    let _ = timeout_at(end, handover).await;
    event!(DrainFinished);
    let removal = Transaction::new().with_delete(key::member(&shared.name));
    // Without the removal, others notice the silence.
    let _ = tokio::time::timeout(REMOVAL_TIMEOUT, shared.table.commit(removal)).await;
    shared.phase.send_replace(Phase::Stopped);
    event!(Stopped, daemon:% = shared.name);
    // Lets the writer of the log finish.
    sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Reads the settings again and applies what can be changed while the relay runs: the level of the
/// log and the times of a stop.
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
