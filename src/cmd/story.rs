//! `story ID FILE...`: prints the log lines about one request, job or item in order of time.

use std::path::Path;

use serde_json::{Map, Value, json};

use crate::{
    cli::{Failure, Invocation, read_file},
    print,
};

pub const HELP: &str = "\
Usage: cyclamengrade story ID FILE...

Prints what log files say of a request, a job or an item,
in order of time over all files: time, name of the file,
event and its fields. Lines that are no JSON are left out.";

/// Log fields that may hold the id.
const ID_FIELDS: [&str; 3] = ["request", "job", "item"];
/// Fields that are left out of the list of fields: they are printed first or not at all.
const HEAD_FIELDS: [&str; 5] = ["time", "level", "message", "event", "name"];

/// A log line that mentions the id.
struct Line {
    time: String,
    file: String,
    fields: Map<String, Value>,
}

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let id = invocation.positional("the ID")?;
    let mut lines = Vec::new();
    let first = invocation.positional("a log FILE")?;
    collect_lines(&id, &first, &mut lines)?;
    while let Some(path) = invocation.arguments.opt_free_from_str::<String>()? {
        collect_lines(&id, &path, &mut lines)?;
    }
    invocation.finish()?;
    // The sort is stable: lines of one file with the same time keep their order.
    lines.sort_by(|a, b| (&a.time, &a.file).cmp(&(&b.time, &b.file)));
    if invocation.json {
        let lines: Vec<Value> = lines
            .into_iter()
            .map(|line| json!({ "file": line.file, "line": line.fields }))
            .collect();
        return print::json(&json!({ "id": id, "lines": lines }));
    }
    if lines.is_empty() {
        return print::line(&format!("no line about {id}"));
    }
    for line in &lines {
        print::line(&print::wrap(&format_line(line)))?;
    }
    Ok(())
}

/// Adds the lines of a log file that mention the id; lines that are not JSON are skipped.
fn collect_lines(id: &str, path: &str, lines: &mut Vec<Line>) -> Result<(), Failure> {
    let content = read_file(path)?;
    let file = Path::new(path).file_stem().unwrap_or_default().to_string_lossy().into_owned();
    for line in String::from_utf8_lossy(&content).lines() {
        let Ok(Value::Object(fields)) = serde_json::from_str(line) else { continue };
        let mentions_id = ID_FIELDS.iter().any(|name| fields.get(*name).is_some_and(|v| v == id));
        if mentions_id {
            let time = fields.get("time").and_then(Value::as_str).unwrap_or_default().to_owned();
            lines.push(Line { time, file: file.clone(), fields });
        }
    }
    Ok(())
}

/// Formats a log line as text.
fn format_line(line: &Line) -> String {
    let name = line.fields.get("name").and_then(Value::as_str).unwrap_or("line");
    let rest = line.fields.iter().filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{} {} {name} {}", line.time, line.file, rest.join(" "))
}
