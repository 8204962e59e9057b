//! Arguments and exit codes that all subcommands share.

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

/// Environment variable with the address of a daemon.
pub const SERVER: &str = "CYCLAMENGRADE_SERVER";

/// Environment variable with the bearer token.
pub const TOKEN: &str = "CYCLAMENGRADE_TOKEN";

/// Environment variable with the bearer token of operators.
pub const ADMIN_TOKEN: &str = "CYCLAMENGRADE_ADMIN_TOKEN";

/// Exit codes by kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// A fault of the program or the daemon.
    Internal = 1,
    /// Wrong arguments, or a file in them that cannot be read or written.
    Usage = 2,
    /// The input or the call was refused.
    Refused = 3,
    /// No daemon or no platform answers.
    Unreachable = 4,
    /// The call contradicts one that was accepted before.
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
    /// Exit code.
    pub exit: Exit,
    /// What happened and what to change.
    pub message: String,
}

impl Failure {
    /// A failure with a message.
    pub fn new(exit: Exit, message: impl Display) -> Self {
        Self { exit, message: message.to_string() }
    }

    /// Wrong arguments.
    pub fn usage(message: impl Display) -> Self {
        Self::new(Exit::Usage, message)
    }

    /// Adds what the program was doing.
    pub fn while_doing(self, operation: impl Display) -> Self {
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

/// Arguments of a subcommand, and the options that all of them take.
pub struct Call {
    /// Arguments that are not taken yet.
    pub arguments: Arguments,
    /// Whether standard output is for scripts.
    pub json: bool,
    server: Option<String>,
    token: Option<String>,
    admin_token: Option<String>,
}

impl Call {
    /// The next free argument, which must be there.
    pub fn free(&mut self, what: &str) -> Result<String, Failure> {
        match self.arguments.opt_free_from_str::<String>()? {
            Some(value) if value.starts_with('-') => {
                Err(Failure::usage(format!("unknown option {value}; see --help")))
            }
            Some(value) => Ok(value),
            None => Err(Failure::usage(format!("{what} is missing; see --help"))),
        }
    }

    /// Refuses arguments that nothing has taken.
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

    /// The client of the daemon that the options or the environment name.
    pub fn admin(&self) -> Result<Admin, Failure> {
        let given = |option: &Option<String>, variable| {
            option.clone().or_else(|| env::var(variable).ok()).filter(|value| !value.is_empty())
        };
        let server = given(&self.server, SERVER).ok_or_else(|| {
            Failure::usage(format!("no daemon is named; give --server HOST:PORT or set {SERVER}"))
        })?;
        let server = server.strip_prefix("http://").unwrap_or(&server);
        let server = server.strip_suffix('/').unwrap_or(server);
        let port = server.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
        if port.is_none() {
            return Err(Failure::usage(format!(
                "{server} is no address; write HOST:PORT such as 10.0.0.1:8080"
            )));
        }
        let admin = Admin::new(server);
        let admin = match given(&self.token, TOKEN) {
            Some(token) => admin.with_token(token),
            None => admin,
        };
        Ok(match given(&self.admin_token, ADMIN_TOKEN) {
            Some(token) => admin.with_admin_token(token),
            None => admin,
        })
    }
}

/// Runs the program.
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
    let call = Call { arguments, json, server, token, admin_token };
    cmd::run(&name, call, help)
}

/// Runs a future on a single-threaded runtime.
pub fn wait<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Failure::new(Exit::Internal, format!("cannot start: {cause}")))?;
    Ok(runtime.block_on(future)?)
}

/// Reads a file that an argument names.
pub fn read(path: &str) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|cause| Failure::usage(format!("cannot read {path}: {cause}")))
}

/// Writes a file that an argument names; an interrupted write leaves no partial file.
pub fn write(path: &str, content: &[u8]) -> Result<(), Failure> {
    let failed = |cause| Failure::usage(format!("cannot write {path}: {cause}"));
    let partial = partial(path);
    fs::write(&partial, content).map_err(failed)?;
    fs::rename(&partial, path).map_err(failed)
}

/// Where a file is written before it gets its name.
pub fn partial(path: &str) -> PathBuf {
    Path::new(&format!("{path}.partial")).to_owned()
}
