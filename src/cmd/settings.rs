//! `settings check FILE`

use cyclamengrade_settings::{Daemon, Error, Relay};
use serde::Serialize;
use serde_json::json;

use crate::{
    cli::{Call, Exit, Failure},
    cmd::{second, unknown},
    print,
};

/// Help of this subcommand.
pub const HELP: &str = "\
Usage: cyclamengrade settings check FILE

Checks the settings file of a daemon or a relay (JSON with
comments) and prints problems with their keys and what to
write instead. A file with the key \"store\" is a relay's.
With --json it prints the settings with all defaults.";

/// Runs the subcommand.
pub fn run(mut call: Call) -> Result<(), Failure> {
    match second(&mut call, "check")?.as_str() {
        "check" => check(call),
        other => Err(unknown(other, "check")),
    }
}

fn check(mut call: Call) -> Result<(), Failure> {
    let path = call.free("the settings FILE")?;
    call.finish()?;
    if Relay::is_relay_file(&path) {
        let settings = Relay::read(&path).map_err(|error| refused(&error))?;
        report(&call, &path, &settings, "relay", &settings.name, &settings.data_centre)
    } else {
        let settings = Daemon::read(&path).map_err(|error| refused(&error))?;
        report(&call, &path, &settings, "daemon", &settings.name, &settings.data_centre)
    }
}

fn report(
    call: &Call,
    path: &str,
    settings: &impl Serialize,
    role: &str,
    name: &str,
    data_centre: &str,
) -> Result<(), Failure> {
    if call.json {
        return print::json(&json!({ "file": path, "settings": settings }));
    }
    print::line(&print::wrap(&format!("{path}: fine, {role} {name} in {data_centre}")))
}

/// The failure for a refused settings file.
pub fn refused(error: &Error) -> Failure {
    let exit = match error {
        Error::Read { .. } => Exit::Usage,
        Error::Syntax { .. } | Error::Value { .. } | Error::Refused { .. } => Exit::Refused,
    };
    Failure::new(exit, error)
}
