//! Parsing of settings files, and reading of the settings of a daemon.

use std::{fs, path::Path};

use jsonc_parser::ParseOptions;
use serde_json::Value;

use crate::{Daemon, Error, check};

/// Accepted syntax: JSON with comments and trailing commas, and no other extension of JSON.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses JSON with comments.
///
/// # Errors
///
/// The text is not JSON with comments, or an object holds a key more than once; the parser alone
/// would keep the last value without a message.
pub fn document(path: &Path, text: &str) -> Result<Value, Error> {
    let syntax = |cause| Error::Syntax { path: path.to_owned(), cause };
    let ast = jsonc_parser::parse_to_ast(text, &Default::default(), &SYNTAX)
        .map_err(|cause| syntax(cause.to_string()))?;
    if let Some(name) = ast.value.as_ref().and_then(check::duplicate_key) {
        return Err(syntax(format!("the key {name} appears twice; remove one of the two")));
    }
    jsonc_parser::parse_to_serde_value(text, &SYNTAX).map_err(|cause| syntax(cause.to_string()))
}

impl Daemon {
    /// Reads and checks the settings of a daemon.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON with comments, or holds invalid settings. The checks of
    /// single values list every problem of the file; contradictions between settings are listed
    /// once every single value is valid.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text = fs::read_to_string(path)
            .map_err(|cause| Error::Read { path: path.to_owned(), cause })?;
        Self::parse(path, &text)
    }

    /// Checks the settings in `text`. Errors name `path` as the file.
    ///
    /// # Errors
    ///
    /// The same as for [`Daemon::read`], except that no file is read.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let syntax = |cause| Error::Syntax { path: path.to_owned(), cause };
        let value = document(path, text)?;
        let invalid = |problems| Error::Refused { path: path.to_owned(), problems };
        let problems = check::values(&value);
        if !problems.is_empty() {
            return Err(invalid(problems));
        }
        let settings: Self =
            serde_json::from_value(value).map_err(|cause| syntax(cause.to_string()))?;
        let problems = check::contradictions(&settings);
        if problems.is_empty() { Ok(settings) } else { Err(invalid(problems)) }
    }
}
