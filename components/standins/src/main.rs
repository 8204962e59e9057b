//! Binary `standin`: runs a stand-in, the demo, the load generator or the capacity measurement.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamengrade_standins::cli::main()
}
