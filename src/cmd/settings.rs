//! `settings check FILE`

use cyclamengrade_settings::{Daemon, Error};
use serde_json::json;

use crate::{
    cli::{Call, Exit, Failure},
    cmd::{second, unknown},
    print,
};

/// Help of this subcommand.
pub const HELP: &str = "\
Usage: cyclamengrade settings check FILE

Checks a daemon's settings file (JSON with comments) and
prints every problem with its key and what to write instead.
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
    let settings = Daemon::read(&path).map_err(|error| refused(&error))?;
    if call.json {
        print::json(&json!({ "file": path, "settings": settings }))
    } else {
        print::line(&print::wrap(&format!(
            "{path}: fine, daemon {} in {}",
            settings.name, settings.data_centre
        )))
    }
}

/// The failure for a refused settings file.
pub fn refused(error: &Error) -> Failure {
    let exit = match error {
        Error::Read { .. } => Exit::Usage,
        Error::Syntax { .. } | Error::Refused { .. } => Exit::Refused,
    };
    Failure::new(exit, error)
}
