//! Checks the documentation pages against each other, the command-line help and the catalogues in
//! the code.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use cyclamengrade_caller::Kind;
use cyclamengrade_settings::key;
use cyclamengrade_telemetry::{event::Event, metrics};
use googletest::prelude::*;
use program::Program;

/// Reads all documentation pages; paths are relative to the root of the workspace.
fn pages() -> Vec<(PathBuf, String)> {
    let mut paths = vec![PathBuf::from("README.md"), PathBuf::from("CHANGELOG.md")];
    for entry in fs::read_dir("docs").unwrap() {
        paths.push(entry.unwrap().path());
    }
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    paths.sort();
    paths.into_iter().map(|path| (path.clone(), fs::read_to_string(path).unwrap())).collect()
}

/// Returns all substrings between `open` and the next `close`.
fn between<'a>(text: &'a str, open: &str, close: &str) -> Vec<&'a str> {
    text.split(open).skip(1).filter_map(|rest| rest.split_once(close)).map(|(t, _)| t).collect()
}

/// Returns the inline code spans; indented lines are left out.
fn inline_code(text: &str) -> Vec<String> {
    let lines: Vec<_> = text.lines().filter(|line| !line.starts_with("    ")).collect();
    let text = lines.join(" ");
    text.split('`').skip(1).step_by(2).map(String::from).collect()
}

/// Returns the anchor that the renderer gives a heading.
fn heading_anchor(heading: &str) -> String {
    let kept = heading.to_lowercase().replace(' ', "-");
    kept.chars().filter(|c| c.is_alphanumeric() || *c == '-' || *c == '_').collect()
}

/// Returns all words that look like long options.
fn long_options(text: &str) -> BTreeSet<String> {
    let words = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-'));
    let options = words.filter(|word| word.starts_with("--") && !word.ends_with('-'));
    options.map(String::from).collect()
}

/// Guards against links to pages, files and headings that do not exist.
#[gtest]
fn links_resolve() -> Result<()> {
    for (path, text) in pages() {
        let folder = path.parent().unwrap_or(Path::new(""));
        for link in between(&text, "](", ")") {
            if link.starts_with("http") {
                continue;
            }
            let (file, heading) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() { path.clone() } else { folder.join(file) };
            expect_that!(target.exists(), eq(true), "{} -> {link}", path.display());
            if heading.is_empty() || !target.exists() {
                continue;
            }
            let headings = fs::read_to_string(&target).or_fail()?;
            let found = headings
                .lines()
                .filter(|line| line.starts_with('#'))
                .any(|line| heading_anchor(line.trim_start_matches('#').trim()) == heading);
            expect_that!(found, eq(true), "{} -> {link}", path.display());
        }
    }
    Ok(())
}

/// Guards against pages that name settings keys or metrics which the code does not define.
#[gtest]
fn names_exist() -> Result<()> {
    let names: BTreeSet<_> = metrics::ALL.iter().map(|metric| metric.name).collect();
    for (path, text) in pages() {
        for word in inline_code(&text) {
            let word = word.trim();
            if let Some((section, _)) = word.split_once('.') {
                let plain = word.chars().all(|c| c.is_ascii_lowercase() || "._".contains(c));
                if plain && key::is_section(section) {
                    let known = key::find(word).is_some();
                    expect_that!(known, eq(true), "{}: {word}", path.display());
                }
            }
            if word.ends_with("_total") || word.ends_with("_seconds") {
                expect_that!(names.contains(word), eq(true), "{}: {word}", path.display());
            }
        }
    }
    Ok(())
}

/// Guards against event numbers in the failure tables that are not in the event catalogue.
#[gtest]
fn event_numbers() -> Result<()> {
    let known: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    let text = fs::read_to_string("docs/failures.md").or_fail()?;
    let mut seen = 0;
    for row in text.lines().filter(|line| line.starts_with("| ")) {
        let cell = row.split('|').nth(2).unwrap_or_default();
        for word in cell.split(|c: char| !c.is_ascii_digit()).filter(|word| word.len() >= 3) {
            // HTTP statuses are in other columns or in parentheses; they are not event numbers.
            let is_status = cell.contains(&format!("({word})")) || cell.contains("stays 503");
            let number: u32 = word.parse().or_fail()?;
            if !is_status {
                expect_that!(known.contains(&number), eq(true), "{row}");
                seen += 1;
            }
        }
    }
    verify_that!(seen, gt(20))
}

/// Guards against options, subcommands and exit codes that the help texts and the page do not
/// share.
#[gtest]
fn cli_page() -> Result<()> {
    let page = fs::read_to_string("docs/cli.md").or_fail()?;
    let mut help = String::new();
    for subcommand in [
        "",
        "daemon",
        "relay",
        "settings",
        "config",
        "batch",
        "upstreams",
        "story",
        "report",
        "explain",
    ] {
        help += &Program::new(&format!("{subcommand} --help")).run().text;
    }
    expect_that!(long_options(&page), eq(&long_options(&help)));
    for line in Program::new("--help").run().text.lines() {
        let Some(rest) = line.strip_prefix("  ") else { continue };
        let command = rest.split("  ").next().unwrap_or_default();
        if command.starts_with(|c: char| c.is_ascii_lowercase()) {
            expect_that!(page, contains_substring(format!("| `{command}")));
        }
    }
    for (code, kind) in
        [(1, "internal"), (2, "usage"), (3, "refused"), (4, "unreachable"), (5, "conflict")]
    {
        expect_that!(page, contains_substring(format!("| {code} | {kind} |")));
        expect_that!(help, contains_substring(format!("{code} {kind}")));
    }
    Ok(())
}

/// Guards against error kinds that the page for callers omits or lists with another status.
#[gtest]
fn error_kinds() -> Result<()> {
    let kinds = [
        Kind::Invalid,
        Kind::Unauthorized,
        Kind::NotFound,
        Kind::Conflict,
        Kind::TooLarge,
        Kind::Limited,
        Kind::Internal,
        Kind::UpstreamFailed,
        Kind::OutcomeUnknown,
        Kind::Overloaded,
        Kind::Unavailable,
        Kind::Expired,
    ];
    let page = fs::read_to_string("docs/callers.md").or_fail()?;
    let (_, table) = page.split_once("| kind | status |").or_fail()?;
    let rows: Vec<_> = table
        .lines()
        .take_while(|line| line.is_empty() || line.starts_with('|') || line.starts_with(' '))
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.split('|').skip(1).take(2).map(str::trim).collect::<Vec<_>>().join(" "))
        .collect();
    let expected: Vec<_> =
        kinds.iter().map(|kind| format!("`{}` {}", kind.name(), kind.status())).collect();
    verify_that!(rows, eq(&expected))
}
