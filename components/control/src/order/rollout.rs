//! Pacing of a rollout over the upstreams of one deployment.

use std::collections::BTreeMap;

use cyclamengrade_configuration::Deployment;

/// At most one in this many upstreams of a deployment, rounded up, loads a version at the same
/// time. The weight store is rate-limited, so a whole deployment must not load at once.
const UPSTREAMS_PER_CONCURRENT_LOAD: usize = 10;

/// Returns the label of a model version with its adapters, as upstreams report it:
/// `model@version+adapter`, with one `+adapter` for each adapter.
pub fn label(model: &str, version: &str, adapters: &[String]) -> String {
    let mut label = format!("{model}@{version}");
    for adapter in adapters {
        label.push('+');
        label.push_str(adapter);
    }
    label
}

/// Returns the label of the version that a deployment is configured with; `None` for a plain
/// service.
pub(super) fn wanted_label(deployment: &Deployment) -> Option<String> {
    let model = deployment.model.as_deref()?;
    let version = deployment.version.as_deref()?;
    Some(label(model, version, &deployment.adapters))
}

/// Returns the upstreams that may load the wanted label now: the first ones by name that do not
/// have it yet.
///
/// Every daemon derives the same order from the names, so the daemons keep to the limit of
/// concurrent loads without exchanging messages.
pub(super) fn may_load<'a>(
    wanted: &str,
    models: &BTreeMap<&'a str, Option<&Vec<String>>>,
) -> Vec<&'a str> {
    let limit = models.len().div_ceil(UPSTREAMS_PER_CONCURRENT_LOAD).max(1);
    models
        .iter()
        // An upstream that has never reported must not block those after it.
        .filter(|(_, models)| {
            models.is_some_and(|models| !models.iter().any(|label| label == wanted))
        })
        .take(limit)
        .map(|(name, _)| *name)
        .collect()
}

/// Returns whether at least half of the upstreams that have reported have loaded the label.
pub(super) fn is_loaded_by_half(
    label: &str,
    models: &BTreeMap<&str, Option<&Vec<String>>>,
) -> bool {
    let reporting = models.values().flatten();
    let reporting_count = reporting.clone().count();
    let loaded_count = reporting.filter(|models| models.iter().any(|other| other == label)).count();
    reporting_count > 0 && loaded_count * 2 >= reporting_count
}
