//! `config plan|apply|show|history`: reads and changes the configuration document of a fleet.

use std::env;

use cyclamengrade_operator::{HistoryEntry, Plan, parse, plan, print as print_document};
use serde_json::json;

use crate::{
    cli::{self, Exit, Failure, Invocation},
    cmd::{nested_subcommand, unknown_subcommand},
    print,
};

pub const HELP: &str = "\
Usage:
  cyclamengrade config plan FILE [--out PLAN]
  cyclamengrade config apply --plan PLAN [--digest DIGEST]
                [--author NAME]
  cyclamengrade config show
  cyclamengrade config history [--limit N]

plan     shows what the document in FILE would change, with
         the revision it is based on and a digest; --out
         writes the plan to a file
apply    accepts exactly the document of a plan, or refuses
         it when the configuration has changed since; with
         --digest also when PLAN is not the plan shown.
         The same plan takes effect once, so repeat the
         command when its outcome is not known. The author
         is USER unless --author names another
show     prints the document in force at the daemon
history  prints the newest revisions (default 20)";

const SUBCOMMANDS: &str = "plan, apply, show, history";

/// Number of revisions that `history` prints without `--limit`.
const DEFAULT_HISTORY_LIMIT: usize = 20;

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    match nested_subcommand(&mut invocation, SUBCOMMANDS)?.as_str() {
        "plan" => plan(invocation),
        "apply" => apply(invocation),
        "show" => show(invocation),
        "history" => history(invocation),
        other => Err(unknown_subcommand(other, SUBCOMMANDS)),
    }
}

fn plan(mut invocation: Invocation) -> Result<(), Failure> {
    let out: Option<String> = invocation.arguments.opt_value_from_str("--out")?;
    let path = invocation.positional("the document FILE")?;
    invocation.finish()?;
    let admin = invocation.admin()?;
    let text = String::from_utf8(cli::read_file(&path)?)
        .map_err(|_| Failure::new(Exit::Refused, format!("{path} is not UTF-8")))?;
    let document = parse(&text).map_err(|cause| Failure::new(Exit::Refused, cause))?;
    let base = cli::block_on(admin.configuration())?;
    let differences =
        plan::differences(&base, &document).map_err(|fault| Failure::new(Exit::Internal, fault))?;
    let plan = Plan::new(&base, document);
    if let Some(out) = &out {
        cli::write_file(out, print::to_json(&plan)?.as_bytes())?;
    }
    if invocation.json {
        let changes: Vec<_> = differences
            .iter()
            .map(|change| json!({ "path": change.path, "old": change.old, "new": change.new }))
            .collect();
        return print::json(&json!({
            "base_revision": plan.base_revision,
            "digest": plan.digest,
            "change_id": plan.change_id,
            "changes": changes,
        }));
    }
    if differences.is_empty() {
        return print::line(&format!("no difference to revision {}", base.revision));
    }
    let mut report: Vec<String> = differences.iter().map(format_difference).collect();
    report.push(match differences.len() {
        1 => "1 value differs".into(),
        count => format!("{count} values differ"),
    });
    report.push(format!("base revision {}", plan.base_revision));
    report.push(format!("plan digest {}", plan.digest));
    report.push(match out {
        Some(out) => format!(
            "apply with:\n  cyclamengrade config apply\n    --plan {out}\n    --digest {}",
            plan.digest
        ),
        None => "give --out PLAN to write a plan that can be applied".into(),
    });
    print::line(&print::wrap(&report.join("\n")))
}

/// Formats a difference as one line, or with the values on lines of their own if that is too long.
fn format_difference(change: &plan::Difference) -> String {
    let line = change.to_string();
    if line.chars().count() <= print::LINE_WIDTH {
        return line;
    }
    match (&change.old, &change.new) {
        (Some(old), Some(new)) => format!("~ {}:\n    {old}\n    -> {new}", change.path),
        (None, Some(new)) => format!("+ {}:\n    {new}", change.path),
        (Some(old), None) => format!("- {}:\n    {old}", change.path),
        (None, None) => line,
    }
}

fn apply(mut invocation: Invocation) -> Result<(), Failure> {
    let path: String = invocation.arguments.value_from_str("--plan")?;
    let digest: Option<String> = invocation.arguments.opt_value_from_str("--digest")?;
    let author: Option<String> = invocation.arguments.opt_value_from_str("--author")?;
    invocation.finish()?;
    let author = author
        .or_else(|| env::var("USER").ok())
        .filter(|author| !author.is_empty())
        .ok_or_else(|| Failure::usage("the author is not known; give --author NAME"))?;
    let admin = invocation.admin()?;
    let plan: Plan = serde_json::from_slice(&cli::read_file(&path)?)
        .map_err(|cause| Failure::new(Exit::Refused, format!("{path} is not a plan: {cause}")))?;
    plan.check(digest.as_deref())
        .map_err(|fault| Failure::new(Exit::Refused, format!("{path}: {fault}")))?;
    let revision =
        cli::block_on(admin.apply(&plan, &author)).map_err(|failure| match failure.exit {
            Exit::Conflict => Failure {
                message: format!(
                    "{}\nThe plan is based on revision {}; make a new plan and read it.",
                    failure.message, plan.base_revision
                ),
                ..failure
            },
            Exit::Unreachable => Failure {
                message: format!(
                    "{}\nRun the same command again: the plan takes effect once.",
                    failure.message
                ),
                ..failure
            },
            _ => failure,
        })?;
    if invocation.json {
        return print::json(&json!({
            "revision": revision.revision,
            "digest": revision.digest,
            "change_id": plan.change_id,
        }));
    }
    print::line(&format!("accepted as revision {}", revision.revision))
}

fn show(mut invocation: Invocation) -> Result<(), Failure> {
    invocation.finish()?;
    let revision = cli::block_on(invocation.admin()?.configuration())?;
    if invocation.json {
        return print::json(&revision);
    }
    print::error(&format!("revision {}, digest {}", revision.revision, revision.digest));
    let text = match serde_json::from_value(revision.document.clone()) {
        Ok(document) => print_document(&document),
        // A newer daemon may use keys that this version of the program does not know.
        Err(_) => serde_json::to_string_pretty(&revision.document),
    };
    print::line(&text.map_err(|cause| Failure::new(Exit::Internal, cause))?)
}

fn history(mut invocation: Invocation) -> Result<(), Failure> {
    let limit =
        invocation.arguments.opt_value_from_str("--limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    invocation.finish()?;
    let entries = cli::block_on(invocation.admin()?.history(limit))?;
    if invocation.json {
        return print::json(&entries);
    }
    if entries.is_empty() {
        return print::line("no revision has been accepted yet");
    }
    print::line(&print::wrap(&entries.iter().map(format_entry).collect::<Vec<_>>().join("\n")))
}

fn format_entry(entry: &HistoryEntry) -> String {
    let mut lines = vec![
        format!("{}  {}", entry.revision, print::timestamp(entry.accepted_unix_ms)),
        format!("  by {}", entry.author),
        format!("  change {}", entry.change_id),
    ];
    lines.extend(entry.changes.iter().map(|change| format!("  {change}")));
    lines.join("\n")
}
