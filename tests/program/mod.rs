//! Runs the command-line program without the environment variables that configure it.
#![allow(dead_code)]

use std::{
    fmt::Display,
    fs,
    process::{Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
};

/// Builder of a run of the program.
pub struct Program(Command);

impl Program {
    /// Splits `arguments` at white space; [`Program::with`] adds an argument that contains spaces.
    pub fn new(arguments: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamengrade"));
        command
            .args(arguments.split_whitespace())
            .env_remove("CYCLAMENGRADE_SERVER")
            .env_remove("CYCLAMENGRADE_TOKEN")
            .env_remove("CYCLAMENGRADE_ADMIN_TOKEN")
            .env_remove("USER")
            .stdin(Stdio::null());
        Self(command)
    }

    pub fn with(mut self, argument: &str) -> Self {
        self.0.arg(argument);
        self
    }

    pub fn env(mut self, name: &str, value: impl Display) -> Self {
        self.0.env(name, value.to_string());
        self
    }

    pub fn run(mut self) -> Output {
        let output = self.0.output().unwrap();
        Output {
            code: output.status.code().unwrap(),
            text: String::from_utf8(output.stdout).unwrap(),
            errors: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Exit code, standard output and standard error of a run.
pub struct Output {
    pub code: i32,
    pub text: String,
    pub errors: String,
}

impl Output {
    /// Returns standard error with wrapped lines joined.
    pub fn message(&self) -> String {
        self.errors.replace("\n    ", " ")
    }

    /// Returns the width of the widest line in characters. Lines of a single word, such as a path,
    /// do not count, since they cannot be wrapped.
    pub fn widest(&self) -> usize {
        let lines = self.text.lines().chain(self.errors.lines());
        let lines = lines.filter(|line| line.split_whitespace().count() > 1);
        lines.map(|line| line.chars().count()).max().unwrap_or(0)
    }
}

/// Writes a file in the temporary directory of the tests and returns its path.
pub fn scratch(name: &str, content: &str) -> String {
    let path = scratch_path(name);
    fs::write(&path, content).unwrap();
    path
}

/// The path of a file that no other test uses.
pub fn scratch_path(name: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let directory = env!("CARGO_TARGET_TMPDIR");
    format!("{directory}/{}-{number}-{name}", std::process::id())
}
