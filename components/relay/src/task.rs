//! Tasks that end by a panic, which would otherwise leave behind what only they release.

use std::{
    any::Any,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
};

use cyclamengrade_telemetry::{event, metrics::RELAY_TASKS_PANICKED};
use displaydoc::Display;
use futures_util::FutureExt;
use metrics::counter;
use tokio::task::JoinHandle;

use crate::shared::Shared;

/// the task ended by a panic, see event 1273
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Panicked;

/// Runs a task whose panic ends only this task. The caller releases what the task was to release.
///
/// # Errors
///
/// Fails if the task panics.
pub async fn catch<T>(name: &'static str, task: impl Future<Output = T>) -> Result<T, Panicked> {
    // What the task shares with others is behind locks whose poisoning is ignored.
    AssertUnwindSafe(task).catch_unwind().await.map_err(|payload| record(name, payload.as_ref()))
}

/// The same for one step of a task that has to go on after it.
///
/// # Errors
///
/// Fails if the step panics.
pub fn catch_step<T>(name: &'static str, step: impl FnOnce() -> T) -> Result<T, Panicked> {
    catch_unwind(AssertUnwindSafe(step)).map_err(|payload| record(name, payload.as_ref()))
}

/// Spawns a task without which the relay cannot serve. If it panics, the relay shuts down.
pub fn spawn_essential(
    shared: &Arc<Shared>,
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    let shared = shared.clone();
    tokio::spawn(async move {
        if catch(name, task).await.is_err() {
            shared.fail();
        }
    })
}

fn record(name: &'static str, payload: &(dyn Any + Send)) -> Panicked {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    counter!(RELAY_TASKS_PANICKED, "task" => name).increment(1);
    event!(TaskPanicked, task = name, error = text.unwrap_or("unknown"));
    Panicked
}
