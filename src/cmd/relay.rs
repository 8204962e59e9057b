//! `relay FILE`: runs a relay in the foreground.

use std::{sync::Arc, time::Duration};

use cyclamengrade_bridge::{Client, Platform};
use cyclamengrade_relay::{Native, Parts, run as run_relay};
use cyclamengrade_settings::{Relay, relay::Dialect};
use cyclamengrade_telemetry::logs;

use crate::{
    cli::{Exit, Failure, Invocation},
    cmd::settings::read_failure,
};

pub const HELP: &str = "\
Usage: cyclamengrade relay FILE

Runs a relay with the settings in FILE until it gets the
signal TERM or INT; then it finishes the requests in flight
and ends with exit code 0. Log events are JSON lines on
standard output.";

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let path = invocation.positional("the settings FILE")?;
    invocation.finish()?;
    let settings = Relay::read(&path).map_err(|error| read_failure(&error))?;
    logs::install_bounded(settings.log_level.filter())
        .map_err(|cause| Failure::new(Exit::Internal, cause))?;
    let timeout = Duration::from_millis(settings.store.timeout_ms);
    // The traffic thread and the control thread each get their own client, so that load on one
    // does not delay the connections of the other.
    let traffic = Client::new(settings.store.address, timeout);
    let control = Client::new(settings.store.address, timeout);
    let parts = Parts {
        dialect: match settings.dialect {
            Dialect::Native => Arc::new(Native::new()),
            Dialect::Bridge => Arc::new(Platform::new()),
        },
        table: Arc::new(traffic.clone()),
        objects: Arc::new(traffic),
        feed: Arc::new(control),
        path: path.into(),
        settings,
    };
    run_relay(parts).map_err(|cause| Failure::new(Exit::Internal, cause))
}
