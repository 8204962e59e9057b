//! The subcommands, one module each.

mod batch;
mod config;
mod daemon;
mod relay;
mod report;
mod settings;
mod story;
mod upstreams;

use crate::{
    cli::{Call, Failure},
    print,
};

/// Help of the program.
pub const HELP: &str = "\
cyclamengrade: online and batch inference on one fleet

Usage: cyclamengrade SUBCOMMAND [OPTIONS]

Subcommands:
  daemon FILE          run a daemon with these settings
  relay FILE           run a relay with these settings
  settings check FILE  check a settings file
  config plan FILE     show what a document would change
  config apply         accept a plan
  config show          print the document in force
  config history       print the newest revisions
  batch submit FILE    submit a batch job
  batch status ID      print the state of a job
  batch results ID     print the results of a job
  batch cancel ID      cancel a job
  upstreams            print the upstreams of a daemon
  story ID FILE...     print what logs say of a request
  report FILE...       sum up what logs say of a time

Options of all subcommands:
  --server HOST:PORT   daemon to ask
                       (or CYCLAMENGRADE_SERVER)
  --token TOKEN        bearer token
                       (or CYCLAMENGRADE_TOKEN, which other
                       users of the machine cannot read)
  --admin-token TOKEN  bearer token of operators, for
                       config and upstreams
                       (or CYCLAMENGRADE_ADMIN_TOKEN)
  --json               output for scripts
  -h, --help           help of a subcommand
  -V, --version        version

Exit codes: 0 fine, 1 internal, 2 usage, 3 refused,
4 unreachable, 5 conflict";

type Body = fn(Call) -> Result<(), Failure>;

/// Runs a subcommand, or prints its help.
pub fn run(name: &str, call: Call, help: bool) -> Result<(), Failure> {
    let (text, body): (&str, Body) = match name {
        "daemon" => (daemon::HELP, daemon::run),
        "relay" => (relay::HELP, relay::run),
        "settings" => (settings::HELP, settings::run),
        "config" => (config::HELP, config::run),
        "batch" => (batch::HELP, batch::run),
        "upstreams" => (upstreams::HELP, upstreams::run),
        "story" => (story::HELP, story::run),
        "report" => (report::HELP, report::run),
        _ => return Err(Failure::usage(format!("unknown subcommand {name}; see --help"))),
    };
    if help { print::line(text) } else { body(call) }
}

/// The second word of a subcommand.
fn second(call: &mut Call, choices: &str) -> Result<String, Failure> {
    call.arguments
        .subcommand()?
        .ok_or_else(|| Failure::usage(format!("one of {choices} is missing; see --help")))
}

/// The failure of an unknown second word.
fn unknown(word: &str, choices: &str) -> Failure {
    Failure::usage(format!("unknown word {word}; write one of {choices}"))
}
