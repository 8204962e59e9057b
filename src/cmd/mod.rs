//! Subcommands of the program, one module each, and their dispatch.

mod batch;
mod config;
mod daemon;
mod explain;
mod relay;
mod report;
mod settings;
mod story;
mod upstreams;

use crate::{
    cli::{Failure, Invocation},
    print,
};

/// Help text that `--help` prints without a subcommand.
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
  explain              ask a relay where a request goes

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

type Run = fn(Invocation) -> Result<(), Failure>;

/// Runs the named subcommand, or prints its help text if `help` is set.
pub fn run(name: &str, invocation: Invocation, help: bool) -> Result<(), Failure> {
    let (help_text, run): (&str, Run) = match name {
        "daemon" => (daemon::HELP, daemon::run),
        "relay" => (relay::HELP, relay::run),
        "settings" => (settings::HELP, settings::run),
        "config" => (config::HELP, config::run),
        "batch" => (batch::HELP, batch::run),
        "upstreams" => (upstreams::HELP, upstreams::run),
        "story" => (story::HELP, story::run),
        "report" => (report::HELP, report::run),
        "explain" => (explain::HELP, explain::run),
        _ => return Err(Failure::usage(format!("unknown subcommand {name}; see --help"))),
    };
    if help { print::line(help_text) } else { run(invocation) }
}

/// Takes the name of a nested subcommand, such as `plan` in `config plan`.
fn nested_subcommand(invocation: &mut Invocation, choices: &str) -> Result<String, Failure> {
    invocation
        .arguments
        .subcommand()?
        .ok_or_else(|| Failure::usage(format!("one of {choices} is missing; see --help")))
}

fn unknown_subcommand(name: &str, choices: &str) -> Failure {
    Failure::usage(format!("unknown subcommand {name}; write one of {choices}"))
}
