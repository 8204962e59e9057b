//! Errors of reading a settings file.

use std::{fmt, path::PathBuf};

use displaydoc::Display;

/// Reason why a settings file cannot be used.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    Read { path: PathBuf, cause: std::io::Error },
    /// The file is not JSON with comments.
    Syntax {
        path: PathBuf,
        /// Message of the parser, with line and column where it states them.
        cause: String,
    },
    /// A setting of a relay has an unknown name, a wrong type or an invalid value. Only the first
    /// such setting is reported.
    Value {
        path: PathBuf,
        /// Path of the key, and what is wrong with it.
        cause: String,
    },
    /// The settings of a daemon are invalid.
    Refused {
        path: PathBuf,
        /// Every problem that the checks found, at least one.
        problems: Vec<Problem>,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, cause } => {
                write!(f, "cannot read the settings file {}: {cause}", path.display())
            }
            Self::Value { path, cause } => write!(f, "{}: {cause}", path.display()),
            Self::Syntax { path, cause } => {
                write!(f, "{}: not valid JSON with comments: {cause}", path.display())
            }
            Self::Refused { path, problems } => {
                for (n, problem) in problems.iter().enumerate() {
                    let separator = if n == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}: {problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read { cause, .. } => Some(cause),
            Self::Syntax { .. } | Self::Value { .. } | Self::Refused { .. } => None,
        }
    }
}

/// Invalid setting of a daemon. The doc comments of the variants are the messages.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// {path}: unknown key; {advice}
    UnknownKey {
        /// Path of the key, with dots between sections.
        path: String,
        /// The known key that is meant, or where to find the keys.
        advice: String,
    },
    /// {path}: required key is missing; write {expected}
    Missing {
        /// Path of the key, with dots between sections.
        path: String,
        /// Type and range of a valid value.
        expected: String,
    },
    /// {path}: found {found}; write {expected}
    WrongType {
        /// Path of the key, with dots between sections.
        path: String,
        /// The value in the file; redacted for a secret.
        found: String,
        /// Type and range of a valid value.
        expected: String,
    },
    /// {path}: {found} is out of range; write {expected}
    OutOfRange {
        /// Path of the key, with dots between sections.
        path: String,
        /// The value in the file; redacted for a secret.
        found: String,
        /// Type and range of a valid value.
        expected: String,
    },
    /// {path}: {conflict}; {advice}
    Contradiction {
        /// Path of the key to change.
        path: String,
        /// How the setting contradicts another one, with both values.
        conflict: String,
        /// A value that resolves the conflict, or what else to change.
        advice: String,
    },
}

impl std::error::Error for Problem {}
