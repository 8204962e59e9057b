//! Progress of one batch job at the relay that owns it.

use std::collections::BTreeMap;

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalState {
    /// The text is complete.
    Completed,
    /// The item will not be run again.
    Abandoned,
}

/// Why one run of an item ended without a complete text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// The upstream reported that the item can never succeed.
    Impossible,
    /// The upstream failed while it ran the item.
    Failed,
    /// The run ended for a reason unrelated to the item. Does not count as a failure of the item.
    Interrupted,
}

/// State of an item within this relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Waiting,
    Running,
    Ended,
}

/// States and failure counts of the items of a job, by position in the job.
#[derive(Clone, Debug)]
pub struct Progress {
    items: Vec<State>,
    failures: BTreeMap<usize, u32>,
    max_failures: u32,
}

impl Progress {
    /// Creates the progress of a job of `total` waiting items. An item is abandoned after
    /// `max_failures` failures; zero counts as one.
    pub fn new(total: usize, max_failures: u32) -> Self {
        Self {
            items: vec![State::Waiting; total],
            failures: BTreeMap::new(),
            max_failures: max_failures.max(1),
        }
    }

    /// Sets the failures after which an item is abandoned, from its next failure on; zero counts as one.
    pub fn set_max_failures(&mut self, max_failures: u32) {
        self.max_failures = max_failures.max(1);
    }

    /// Sets the failures of an item that an earlier owner stored.
    pub fn with_failures(mut self, item: usize, count: u32) -> Self {
        self.failures.insert(item, count);
        self
    }

    /// Raises the failures of an item to those that its former owner counted. Positions outside the job are
    /// ignored. Returns whether the count has changed.
    pub fn raise_failures(&mut self, item: usize, count: u32) -> bool {
        let is_raised = item < self.items.len() && count > self.failures(item);
        if is_raised {
            self.failures.insert(item, count);
        }
        is_raised
    }

    /// Returns the items that wait for a run, in the order of the job.
    pub fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        let items = self.items.iter().enumerate();
        items.filter(|(_, state)| **state == State::Waiting).map(|(item, _)| item)
    }

    /// Marks an item as running.
    pub fn start(&mut self, item: usize) {
        self.items[item] = State::Running;
    }

    /// Marks an item as ended. Positions outside the job are ignored.
    pub fn end(&mut self, item: usize) {
        if let Some(state) = self.items.get_mut(item) {
            *state = State::Ended;
        }
    }

    /// Whether an item waits for a run. Positions outside the job do not.
    pub fn is_waiting(&self, item: usize) -> bool {
        self.items.get(item) == Some(&State::Waiting)
    }

    /// Whether an item has ended. Positions outside the job have not.
    pub fn has_ended(&self, item: usize) -> bool {
        self.items.get(item) == Some(&State::Ended)
    }

    /// Records a run without a complete text. Returns the final state if the item is abandoned;
    /// otherwise it waits for another run.
    pub fn record_failure(&mut self, item: usize, failure: RunFailure) -> Option<FinalState> {
        let ended = match failure {
            RunFailure::Impossible => true,
            RunFailure::Failed => {
                let failures = self.failures.entry(item).or_default();
                *failures = failures.saturating_add(1);
                *failures >= self.max_failures
            }
            RunFailure::Interrupted => false,
        };
        self.items[item] = if ended { State::Ended } else { State::Waiting };
        ended.then_some(FinalState::Abandoned)
    }

    /// Returns the failures of an item that count towards its limit.
    pub fn failures(&self, item: usize) -> u32 {
        self.failures.get(&item).copied().unwrap_or(0)
    }

    /// Abandons every waiting item and returns their positions.
    pub fn abandon_waiting(&mut self) -> Vec<usize> {
        let waiting: Vec<usize> = self.waiting().collect();
        for item in &waiting {
            self.items[*item] = State::Ended;
        }
        waiting
    }

    /// Whether every item has ended.
    pub fn is_done(&self) -> bool {
        self.items.iter().all(|state| *state == State::Ended)
    }
}
