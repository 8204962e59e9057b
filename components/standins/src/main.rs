//! Runs one stand-in process.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamengrade_standins::cli::main()
}
