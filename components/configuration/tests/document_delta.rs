//! Properties of deltas and digests of documents.
#![allow(clippy::unwrap_used, clippy::panic)]

use cyclamengrade_configuration::{
    Change, Client, Delta, Deployment, Document, Fencing, Limit, Model,
};
use googletest::prelude::*;
use proptest::{collection::btree_map, prelude::*};

fn name() -> impl Strategy<Value = String> {
    "[a-d]{1,2}"
}

fn deployment() -> impl Strategy<Value = Deployment> {
    (any::<bool>(), any::<bool>(), any::<bool>(), name(), 1..5_000_u32).prop_map(
        |(service, idempotent, checked, model, target)| {
            let fencing = if checked { Fencing::Checked } else { Fencing::Ignored };
            let deployment =
                if service { Deployment::service() } else { Deployment::model(model, "1") };
            deployment
                .with_idempotent(idempotent)
                .with_fencing(fencing)
                .with_targets_ms(target, target)
        },
    )
}

fn client() -> impl Strategy<Value = Client> {
    (name(), 1..1_000_u32, btree_map(name(), 0.1..100.0_f64, 0..3)).prop_map(
        |(token, weight, limits)| {
            limits.into_iter().fold(
                Client::new(token).with_weight(weight),
                |client, (deployment, rate)| {
                    client.with_limit(deployment, Limit::new().with_requests_per_s(rate))
                },
            )
        },
    )
}

fn document() -> impl Strategy<Value = Document> {
    let model = name().prop_map(|version| Model::new().with_version(version, "weights"));
    (
        btree_map(name(), deployment(), 0..4),
        btree_map(name(), model, 0..3),
        btree_map(name(), client(), 0..4),
    )
        .prop_map(|(deployments, models, clients)| Document { deployments, models, clients })
}

proptest! {
    /// Guards against a delta that does not reproduce the new document after a round trip through
    /// JSON.
    #[test]
    fn delta_reproduces_document(old in document(), new in document()) {
        let delta = Delta::new(&old, &new);
        let text = serde_json::to_string(&delta).unwrap();
        let read: Delta = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(&read, &delta);
        let applied = read.apply(&old).unwrap();
        prop_assert_eq!(applied.digest(), new.digest());
        prop_assert_eq!(&applied, &new);
        prop_assert_eq!(delta.is_empty(), old == new);
    }

    /// Guards against a delta that lists an entry twice or an entry that did not change.
    #[test]
    fn delta_minimal(old in document(), new in document()) {
        let mut names: Vec<_> = Delta::new(&old, &new)
            .changes
            .into_iter()
            .map(|change| (change.section, change.name))
            .collect();
        let count = names.len();
        names.dedup();
        prop_assert_eq!(names.len(), count);
        prop_assert!(Delta::new(&new, &new).is_empty());
    }

    /// Guards against a digest that depends on the formatting of the document.
    #[test]
    fn digest_stable(document in document()) {
        let pretty = serde_json::to_string_pretty(&document).unwrap();
        let read: Document = serde_json::from_str(&pretty).unwrap();
        prop_assert_eq!(read.digest(), document.digest());
    }
}

/// Guards against ignoring a change that has an unknown section or a value of another type.
#[gtest]
fn invalid_change() -> Result<()> {
    let change = |section: &str, value| Delta {
        changes: vec![Change { section: section.into(), name: "a".into(), value }],
    };
    let document = Document::default();
    expect_that!(change("colours", None).apply(&document), none());
    expect_that!(change("clients", Some(5.into())).apply(&document), none());
    verify_that!(change("clients", None).apply(&document), some(eq(&document)))
}

/// Guards against readable tokens in the history of revisions.
#[gtest]
fn tokens_hidden() -> Result<()> {
    let mut document = Document::default();
    document.clients.insert("labels".into(), Client::new("secret"));
    document.deployments.insert("relay".into(), Deployment::service());
    let delta = Delta::new(&Document::default(), &document);
    let shown: Vec<_> = delta.changes.iter().map(ToString::to_string).collect();
    expect_that!(
        shown[0],
        all![starts_with("set clients.labels = "), not(contains_substring("secret"))]
    );
    verify_that!(shown[1], contains_substring("\"kind\":\"service\""))
}
