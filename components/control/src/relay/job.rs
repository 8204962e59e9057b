//! Progress of one batch job at its owner.

use std::collections::BTreeMap;

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole text is there.
    Completed,
    /// It was given up.
    Abandoned,
}

/// How one run of an item ended without a whole text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The upstream says that the item can never be done.
    Impossible,
    /// The upstream failed while it ran the item.
    Failed,
    /// The run ended for a reason outside of the item.
    Interrupted,
}

/// What is known of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Waiting,
    Running,
    Ended,
}

/// Items of a job, in the order of the job.
#[derive(Clone, Debug)]
pub struct Progress {
    items: Vec<State>,
    failures: BTreeMap<usize, u32>,
    attempts: u32,
}

impl Progress {
    /// A job of `total` items, each of which may fail `attempts` times.
    pub fn new(total: usize, attempts: u32) -> Self {
        Self {
            items: vec![State::Waiting; total],
            failures: BTreeMap::new(),
            attempts: attempts.max(1),
        }
    }

    /// Failures of an item that an earlier owner stored.
    pub fn with_failures(mut self, item: usize, count: u32) -> Self {
        self.failures.insert(item, count);
        self
    }

    /// Items that wait for a run, in the order of the job.
    pub fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        let items = self.items.iter().enumerate();
        items.filter(|(_, state)| **state == State::Waiting).map(|(item, _)| item)
    }

    /// Records that an item runs.
    pub fn start(&mut self, item: usize) {
        self.items[item] = State::Running;
    }

    /// Records the end of an item. Items that the job does not have are passed over.
    pub fn end(&mut self, item: usize) {
        if let Some(state) = self.items.get_mut(item) {
            *state = State::Ended;
        }
    }

    /// Records a run without a whole text; returns the verdict when the item is given up.
    pub fn fail(&mut self, item: usize, fault: Fault) -> Option<Verdict> {
        let ended = match fault {
            Fault::Impossible => true,
            Fault::Failed => {
                let failures = self.failures.entry(item).or_default();
                *failures += 1;
                *failures >= self.attempts
            }
            Fault::Interrupted => false,
        };
        self.items[item] = if ended { State::Ended } else { State::Waiting };
        ended.then_some(Verdict::Abandoned)
    }

    /// Failures of an item that count towards its bound.
    pub fn failures(&self, item: usize) -> u32 {
        self.failures.get(&item).copied().unwrap_or(0)
    }

    /// Gives up every item that waits; returns them.
    pub fn abandon(&mut self) -> Vec<usize> {
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
