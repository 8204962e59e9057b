//! `story ID FILE...`

use std::path::Path;

use serde_json::{Map, Value, json};

use crate::{
    cli::{Call, Failure, read},
    print,
};

/// Help of this subcommand.
pub const HELP: &str = "\
Usage: cyclamengrade story ID FILE...

Prints what log files say of a request, a job or an item,
in order of time over all files: time, name of the file,
event and its fields. Lines that are no JSON are left out.";

/// Fields whose value may be the id.
const ID_FIELDS: [&str; 3] = ["request", "job", "item"];
/// Fields that are printed before the others, or not at all.
const HEAD_FIELDS: [&str; 5] = ["time", "level", "message", "event", "name"];

/// A log line about the id.
struct Line {
    time: String,
    file: String,
    fields: Map<String, Value>,
}

/// Runs the subcommand.
pub fn run(mut call: Call) -> Result<(), Failure> {
    let id = call.free("the ID")?;
    let mut lines = Vec::new();
    let first = call.free("a log FILE")?;
    collect(&id, &first, &mut lines)?;
    while let Some(path) = call.arguments.opt_free_from_str::<String>()? {
        collect(&id, &path, &mut lines)?;
    }
    call.finish()?;
    // Lines of one time keep their order in their file.
    lines.sort_by(|a, b| (&a.time, &a.file).cmp(&(&b.time, &b.file)));
    if call.json {
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
        print::line(&print::wrap(&text(line)))?;
    }
    Ok(())
}

fn collect(id: &str, path: &str, lines: &mut Vec<Line>) -> Result<(), Failure> {
    let content = read(path)?;
    let file = Path::new(path).file_stem().unwrap_or_default().to_string_lossy().into_owned();
    for line in String::from_utf8_lossy(&content).lines() {
        let Ok(Value::Object(fields)) = serde_json::from_str(line) else { continue };
        let is_meant = ID_FIELDS.iter().any(|name| fields.get(*name).is_some_and(|v| v == id));
        if is_meant {
            let time = fields.get("time").and_then(Value::as_str).unwrap_or_default().to_owned();
            lines.push(Line { time, file: file.clone(), fields });
        }
    }
    Ok(())
}

/// One line for a person.
fn text(line: &Line) -> String {
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
