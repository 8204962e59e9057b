//! Validation of settings files: duplicate keys, single values, and values that contradict each
//! other.

use std::{collections::BTreeSet, net::SocketAddr};

use jsonc_parser::ast;
use serde_json::{Map, Value};

use crate::{
    Daemon, Problem,
    key::{self, Key, Kind},
};

/// Returns the path of the first key that an object holds more than once.
pub fn duplicate_key(value: &ast::Value<'_>) -> Option<String> {
    match value {
        ast::Value::Object(object) => {
            let mut names = BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                if !names.insert(name) {
                    return Some(name.into());
                }
                if let Some(inner) = duplicate_key(&property.value) {
                    return Some(format!("{name}.{inner}"));
                }
            }
            None
        }
        ast::Value::Array(array) => array.elements.iter().find_map(duplicate_key),
        _ => None,
    }
}

/// Checks every key by itself and returns all problems: unknown keys, missing required keys, wrong
/// types and values out of range.
pub fn values(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let Value::Object(object) = value else {
        return vec![Problem::WrongType {
            path: "(whole file)".into(),
            found: describe(value),
            expected: "an object with the keys of docs/settings.md".into(),
        }];
    };
    let mut seen = BTreeSet::new();
    check_section("", object, &mut seen, &mut problems);
    for key in key::KEYS {
        if key.default == key::Default::Required && !seen.contains(key.path) {
            problems.push(Problem::Missing { path: key.path.into(), expected: key.expected() });
        }
    }
    problems
}

/// Checks the keys of one section and of the sections within it. `prefix` is the path of the
/// section with a trailing dot, and `seen` collects the known keys that are present.
fn check_section(
    prefix: &str,
    object: &Map<String, Value>,
    seen: &mut BTreeSet<&'static str>,
    problems: &mut Vec<Problem>,
) {
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        if let Some(key) = key::find(&path) {
            seen.insert(key.path);
            problems.extend(value_problem(key, value));
        } else if key::is_section(&path) {
            match value {
                Value::Object(inner) => check_section(&format!("{path}."), inner, seen, problems),
                other => problems.push(Problem::WrongType {
                    path,
                    found: describe(other),
                    expected: "an object".into(),
                }),
            }
        } else {
            problems.push(Problem::UnknownKey { advice: advice(&path), path });
        }
    }
}

fn value_problem(key: &Key, value: &Value) -> Option<Problem> {
    // Messages go to logs and terminals, where a secret must not appear.
    let redacted = Value::String("(not shown)".into());
    let shown = if key.kind == Kind::Token { &redacted } else { value };
    let wrong_type = || {
        Some(Problem::WrongType {
            path: key.path.into(),
            found: describe(shown),
            expected: key.expected(),
        })
    };
    let require_in_range = |in_range: bool| {
        (!in_range).then(|| Problem::OutOfRange {
            path: key.path.into(),
            found: shown.to_string(),
            expected: key.expected(),
        })
    };
    match (key.kind, value) {
        (Kind::Name, Value::String(text)) => require_in_range(is_name(text)),
        (Kind::Token, Value::String(text)) => require_in_range(is_token(text)),
        (Kind::Listener, Value::String(text)) => match text.parse::<SocketAddr>() {
            Ok(_) => None,
            Err(_) => wrong_type(),
        },
        (Kind::Address, Value::String(text)) => match text.parse::<SocketAddr>() {
            Ok(address) => require_in_range(!address.ip().is_unspecified() && address.port() != 0),
            Err(_) => wrong_type(),
        },
        (Kind::Integer { min, max }, Value::Number(number)) => match number.as_u64() {
            Some(integer) => require_in_range((min..=max).contains(&integer)),
            None if number.as_i64().is_some() => require_in_range(false),
            None => wrong_type(),
        },
        (Kind::Number { min, max }, Value::Number(number)) => {
            require_in_range(number.as_f64().is_some_and(|number| (min..=max).contains(&number)))
        }
        (Kind::Choice(choices), Value::String(text)) => {
            require_in_range(choices.contains(&text.as_str()))
        }
        (Kind::Boolean, Value::Bool(_)) => None,
        _ => wrong_type(),
    }
}

fn is_name(text: &str) -> bool {
    (1..=key::MAX_NAME_BYTES).contains(&text.len())
        && text.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'))
}

fn is_token(text: &str) -> bool {
    let (min, max) = key::TOKEN_BYTES;
    (min..=max).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Suggests a known key for an unknown path: a key with the same last part in another section, or
/// else the closest key within three single-character edits.
fn advice(path: &str) -> String {
    let last = path.rsplit('.').next().unwrap_or(path);
    let in_other_section = key::KEYS.iter().find(|key| key.path.rsplit('.').next() == Some(last));
    let closest = || {
        key::KEYS
            .iter()
            .map(|key| (edit_distance(key.path, path), key))
            .filter(|(distance, _)| *distance <= 3)
            .min_by_key(|(distance, _)| *distance)
            .map(|(_, key)| key)
    };
    match in_other_section.or_else(closest) {
        Some(key) => format!("write {} instead, or remove it", key.path),
        None => "remove it, or see docs/settings.md for the keys".into(),
    }
}

/// Returns the Levenshtein distance in characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[right.len()]
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
        Value::String(_) => format!("the string {value}"),
        Value::Array(_) => "an array".into(),
        Value::Object(_) => "an object".into(),
    }
}

/// Returns the problems of settings that are valid by themselves but contradict each other.
pub fn contradictions(settings: &Daemon) -> Vec<Problem> {
    let mut problems = Vec::new();
    let Daemon { lease, limits, peer, timers, platform, .. } = settings;
    let mut require = |holds: bool, path: &str, conflict: String, advice: String| {
        if !holds {
            problems.push(Problem::Contradiction { path: path.into(), conflict, advice });
        }
    };
    require(
        lease.renewal_ms < lease.length_ms.div_ceil(2),
        "lease.renewal_ms",
        format!(
            "{} ms is not under half of lease.length_ms ({} ms)",
            lease.renewal_ms, lease.length_ms
        ),
        format!(
            "write at most {}, or raise lease.length_ms",
            lease.length_ms.div_ceil(2).saturating_sub(1)
        ),
    );
    require(
        platform.timeout_ms < lease.length_ms,
        "platform.timeout_ms",
        format!(
            "{} ms is not under lease.length_ms ({} ms), so a slow renewal loses the lease",
            platform.timeout_ms, lease.length_ms
        ),
        format!("write at most {}", lease.length_ms - 1),
    );
    require(
        timers.drain_ms > timers.leave_ms,
        "timers.drain_ms",
        format!("{} ms is not above timers.leave_ms ({} ms)", timers.drain_ms, timers.leave_ms),
        format!("write at least {}, or lower timers.leave_ms", timers.leave_ms + 1),
    );
    require(
        peer.probe_timeout_ms < peer.probe_period_ms,
        "peer.probe_timeout_ms",
        format!(
            "{} ms is not under peer.probe_period_ms ({} ms)",
            peer.probe_timeout_ms, peer.probe_period_ms
        ),
        format!("write at most {}", peer.probe_period_ms - 1),
    );
    require(
        peer.suspicion_ms >= peer.probe_period_ms,
        "peer.suspicion_ms",
        format!(
            "{} ms is under peer.probe_period_ms ({} ms)",
            peer.suspicion_ms, peer.probe_period_ms
        ),
        format!("write at least {}", peer.probe_period_ms),
    );
    require(
        limits.batch_body_bytes >= limits.body_bytes,
        "limits.batch_body_bytes",
        format!(
            "{} bytes are under limits.body_bytes ({})",
            limits.batch_body_bytes, limits.body_bytes
        ),
        format!("write at least {}", limits.body_bytes),
    );
    require(
        limits.chunk_items <= limits.batch_items,
        "limits.chunk_items",
        format!("{} is above limits.batch_items ({})", limits.chunk_items, limits.batch_items),
        format!("write at most {}", limits.batch_items),
    );
    check_addresses(settings, &mut problems);
    problems
}

/// Reports an address on this vm that two settings use for different purposes.
///
/// The three platform addresses may be equal, because one server may offer all three services. A
/// listener with port 0 gets a free port from the operating system, so it never collides.
fn check_addresses(settings: &Daemon, problems: &mut Vec<Problem>) {
    let listeners = [("listen", settings.listen), ("peer_listen", settings.peer_listen)];
    let platform = [
        ("platform.table", settings.platform.table),
        ("platform.objects", settings.platform.objects),
        ("platform.vms", settings.platform.vms),
    ];
    let mut report = |path: &str, other: &str, address: SocketAddr| {
        problems.push(Problem::Contradiction {
            path: path.into(),
            conflict: format!("{address} is also the address of {other}"),
            advice: "write another port or address".into(),
        });
    };
    let (listen, peer_listen) = (listeners[0].1, listeners[1].1);
    let same_ip = listen.ip() == peer_listen.ip()
        || listen.ip().is_unspecified()
        || peer_listen.ip().is_unspecified();
    if same_ip && listen.port() == peer_listen.port() && listen.port() != 0 {
        report(listeners[1].0, listeners[0].0, listeners[1].1);
    }
    for (path, address) in platform {
        for (other, listener) in listeners {
            let local = address.ip().is_loopback() && listener.ip().is_unspecified();
            if address == listener || (local && address.port() == listener.port()) {
                report(path, other, address);
            }
        }
    }
}
