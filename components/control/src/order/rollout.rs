//! Progress of a new version through the upstreams of one deployment.

use std::collections::BTreeMap;

use cyclamengrade_configuration::Deployment;

/// Upstreams of one deployment that load a version at the same time: one in this many, at least
/// one. The weight store is rate-limited, so a whole deployment must not load at once.
const UPSTREAMS_PER_LOAD: usize = 10;

/// Label of a model version with its adapters, as engines report it.
pub fn label(model: &str, version: &str, adapters: &[String]) -> String {
    let mut label = format!("{model}@{version}");
    for adapter in adapters {
        label.push('+');
        label.push_str(adapter);
    }
    label
}

/// Label of the version that a deployment wants; `None` for a plain service.
pub(super) fn wanted(deployment: &Deployment) -> Option<String> {
    let model = deployment.model.as_deref()?;
    let version = deployment.version.as_deref()?;
    Some(label(model, version, &deployment.adapters))
}

/// Which upstreams may start to load, in order of name.
///
/// Every daemon derives the same order from the names, so the daemons need no messages to keep to
/// the number of loads at a time.
pub(super) fn admitted<'a>(
    wanted: &str,
    models: &BTreeMap<&'a str, Option<&Vec<String>>>,
) -> Vec<&'a str> {
    let limit = models.len().div_ceil(UPSTREAMS_PER_LOAD).max(1);
    models
        .iter()
        // An upstream that never reported must not hold back the ones after it.
        .filter(|(_, models)| {
            models.is_some_and(|models| !models.iter().any(|label| label == wanted))
        })
        .take(limit)
        .map(|(name, _)| *name)
        .collect()
}

/// Whether at least half of the upstreams that report have the label.
pub(super) fn has_half(label: &str, models: &BTreeMap<&str, Option<&Vec<String>>>) -> bool {
    let reporting = models.values().flatten();
    let total = reporting.clone().count();
    let having = reporting.filter(|models| models.iter().any(|other| other == label)).count();
    total > 0 && having * 2 >= total
}
