//! Property tests of the rows of the relays' tables, as other writers may have left them.

use std::time::Duration;

use cyclamengrade_relay::job::{key, row};
use proptest::{prelude::*, test_runner::RngSeed};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    }
}

fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        Just(json!(u64::MAX)),
        any::<f64>().prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
        Just(json!("127.0.0.1:0")),
        Just(json!("open")),
    ]
}

fn value() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(4, 30, 6, |inner| {
        let names = prop_oneof![
            Just("address"),
            Just("incarnation"),
            Just("capacity"),
            Just("joined_ms"),
            Just("host"),
            Just("path"),
            Just("items"),
            Just("tokens"),
            Just("accepted_ms"),
            Just("due_ms"),
            Just("expires_ms"),
            Just("state"),
            Just("owner"),
            Just("name"),
            Just("item"),
            Just("text"),
            Just("object"),
            Just("counts"),
            Just("ends_ms"),
            Just("last"),
            Just("events"),
            Just("software"),
            Just("deployments"),
            Just("since_ms"),
            Just("streams"),
            Just("0"),
        ];
        let object =
            proptest::collection::btree_map(names.prop_map(str::to_owned), inner.clone(), 0..12);
        prop_oneof![
            proptest::collection::vec(inner, 0..6).prop_map(Value::from),
            object.prop_map(|fields| fields.into_iter().collect::<Value>()),
        ]
    })
}

/// Returns whether a row that can be read has the same meaning after it was written again.
fn survives<T: Serialize + DeserializeOwned + PartialEq>(value: &Value) -> bool {
    let Ok(row) = T::deserialize(value) else { return true };
    serde_json::to_value(&row)
        .is_ok_and(|written| T::deserialize(&written).is_ok_and(|read| read == row))
}

proptest! {
    #![proptest_config(config())]

    /// Guards against rows that end the thread which reads them, or that change when they are written
    /// again.
    #[test]
    fn any_value(value in value()) {
        prop_assert!(survives::<row::Member>(&value));
        prop_assert!(survives::<row::Job>(&value));
        prop_assert!(survives::<row::Outcome>(&value));
        prop_assert!(survives::<row::Failures>(&value));
        prop_assert!(survives::<row::Quarantine>(&value));
        prop_assert!(survives::<row::Partial>(&value));
        prop_assert!(survives::<row::Versions>(&value));
        prop_assert!(survives::<row::Origins>(&value));
    }

    /// Guards against a row of the quarantine that grows without bound, or whose times overflow.
    #[test]
    fn quarantine_row(
        known in proptest::collection::btree_map(any::<u64>(), any::<u64>(), 0..40),
        parts in proptest::collection::vec(any::<u64>(), 0..10),
        now_ms in any::<u64>(),
    ) {
        let mut row = row::Quarantine { ends_ms: known };
        row.extend(parts, now_ms, Duration::from_secs(600), 16);
        prop_assert!(row.ends_ms.len() <= 16);
        prop_assert!(row.ends_ms.values().all(|end_ms| *end_ms > now_ms || now_ms == u64::MAX));
    }

    /// Guards against keys of other writers that end the thread which reads them.
    #[test]
    fn any_key(key in ".{0,60}") {
        let _ = key::subject(&key);
        let _ = key::subject(&format!("fleet/{key}"));
        let _ = key::subject(&format!("fleet/jobs-{key}"));
    }
}
