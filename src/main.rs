//! Entry point of the `cyclamengrade` command-line program.

mod cli;
mod cmd;
mod print;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    cli::run(env::args_os().skip(1).collect())
}
