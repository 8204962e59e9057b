//! Runs the program with a clean environment.
#![allow(dead_code)]

use std::{
    fmt::Display,
    fs,
    process::{Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
};

/// The program with its arguments.
pub struct Program(Command);

impl Program {
    /// Arguments are separated by spaces; `with` adds one that holds spaces itself.
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

/// What the program printed.
pub struct Output {
    pub code: i32,
    pub text: String,
    pub errors: String,
}

impl Output {
    /// Standard error without the breaks of wrapped lines.
    pub fn message(&self) -> String {
        self.errors.replace("\n    ", " ")
    }

    /// Width of the widest line; one long word, such as a path, cannot be broken.
    pub fn widest(&self) -> usize {
        let lines = self.text.lines().chain(self.errors.lines());
        let lines = lines.filter(|line| line.split_whitespace().count() > 1);
        lines.map(|line| line.chars().count()).max().unwrap_or(0)
    }
}

/// Writes a file below the directory for tests and returns its path.
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
