//! Agreement of the settings page and the example files with the code.

use std::{fs, path::PathBuf};

use cyclamengrade_settings::{Daemon, key::KEYS};
use googletest::prelude::*;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Guards against a settings page that lacks a key or states another unit, range or default.
#[gtest]
fn page_matches() -> Result<()> {
    let page = fs::read_to_string(root().join("docs/settings.md")).or_fail()?;
    let rows: Vec<_> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let expected: Vec<_> = KEYS
        .iter()
        .map(|key| {
            let unit = if key.unit.is_empty() { "-" } else { key.unit };
            format!(
                "| `{}` | {} | {unit} | {} | {} | {} |",
                key.path,
                key.kind,
                key.range(),
                key.default,
                key.description
            )
        })
        .collect();
    verify_that!(rows, eq(&expected))
}

/// Guards against example settings that a daemon refuses.
#[gtest]
fn examples_accepted() -> Result<()> {
    for (site, data_centre) in [("tessiture", "biella"), ("himal", "ktm-a")] {
        let path = root().join("examples").join(site).join("daemon.jsonc");
        let settings = Daemon::read(path).or_fail()?;
        expect_that!(settings.data_centre, eq(data_centre));
    }
    Ok(())
}
