//! Checks of single values and of values against each other.

use std::{collections::BTreeSet, net::SocketAddr};

use jsonc_parser::ast;
use serde_json::{Map, Value};

use crate::{
    Daemon, Problem,
    key::{self, Key, Kind},
};

/// The path of a key that one object holds twice.
pub fn repeated_key(value: &ast::Value<'_>) -> Option<String> {
    match value {
        ast::Value::Object(object) => {
            let mut names = BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                if !names.insert(name) {
                    return Some(name.into());
                }
                if let Some(inner) = repeated_key(&property.value) {
                    return Some(format!("{name}.{inner}"));
                }
            }
            None
        }
        ast::Value::Array(array) => array.elements.iter().find_map(repeated_key),
        _ => None,
    }
}

/// Problems of single values: unknown keys, missing keys, wrong types and ranges.
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
    section("", object, &mut seen, &mut problems);
    for key in key::KEYS {
        if key.default == key::Default::Required && !seen.contains(key.path) {
            problems.push(Problem::Missing { path: key.path.into(), expected: key.expected() });
        }
    }
    problems
}

fn section(
    prefix: &str,
    object: &Map<String, Value>,
    seen: &mut BTreeSet<&'static str>,
    problems: &mut Vec<Problem>,
) {
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        if let Some(key) = key::find(&path) {
            seen.insert(key.path);
            problems.extend(single(key, value));
        } else if key::is_section(&path) {
            match value {
                Value::Object(inner) => section(&format!("{path}."), inner, seen, problems),
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

fn single(key: &Key, value: &Value) -> Option<Problem> {
    // A secret must not appear in messages.
    let hidden = Value::String("(not shown)".into());
    let shown = if key.kind == Kind::Token { &hidden } else { value };
    let wrong = || {
        Some(Problem::WrongType {
            path: key.path.into(),
            found: describe(shown),
            expected: key.expected(),
        })
    };
    let out = |inside: bool| {
        (!inside).then(|| Problem::OutOfRange {
            path: key.path.into(),
            found: shown.to_string(),
            expected: key.expected(),
        })
    };
    match (key.kind, value) {
        (Kind::Name, Value::String(text)) => out(is_name(text)),
        (Kind::Token, Value::String(text)) => out(is_token(text)),
        (Kind::Listener, Value::String(text)) => match text.parse::<SocketAddr>() {
            Ok(_) => None,
            Err(_) => wrong(),
        },
        (Kind::Address, Value::String(text)) => match text.parse::<SocketAddr>() {
            Ok(address) => out(!address.ip().is_unspecified() && address.port() != 0),
            Err(_) => wrong(),
        },
        (Kind::Whole { least, most }, Value::Number(number)) => match number.as_u64() {
            Some(whole) => out((least..=most).contains(&whole)),
            None if number.as_i64().is_some() => out(false),
            None => wrong(),
        },
        (Kind::Number { least, most }, Value::Number(number)) => {
            out(number.as_f64().is_some_and(|number| (least..=most).contains(&number)))
        }
        (Kind::Word(words), Value::String(text)) => out(words.contains(&text.as_str())),
        (Kind::Switch, Value::Bool(_)) => None,
        _ => wrong(),
    }
}

fn is_name(text: &str) -> bool {
    (1..=key::NAME_BYTES).contains(&text.len())
        && text.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'))
}

fn is_token(text: &str) -> bool {
    let (least, most) = key::TOKEN_BYTES;
    (least..=most).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Names the known key that the unknown one resembles most.
fn advice(path: &str) -> String {
    let last = path.rsplit('.').next().unwrap_or(path);
    let moved = key::KEYS.iter().find(|key| key.path.rsplit('.').next() == Some(last));
    let near = || {
        key::KEYS
            .iter()
            .map(|key| (distance(key.path, path), key))
            .filter(|(distance, _)| *distance <= 3)
            .min_by_key(|(distance, _)| *distance)
            .map(|(_, key)| key)
    };
    match moved.or_else(near) {
        Some(key) => format!("write {} instead, or remove it", key.path),
        None => "remove it, or see docs/settings.md for the keys".into(),
    }
}

/// Number of single-character edits between two texts.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(row[j + 1] + 1);
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

/// Problems of settings that contradict each other.
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
    addresses(settings, &mut problems);
    problems
}

/// Refuses an address that is used for two purposes on this vm.
///
/// The three platform addresses may be equal: one server may offer all three services. Port 0
/// takes a free port and so never collides.
fn addresses(settings: &Daemon, problems: &mut Vec<Problem>) {
    let own = [("listen", settings.listen), ("peer_listen", settings.peer_listen)];
    let platform = [
        ("platform.table", settings.platform.table),
        ("platform.objects", settings.platform.objects),
        ("platform.vms", settings.platform.vms),
    ];
    let mut refuse = |path: &str, other: &str, address: SocketAddr| {
        problems.push(Problem::Contradiction {
            path: path.into(),
            conflict: format!("{address} is also the address of {other}"),
            advice: "write another port or address".into(),
        });
    };
    let (left, right) = (own[0].1, own[1].1);
    let same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    if same_ip && left.port() == right.port() && left.port() != 0 {
        refuse(own[1].0, own[0].0, own[1].1);
    }
    for (path, address) in platform {
        for (other, listener) in own {
            let local = address.ip().is_loopback() && listener.ip().is_unspecified();
            if address == listener || (local && address.port() == listener.port()) {
                refuse(path, other, address);
            }
        }
    }
}
