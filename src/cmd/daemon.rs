//! `daemon FILE`: runs a daemon in the foreground.

use cyclamengrade_settings as settings;
use cyclamengrade_telemetry::{logs, trace};

use crate::{
    cli::{Exit, Failure, Invocation},
    cmd::settings::read_failure,
};

pub const HELP: &str = "\
Usage: cyclamengrade daemon FILE

Runs a daemon with the settings in FILE until it gets the
signal TERM or INT; then it finishes the requests in flight
and ends with exit code 0. Log events are JSON lines on
standard error.";

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let path = invocation.positional("the settings FILE")?;
    invocation.finish()?;
    let settings = settings::Daemon::read(&path).map_err(|error| read_failure(&error))?;
    let level = settings.telemetry.log_level.filter();
    logs::install(level).map_err(|cause| Failure::new(Exit::Internal, cause))?;
    trace::install(settings.telemetry.trace_share);
    serve(settings)
}

/// Runs the daemon until it is stopped; a shutdown that cut off work is a failure.
fn serve(settings: settings::Daemon) -> Result<(), Failure> {
    match cyclamengrade_daemon::run(settings) {
        Ok(true) => Ok(()),
        Ok(false) => Err(Failure::new(
            Exit::Internal,
            "the time limit of the graceful shutdown cut off work; see timers.drain_ms",
        )),
        Err(cause) => Err(Failure::new(Exit::Internal, cause)),
    }
}
