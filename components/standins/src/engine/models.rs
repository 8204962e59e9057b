//! Models that an engine has loaded, and orders to load others.

use std::time::Duration;

use tokio::time::sleep;

use super::Engine;

/// Interval between two checks for ordered models.
const ORDER_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Loaded and ordered models, as `model@version` or `model@version+adapter`.
#[derive(Debug, Default)]
pub struct Models {
    loaded: Vec<String>,
    ordered: Vec<String>,
    capacity: usize,
    fence: u64,
}

impl Models {
    /// Creates the state of an engine that has loaded these models and holds at most `capacity`
    /// ordered ones.
    pub fn new(loaded: Vec<String>, capacity: usize) -> Self {
        Self { ordered: loaded.clone(), loaded, capacity, fence: 0 }
    }

    pub fn loaded(&self) -> Vec<String> {
        self.loaded.clone()
    }

    /// Returns the version that serves a request, or `None` if no loaded model matches. Without a
    /// requested version, the first loaded version of the model serves it.
    pub fn version(&self, model: &str, version: Option<&str>) -> Option<String> {
        self.loaded.iter().find_map(|loaded| {
            let (name, rest) = loaded.split_once('@')?;
            let loaded_version = rest.split('+').next()?;
            let matches = name == model && version.is_none_or(|version| version == loaded_version);
            matches.then(|| loaded_version.to_owned())
        })
    }

    /// Accepts an order. Models that are not ordered are unloaded at once; ordered models over the
    /// capacity are ignored.
    pub fn order(&mut self, models: Vec<String>, fence: u64) {
        self.fence = self.fence.max(fence);
        self.loaded.retain(|model| models.contains(model));
        self.ordered = models;
        self.ordered.truncate(self.capacity);
    }

    /// Returns the highest fencing number of an accepted order.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the first ordered model that is not loaded.
    fn next_missing(&self) -> Option<String> {
        self.ordered.iter().find(|model| !self.loaded.contains(model)).cloned()
    }

    /// Records a model as loaded, unless it is no longer ordered.
    fn mark_loaded(&mut self, model: String) {
        if self.ordered.contains(&model) && !self.loaded.contains(&model) {
            self.loaded.push(model);
        }
    }
}

/// Loads ordered models one after another until the process ends.
pub async fn load_ordered(engine: &Engine, load_time: Duration) {
    loop {
        let missing = engine.lock().models.next_missing();
        let Some(model) = missing else {
            sleep(ORDER_POLL_PERIOD).await;
            continue;
        };
        sleep(load_time.mul_f64(engine.switches.faults().slow_factor)).await;
        engine.switches.wait_while_frozen().await;
        engine.lock().models.mark_loaded(model);
    }
}
