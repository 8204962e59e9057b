//! Command-line arguments, exit codes and file access that all subcommands share.

use std::{
    env,
    ffi::OsString,
    fmt::Display,
    fs,
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use cyclamengrade_operator::{Admin, Error};
use pico_args::Arguments;
use serde_json::json;

use crate::{cmd, print};

/// Environment variable with the address of a daemon, used without `--server`.
pub const SERVER_VARIABLE: &str = "CYCLAMENGRADE_SERVER";

/// Environment variable with the bearer token of a client, used without `--token`.
pub const TOKEN_VARIABLE: &str = "CYCLAMENGRADE_TOKEN";

/// Environment variable with the bearer token of operators, used without `--admin-token`.
pub const ADMIN_TOKEN_VARIABLE: &str = "CYCLAMENGRADE_ADMIN_TOKEN";

/// Kind of failure of the program; its number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// An internal error of the program or of the daemon.
    Internal = 1,
    /// The arguments are wrong, or a file that they name cannot be read or written.
    Usage = 2,
    /// The daemon refused the request, or the content of a file was refused.
    Refused = 3,
    /// The daemon or the platform cannot be reached or is overloaded, or it is not known whether
    /// the request took effect.
    Unreachable = 4,
    /// The request conflicts with one that was accepted earlier.
    Conflict = 5,
}

impl Exit {
    const fn name(self) -> &'static str {
        match self {
            Self::Internal => "internal",
            Self::Usage => "usage",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Conflict => "conflict",
        }
    }
}

/// Why a subcommand failed.
#[derive(Debug)]
pub struct Failure {
    pub exit: Exit,
    /// Tells the user what happened and, where possible, what to change.
    pub message: String,
}

impl Failure {
    pub fn new(exit: Exit, message: impl Display) -> Self {
        Self { exit, message: message.to_string() }
    }

    pub fn usage(message: impl Display) -> Self {
        Self::new(Exit::Usage, message)
    }

    /// Puts the operation that failed in front of the message.
    pub fn with_context(self, operation: impl Display) -> Self {
        Self { message: format!("{operation}: {}", self.message), ..self }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let exit = match &error {
            Error::Unreachable { .. } | Error::ReplyLost { .. } => Exit::Unreachable,
            Error::Refused { kind, .. } => match kind.as_str() {
                "conflict" => Exit::Conflict,
                "unavailable" | "overloaded" | "outcome_unknown" => Exit::Unreachable,
                "internal" => Exit::Internal,
                _ => Exit::Refused,
            },
            Error::Protocol { .. } => Exit::Internal,
            Error::Argument(_) => Exit::Usage,
        };
        let mut message = error.to_string();
        if let Error::Refused { retry_after: Some(after), .. } = &error {
            message += &format!("; try again after {} ms", after.as_millis());
        }
        Self { exit, message }
    }
}

impl From<pico_args::Error> for Failure {
    fn from(error: pico_args::Error) -> Self {
        Self::usage(error)
    }
}

/// Arguments of a subcommand and the options that all subcommands share.
pub struct Invocation {
    /// Arguments that have not been parsed yet.
    pub arguments: Arguments,
    /// Whether the output is JSON.
    pub json: bool,
    server: Option<String>,
    token: Option<String>,
    admin_token: Option<String>,
}

impl Invocation {
    /// Takes the next positional argument; fails with `Exit::Usage` if there is none.
    pub fn positional(&mut self, what: &str) -> Result<String, Failure> {
        match self.arguments.opt_free_from_str::<String>()? {
            Some(value) if value.starts_with('-') => {
                Err(Failure::usage(format!("unknown option {value}; see --help")))
            }
            Some(value) => Ok(value),
            None => Err(Failure::usage(format!("{what} is missing; see --help"))),
        }
    }

    /// Fails if any argument has not been parsed.
    pub fn finish(&mut self) -> Result<(), Failure> {
        let rest = std::mem::replace(&mut self.arguments, Arguments::from_vec(Vec::new())).finish();
        match rest.first() {
            None => Ok(()),
            Some(first) => Err(Failure::usage(format!(
                "unexpected argument {}; see --help",
                first.to_string_lossy()
            ))),
        }
    }

    /// Creates a client for the daemon named by the options or, without them, by the environment.
    /// Empty values count as not set.
    pub fn admin(&self) -> Result<Admin, Failure> {
        let option_or_variable = |option: &Option<String>, variable| {
            option.clone().or_else(|| env::var(variable).ok()).filter(|value| !value.is_empty())
        };
        let server = option_or_variable(&self.server, SERVER_VARIABLE).ok_or_else(|| {
            Failure::usage(format!(
                "no daemon is named; give --server HOST:PORT or set {SERVER_VARIABLE}"
            ))
        })?;
        let server = server.strip_prefix("http://").unwrap_or(&server);
        let server = server.strip_suffix('/').unwrap_or(server);
        let port = server.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
        if port.is_none() {
            return Err(Failure::usage(format!(
                "{server} is not an address; write HOST:PORT such as 10.0.0.1:8080"
            )));
        }
        let admin = Admin::new(server);
        let admin = match option_or_variable(&self.token, TOKEN_VARIABLE) {
            Some(token) => admin.with_token(token),
            None => admin,
        };
        Ok(match option_or_variable(&self.admin_token, ADMIN_TOKEN_VARIABLE) {
            Some(token) => admin.with_admin_token(token),
            None => admin,
        })
    }
}

/// Runs the program with its arguments, without the program name.
///
/// A failure is printed on standard error, as a JSON object with `--json`.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let json = arguments.iter().any(|argument| argument == "--json");
    match dispatch(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let Failure { exit, message } = failure;
            if json {
                let error = json!({ "kind": exit.name(), "message": message, "exit": exit as u8 });
                print::error(&json!({ "error": error }).to_string());
            } else {
                print::error(&print::wrap(&format!("cyclamengrade: {message}")));
            }
            ExitCode::from(exit as u8)
        }
    }
}

fn dispatch(arguments: Vec<OsString>) -> Result<(), Failure> {
    let mut arguments = Arguments::from_vec(arguments);
    let help = arguments.contains(["-h", "--help"]);
    let version = arguments.contains(["-V", "--version"]);
    let json = arguments.contains("--json");
    let server = arguments.opt_value_from_str("--server")?;
    let token = arguments.opt_value_from_str("--token")?;
    let admin_token = arguments.opt_value_from_str("--admin-token")?;
    let Some(name) = arguments.subcommand()? else {
        return if version {
            print::line(&format!("cyclamengrade {}", env!("CARGO_PKG_VERSION")))
        } else if help {
            print::line(cmd::HELP)
        } else {
            Err(Failure::usage("a subcommand is missing; see --help"))
        };
    };
    let invocation = Invocation { arguments, json, server, token, admin_token };
    cmd::run(&name, invocation, help)
}

/// Runs a future to completion on a new single-threaded runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Failure> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|cause| {
            Failure::new(Exit::Internal, format!("cannot start the asynchronous runtime: {cause}"))
        })?;
    Ok(runtime.block_on(future)?)
}

/// Reads a file that the user named; a failure is a usage error.
pub fn read_file(path: &str) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|cause| Failure::usage(format!("cannot read {path}: {cause}")))
}

/// Writes a file that the user named, through a temporary file that is renamed, so that an
/// interrupted write never leaves partial content under the final name.
pub fn write_file(path: &str, content: &[u8]) -> Result<(), Failure> {
    let failed = |cause| Failure::usage(format!("cannot write {path}: {cause}"));
    let partial = partial_path(path);
    fs::write(&partial, content).map_err(failed)?;
    fs::rename(&partial, path).map_err(failed)
}

/// Returns the path of the temporary file that is renamed to `path` once it is complete.
pub fn partial_path(path: &str) -> PathBuf {
    Path::new(&format!("{path}.partial")).to_owned()
}
