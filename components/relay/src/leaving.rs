//! Upstreams that said in a response that they are leaving while their entries do not. The store keeps them
//! for relays that start later.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{hash, relay::selector::Upstream, time::Time};
use cyclamengrade_platform::{
    Error,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::event;
use tokio::{sync::Notify, time::timeout};

use crate::{
    job::{key, row, store},
    shared::{Phase, Shared, lock},
};

/// Time after which an upstream whose entry still does not say that it is leaving is stored. Most entries
/// say so by then.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// Further delay for each relay before this one, which then need not write the same.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Largest number of relays that one waits for.
const MAX_RANK: usize = 16;
/// Time for which an upstream is not listed before its row is deleted. An entry may return after an outage
/// of the store.
const DELETE_DELAY: Duration = Duration::from_secs(10);
/// Time after which a mark is taken back of an upstream whose entry still does not say that it is leaving.
/// If it is, its next response says so again. Most upstreams that are leaving are gone by then; a mark of one
/// that stays was stored by an older build for a later start of it.
const MARK_TIME: Duration = Duration::from_secs(10);
/// Time after which a write that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two checks while there are such upstreams.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// An upstream that is stored.
#[derive(Clone, Copy, Debug)]
struct Stored {
    version: u64,
    born: Option<u64>,
    /// When this relay read the row.
    marked_at: Time,
    /// When it was last listed.
    listed_at: Time,
}

/// A start of an upstream that said that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Heard {
    born: Option<u64>,
    /// Time from which this relay stores it.
    store_at: Time,
}

/// Upstreams that said that they are leaving.
#[derive(Debug, Default)]
pub struct Leaving {
    /// Those that this relay heard of itself.
    heard: Mutex<BTreeMap<String, Heard>>,
    stored: Mutex<BTreeMap<String, Stored>>,
    changed: Notify,
}

impl Shared {
    /// Records that an upstream said that it is leaving.
    pub fn hear_leaving(&self, upstream: &Upstream) {
        if upstream.leaving {
            return;
        }
        let rank = {
            let members = self.present_members();
            let own = hash::stable(&[&self.name, &upstream.id]);
            members.iter().filter(|name| hash::stable(&[name, &upstream.id]) < own).count()
        };
        let delay = STORE_DELAY + RANK_DELAY * u32::try_from(rank.min(MAX_RANK)).unwrap_or(0);
        let heard = Heard { born: upstream.born, store_at: self.clock.now() + delay };
        lock(&self.leaving.heard).insert(upstream.id.clone(), heard);
        self.leaving.changed.notify_one();
    }

    /// Takes over what the store says of an upstream; `row` is `None` if its row was deleted.
    pub fn apply_leaving(&self, id: &str, version: u64, row: Option<row::Leaving>) {
        let now = self.clock.now();
        match row {
            Some(row) => {
                let stored = Stored { version, born: row.born, marked_at: now, listed_at: now };
                lock(&self.leaving.stored).insert(id.to_owned(), stored);
                self.mark_leaving();
            }
            None => {
                let former = lock(&self.leaving.stored).remove(id);
                if let Some(former) = former {
                    self.clear_mark(id, former.born);
                }
            }
        }
        self.leaving.changed.notify_one();
    }

    /// Uses an upstream again whose mark was taken back, unless another start of it is listed by now.
    fn clear_mark(&self, id: &str, born: Option<u64>) {
        let is_changed = {
            let mut selector = self.selector();
            let key = selector.key_of(id);
            let key = key.filter(|key| {
                selector.upstream(*key).is_some_and(|upstream| upstream.born == born)
            });
            key.is_some_and(|key| selector.clear_leaving(key))
        };
        if is_changed {
            event!(LeavingTakenBack, upstream:% = id);
            self.publish_places();
            self.mark_all_dirty();
            self.batch_changed.notify_one();
        }
    }

    /// Forgets the upstreams whose rows are not in a snapshot of the store.
    pub fn retain_leaving(&self, is_listed: impl Fn(&str) -> bool) {
        lock(&self.leaving.stored).retain(|id, _| is_listed(id));
    }

    /// Keeps the upstreams that are stored as leaving out of use. Has to be called after a change of the
    /// list of upstreams, too.
    pub fn mark_leaving(&self) {
        let stored = lock(&self.leaving.stored).clone();
        let is_changed = {
            let mut selector = self.selector();
            let mut mark = |(id, stored): (&String, &Stored)| {
                let key = selector.key_of(id)?;
                let is_same = selector.upstream(key)?.born == stored.born;
                (is_same && selector.record_leaving(key)).then_some(())
            };
            stored.iter().filter_map(&mut mark).count() > 0
        };
        if is_changed {
            self.publish_places();
            self.mark_all_dirty();
        }
    }

    /// Returns the upstreams that are to be stored now, with the versions of their rows, and forgets those
    /// whose entries say that they are leaving or are gone, or that have started again since.
    fn due_leaving(&self) -> Vec<(Upstream, u64)> {
        let now = self.clock.now();
        let stored = lock(&self.leaving.stored);
        let selector = self.selector();
        let mut due = Vec::new();
        lock(&self.leaving.heard).retain(|id, heard| {
            let Some(upstream) = selector.upstream_of(id) else { return false };
            let known = stored.get(id);
            // A row of a later start is not replaced.
            let is_known = known.is_some_and(|known| known.born >= heard.born);
            if upstream.born != heard.born || upstream.leaving || is_known {
                return false;
            }
            if heard.store_at <= now {
                due.push((upstream.clone(), known.map_or(0, |known| known.version)));
            }
            true
        });
        due
    }

    /// Returns the rows that this relay is to delete: those whose upstreams are gone, or stay without saying
    /// so in their entries.
    fn outdated_leaving(&self) -> Vec<(String, u64)> {
        let now = self.clock.now();
        let members = self.present_members();
        let is_first = |id: &str| {
            let own = hash::stable(&[&self.name, id]);
            members.iter().all(|name| hash::stable(&[name, id]) >= own)
        };
        let mut stored = lock(&self.leaving.stored);
        let selector = self.selector();
        let mut outdated = Vec::new();
        for (id, stored) in stored.iter_mut() {
            let upstream = selector.upstream_of(id);
            let start = upstream.filter(|upstream| upstream.born == stored.born);
            if start.is_some() {
                stored.listed_at = now;
            }
            let is_outdated = match start {
                Some(upstream) => !upstream.leaving && now.since(stored.marked_at) >= MARK_TIME,
                None => now.since(stored.listed_at) >= DELETE_DELAY,
            };
            if is_outdated && is_first(id) {
                // The next attempt follows after the same delay.
                (stored.listed_at, stored.marked_at) = (now, now);
                outdated.push((id.clone(), stored.version));
            }
        }
        outdated
    }

    fn has_leaving(&self) -> bool {
        !lock(&self.leaving.heard).is_empty() || !lock(&self.leaving.stored).is_empty()
    }

    /// Stores an upstream, unless its row is of another version than `version`. Returns whether it is
    /// stored.
    async fn store_leaving(&self, upstream: &Upstream, version: u64) -> Result<bool, Error> {
        let key = key::leaving(&upstream.id);
        let value = store::encode(&row::Leaving { born: upstream.born })?;
        let write = Transaction::new().with_condition(key.clone(), version).with_write(key, value);
        let commit = self.table.commit(write).await?;
        Ok(matches!(commit, Commit::Done { .. }))
    }

    async fn delete_leaving(&self, id: &str, version: u64) -> Result<(), Error> {
        let key = key::leaving(id);
        let delete = Transaction::new().with_condition(key.clone(), version).with_delete(key);
        // After a conflict, the feed brings the newer row.
        self.table.commit(delete).await.map(|_| ())
    }
}

/// Stores the upstreams that are leaving, and deletes the rows of those that are gone, until the relay stops.
pub async fn store_changes(shared: Arc<Shared>) {
    while *shared.phase.borrow() == Phase::Running {
        if !shared.has_leaving() {
            shared.leaving.changed.notified().await;
        }
        // A change may be due at once; the check only reads the memory.
        let _ = timeout(CHECK_PERIOD, shared.leaving.changed.notified()).await;
        for (upstream, version) in shared.due_leaving() {
            let is_stored = shared.store_leaving(&upstream, version).await;
            if let Err(error) = &is_stored {
                event!(PlatformUnreachable, service = "table", error:% = error);
            }
            let retry_at = shared.clock.now() + RETRY_DELAY;
            let mut heard = lock(&shared.leaving.heard);
            match is_stored {
                Ok(true) => {
                    heard.remove(&upstream.id);
                }
                // After a conflict, the feed brings what another relay stored.
                Ok(false) | Err(_) => {
                    if let Some(heard) = heard.get_mut(&upstream.id) {
                        heard.store_at = retry_at;
                    }
                }
            }
        }
        for (id, version) in shared.outdated_leaving() {
            if let Err(error) = shared.delete_leaving(&id, version).await {
                event!(PlatformUnreachable, service = "table", error:% = error);
            }
        }
    }
}
