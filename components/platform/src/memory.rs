//! In-memory implementations of the platform's services for tests, with fault injection.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    Boxed, Error, Vm,
    table::{Commit, Row, Transaction},
};

/// Rows of a table, without fault injection and locking.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Rows {
    pub fn read(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns at most `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// order of key.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = match after < prefix {
            true => Bound::Included(prefix),
            false => Bound::Excluded(after),
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes if all conditions hold.
    ///
    /// All rows of a table take their versions from one counter, so that a row that is deleted and
    /// created again never repeats an old version.
    pub fn commit(&mut self, transaction: Transaction) -> Commit {
        let failed: Vec<_> = transaction
            .conditions
            .iter()
            .map(|condition| (condition.version, self.rows.get(&condition.key)))
            .filter(|(version, row)| row.map_or(0, |row| row.version) != *version)
            .map(|(_, row)| row.cloned())
            .collect();
        if !failed.is_empty() {
            return Commit::Conflict { rows: failed };
        }
        let mut versions = Vec::with_capacity(transaction.writes.len());
        for write in transaction.writes {
            let Some(value) = write.value else {
                self.rows.remove(&write.key);
                versions.push(0);
                continue;
            };
            self.version += 1;
            let row = Row { key: write.key, version: self.version, value };
            self.rows.insert(row.key.clone(), row);
            versions.push(self.version);
        }
        Commit::Done { versions }
    }
}

/// Injected faults of one service. A new value has none.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    limited: AtomicBool,
    delay_us: AtomicU64,
    lose_replies: AtomicU64,
}

impl Faults {
    /// While `down` is set, fails every call as unreachable before it takes effect.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// While `limited` is set, refuses every call because of the rate limit.
    pub fn set_limited(&self, limited: bool) {
        self.limited.store(limited, Ordering::SeqCst);
    }

    /// Delays every call before it takes effect. The resolution is a microsecond; zero ends the
    /// delay.
    pub fn set_slow(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_us.store(delay, Ordering::SeqCst);
    }

    /// Drops the answers to the next `writes` writes after they took effect; `u64::MAX` drops all
    /// of them.
    pub fn set_lose_replies(&self, writes: u64) {
        self.lose_replies.store(writes, Ordering::SeqCst);
    }

    /// Applies the faults that occur before a call takes effect.
    async fn before_call(&self) -> Result<(), Error> {
        let delay = self.delay_us.load(Ordering::SeqCst);
        if delay > 0 {
            sleep(Duration::from_micros(delay)).await;
        }
        if self.down.load(Ordering::SeqCst) {
            return Err(Error::Unreachable("fault injection: service is down".into()));
        }
        if self.limited.load(Ordering::SeqCst) {
            return Err(Error::RateLimited);
        }
        Ok(())
    }

    /// Applies the faults that occur after a write took effect.
    fn after_write(&self) -> Result<(), Error> {
        let is_dropped = self
            .lose_replies
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| match remaining {
                0 => None,
                u64::MAX => Some(u64::MAX),
                remaining => Some(remaining - 1),
            })
            .is_ok();
        match is_dropped {
            true => Err(Error::OutcomeUnknown("fault injection: answer dropped".into())),
            false => Ok(()),
        }
    }
}

/// Numbers of calls that took effect at a service. Calls refused by an injected fault do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes and deletions, including those with a conflict.
    pub writes: u64,
    /// Number of transactions whose conditions did not hold, or of objects that already existed.
    pub conflicts: u64,
}

/// In-memory table service.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<(Rows, Counts)>,
    faults: Faults,
}

impl Table {
    pub fn new() -> Self {
        Self::default()
    }

    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).1
    }

    /// Returns all rows whose keys start with `prefix`. Injected faults and counts do not apply.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        lock(&self.state).0.scan(prefix, "", usize::MAX)
    }
}

impl crate::Table for Table {
    fn read(&self, keys: Vec<String>) -> Boxed<'_, Vec<Option<Row>>> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let mut state = lock(&self.state);
            state.1.reads += 1;
            Ok(keys.iter().map(|key| state.0.read(key).cloned()).collect())
        })
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Boxed<'_, Vec<Row>> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let mut state = lock(&self.state);
            state.1.reads += 1;
            Ok(state.0.scan(&prefix, &after, limit))
        })
    }

    fn commit(&self, transaction: Transaction) -> Boxed<'_, Commit> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let commit = {
                let mut state = lock(&self.state);
                state.1.writes += 1;
                let commit = state.0.commit(transaction);
                state.1.conflicts += u64::from(matches!(commit, Commit::Conflict { .. }));
                commit
            };
            self.faults.after_write()?;
            Ok(commit)
        })
    }
}

/// In-memory object store.
#[derive(Debug, Default)]
pub struct Objects {
    state: Mutex<(BTreeMap<String, Bytes>, Counts)>,
    faults: Faults,
}

impl Objects {
    pub fn new() -> Self {
        Self::default()
    }

    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).1
    }

    /// Returns the keys of all objects. Injected faults and counts do not apply.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.state).0.keys().cloned().collect()
    }
}

impl crate::Objects for Objects {
    fn delete(&self, key: String) -> Boxed<'_, ()> {
        Box::pin(async move {
            self.faults.before_call().await?;
            {
                let mut state = lock(&self.state);
                state.1.writes += 1;
                state.0.remove(&key);
            }
            self.faults.after_write()
        })
    }

    fn put_new(&self, key: String, content: Bytes) -> Boxed<'_, bool> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let written = {
                let mut state = lock(&self.state);
                state.1.writes += 1;
                let written = !state.0.contains_key(&key);
                match written {
                    true => drop(state.0.insert(key, content)),
                    false => state.1.conflicts += 1,
                }
                written
            };
            self.faults.after_write()?;
            Ok(written)
        })
    }

    fn get(&self, key: String) -> Boxed<'_, Option<Bytes>> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let mut state = lock(&self.state);
            state.1.reads += 1;
            Ok(state.0.get(&key).cloned())
        })
    }
}

/// In-memory list of vms. A counter of the changes serves as its entity tag.
#[derive(Debug, Default)]
pub struct Vms {
    state: Mutex<(u64, Vec<Vm>, Counts)>,
    faults: Faults,
}

impl Vms {
    pub fn new(vms: Vec<Vm>) -> Self {
        Self { state: Mutex::new((1, vms, Counts::default())), faults: Faults::default() }
    }

    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).2
    }

    /// Replaces the list, which changes its entity tag.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut state = lock(&self.state);
        state.0 += 1;
        state.1 = vms;
    }
}

impl crate::Vms for Vms {
    fn list(&self, tag: Option<String>) -> Boxed<'_, Option<(String, Vec<Vm>)>> {
        Box::pin(async move {
            self.faults.before_call().await?;
            let mut state = lock(&self.state);
            state.2.reads += 1;
            let current = format!("\"{}\"", state.0);
            Ok((tag.as_ref() != Some(&current)).then(|| (current, state.1.clone())))
        })
    }
}

/// Locks a mutex. Poisoning is ignored, because a panic in another test thread leaves the data
/// usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
