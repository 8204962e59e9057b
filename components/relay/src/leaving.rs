//! Upstreams that said in a response that they are leaving while their entries do not. The store keeps them
//! for relays that start later.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{hash, relay::selector::Upstream, time::Time};
use cyclamengrade_platform::{Error, table::Transaction};
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
/// Time after which a write that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two checks while there are such upstreams.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// An upstream that is stored.
#[derive(Clone, Copy, Debug)]
struct Stored {
    version: u64,
    born: Option<u64>,
    /// When it was last listed.
    listed_at: Time,
}

/// Upstreams that said that they are leaving.
#[derive(Debug, Default)]
pub struct Leaving {
    /// Those that this relay heard of itself, with the time from which it stores them.
    heard: Mutex<BTreeMap<String, Time>>,
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
        lock(&self.leaving.heard).insert(upstream.id.clone(), self.clock.now() + delay);
        self.leaving.changed.notify_one();
    }

    /// Takes over what the store says of an upstream; `row` is `None` if its row was deleted.
    pub fn apply_leaving(&self, id: &str, version: u64, row: Option<row::Leaving>) {
        let listed_at = self.clock.now();
        let mut stored = lock(&self.leaving.stored);
        match row {
            Some(row) => {
                stored.insert(id.to_owned(), Stored { version, born: row.born, listed_at });
            }
            None => {
                stored.remove(id);
            }
        }
        drop(stored);
        self.leaving.changed.notify_one();
        self.mark_leaving();
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

    /// Returns the upstreams that are to be stored now, and forgets those whose entries say that they are
    /// leaving or are gone.
    fn due_leaving(&self) -> Vec<Upstream> {
        let now = self.clock.now();
        let stored = lock(&self.leaving.stored);
        let selector = self.selector();
        let mut due = Vec::new();
        lock(&self.leaving.heard).retain(|id, at| {
            let Some(upstream) = selector.upstream_of(id) else { return false };
            let is_known = stored.get(id).is_some_and(|stored| stored.born == upstream.born);
            if upstream.leaving || is_known {
                return false;
            }
            if *at <= now {
                due.push(upstream.clone());
            }
            true
        });
        due
    }

    /// Returns the rows whose upstreams are gone and that this relay is to delete.
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
            if upstream.is_some_and(|upstream| upstream.born == stored.born) {
                stored.listed_at = now;
            } else if now.since(stored.listed_at) >= DELETE_DELAY && is_first(id) {
                // The next attempt follows after the same delay.
                stored.listed_at = now;
                outdated.push((id.clone(), stored.version));
            }
        }
        outdated
    }

    fn has_leaving(&self) -> bool {
        !lock(&self.leaving.heard).is_empty() || !lock(&self.leaving.stored).is_empty()
    }

    async fn store_leaving(&self, upstream: &Upstream) -> Result<(), Error> {
        let key = key::leaving(&upstream.id);
        let value = store::encode(&row::Leaving { born: upstream.born })?;
        self.table.commit(Transaction::new().with_write(key, value)).await.map(|_| ())
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
        for upstream in shared.due_leaving() {
            match shared.store_leaving(&upstream).await {
                Ok(()) => drop(lock(&shared.leaving.heard).remove(&upstream.id)),
                Err(error) => {
                    event!(PlatformUnreachable, service = "table", error:% = error);
                    let retry_at = shared.clock.now() + RETRY_DELAY;
                    lock(&shared.leaving.heard).insert(upstream.id, retry_at);
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
