//! `settings check FILE`: validates the settings file of a daemon or a relay.

use cyclamengrade_settings::{Daemon, Error, Relay};
use serde::Serialize;
use serde_json::json;

use crate::{
    cli::{Exit, Failure, Invocation},
    cmd::{nested_subcommand, unknown_subcommand},
    print,
};

pub const HELP: &str = "\
Usage: cyclamengrade settings check FILE

Checks the settings file of a daemon or a relay (JSON with
comments) and prints problems with their keys and what to
write instead. A file with the key \"store\" is a relay's.
With --json it prints the settings with all defaults.";

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    match nested_subcommand(&mut invocation, "check")?.as_str() {
        "check" => check(invocation),
        other => Err(unknown_subcommand(other, "check")),
    }
}

fn check(mut invocation: Invocation) -> Result<(), Failure> {
    let path = invocation.positional("the settings FILE")?;
    invocation.finish()?;
    if Relay::is_relay_file(&path) {
        let settings = Relay::read(&path).map_err(|error| read_failure(&error))?;
        print_summary(&invocation, &path, &settings, "relay", &settings.name, &settings.data_centre)
    } else {
        let settings = Daemon::read(&path).map_err(|error| read_failure(&error))?;
        print_summary(
            &invocation,
            &path,
            &settings,
            "daemon",
            &settings.name,
            &settings.data_centre,
        )
    }
}

fn print_summary(
    invocation: &Invocation,
    path: &str,
    settings: &impl Serialize,
    role: &str,
    name: &str,
    data_centre: &str,
) -> Result<(), Failure> {
    if invocation.json {
        return print::json(&json!({ "file": path, "settings": settings }));
    }
    print::line(&print::wrap(&format!("{path}: fine, {role} {name} in {data_centre}")))
}

/// Converts an error from reading settings; an unreadable file is a usage error, invalid content is
/// refused.
pub fn read_failure(error: &Error) -> Failure {
    let exit = match error {
        Error::Read { .. } => Exit::Usage,
        Error::Syntax { .. } | Error::Value { .. } | Error::Refused { .. } => Exit::Refused,
    };
    Failure::new(exit, error)
}
