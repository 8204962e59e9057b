//! Models of an engine and the orders to load them.

use std::time::Duration;

use tokio::time::sleep;

use super::Engine;

/// Time between two looks at the order.
const POLL: Duration = Duration::from_millis(10);

/// Loaded and ordered models.
#[derive(Debug, Default)]
pub struct Models {
    loaded: Vec<String>,
    wanted: Vec<String>,
    capacity: usize,
    fence: u64,
}

impl Models {
    /// An engine that has loaded these models.
    pub fn new(loaded: Vec<String>, capacity: usize) -> Self {
        Self { wanted: loaded.clone(), loaded, capacity, fence: 0 }
    }

    /// Loaded models.
    pub fn loaded(&self) -> Vec<String> {
        self.loaded.clone()
    }

    /// Version that answers a request, or `None` when no loaded model fits.
    pub fn version(&self, model: &str, version: Option<&str>) -> Option<String> {
        self.loaded.iter().find_map(|loaded| {
            let (name, rest) = loaded.split_once('@')?;
            let held = rest.split('+').next()?;
            let fits = name == model && version.is_none_or(|version| version == held);
            fits.then(|| held.to_owned())
        })
    }

    /// Accepts an order. Models that are no longer wanted are unloaded at once.
    pub fn order(&mut self, models: Vec<String>, fence: u64) {
        self.fence = self.fence.max(fence);
        self.loaded.retain(|model| models.contains(model));
        self.wanted = models;
        self.wanted.truncate(self.capacity);
    }

    /// Highest fencing number seen.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    fn missing(&self) -> Option<String> {
        self.wanted.iter().find(|model| !self.loaded.contains(model)).cloned()
    }

    fn finish(&mut self, model: String) {
        if self.wanted.contains(&model) && !self.loaded.contains(&model) {
            self.loaded.push(model);
        }
    }
}

/// Loads ordered models, one after the other, until the process ends.
pub async fn load_ordered(engine: &Engine, load_time: Duration) {
    loop {
        let missing = engine.lock().models.missing();
        let Some(model) = missing else {
            sleep(POLL).await;
            continue;
        };
        sleep(load_time.mul_f64(engine.switches.faults().slow_factor)).await;
        engine.switches.thaw().await;
        engine.lock().models.finish(model);
    }
}
