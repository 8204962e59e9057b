//! Asks all relays through the store whether they are alive when this relay hears nothing from most of
//! them, answers such calls, and deletes the rows of relays that are gone.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cyclamengrade_control::{
    hash,
    relay::{
        monitor::Presence,
        owner::Peer,
        roll_call::{self, Action, NEWS_TIMEOUT, RollCall, View},
    },
    time::Time,
};
use cyclamengrade_platform::{Error, table::Transaction};
use cyclamengrade_telemetry::event;
use tokio::time::{Instant, interval};

use crate::{
    job::{key, row, store},
    shared::{Phase, Shared, lock},
};

/// Time between two checks whether a roll call is needed.
const TICK_PERIOD: Duration = Duration::from_millis(250);
/// Age of the last answer of the change feed from which answers may be missing.
const MAX_FEED_AGE: Duration = Duration::from_millis(1_500);
/// Time after an outage of the store in which the other relays reconnect to it.
const RECONNECT_TIME: Duration = Duration::from_secs(3);
/// Silence after which the row of a relay is deleted. A relay that returns writes its row again.
const ROW_KEEP_TIME: Duration = Duration::from_secs(60);
/// Time between two checks for such rows.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// Roll calls as this relay sees them.
#[derive(Debug, Default)]
pub struct State {
    calls: Mutex<RollCall>,
    /// Version of the row of the newest call that the feed has delivered.
    newest: AtomicU64,
}

impl Shared {
    /// Records the row of a roll call. A call in a snapshot of the store may be old; it is answered, but
    /// says nothing about the others.
    pub fn record_roll_call(&self, version: u64, is_snapshot: bool) {
        self.roll_calls.newest.fetch_max(version, Ordering::Relaxed);
        if !is_snapshot {
            lock(&self.roll_calls.calls).record_call(version);
        }
    }

    /// Returns the time after which this relay answers a roll call, or `None` if its row, of this version,
    /// is newer than the last call.
    pub fn pending_answer(&self, own_row: u64) -> Option<Duration> {
        let is_pending = self.roll_calls.newest.load(Ordering::Relaxed) > own_row;
        let share = (hash::stable(&[&self.name]) % 1_000) as f64 / 1_000.0;
        is_pending.then(|| roll_call::answer_delay(self.relay_count(), share))
    }

    /// Advances the roll calls. Returns whether the row of a call is to be written.
    fn tick_roll_call(&self) -> bool {
        let now = self.clock.now();
        let is_ignored = self.observe(now);
        let is_alone = self.members().is_empty();
        let has_old_news = now.since(self.last_news()) > NEWS_TIMEOUT;
        let view = View {
            is_doubtful: !is_alone && (is_ignored || has_old_news),
            is_store_current: self.fleet_age() <= MAX_FEED_AGE
                && self.store_connection_time(now) >= RECONNECT_TIME,
            relays: self.relay_count(),
        };
        let action = lock(&self.roll_calls.calls).tick(now, view);
        match action {
            None => false,
            Some(Action::Call) => true,
            Some(Action::Close(version)) => {
                self.close_roll_call(version, now);
                false
            }
        }
    }

    fn close_roll_call(&self, call: u64, now: Time) {
        let (mut unreachable, mut missing) = (0, 0);
        for (name, member) in self.members().iter_mut() {
            match member.health.close_call(call, now) {
                Presence::Heard => {}
                Presence::Unreachable => unreachable += 1,
                Presence::Missing => {
                    missing += 1;
                    event!(MemberMissing, member:% = name);
                }
            }
        }
        event!(RollCallClosed, unreachable = unreachable, missing = missing);
        self.record_news(now);
    }

    async fn write_roll_call(&self) -> Result<(), Error> {
        let value = store::encode(&row::RollCall { by: self.name.clone() })?;
        let write = Transaction::new().with_write(key::roll_call(), value);
        self.table.commit(write).await?;
        self.record_store_contact();
        Ok(())
    }

    /// Returns the names of the relays that have been gone for long and whose rows this relay is to
    /// delete, and the versions of the rows.
    fn outdated_members(&self) -> Vec<(String, u64)> {
        let (now, seen) = (self.clock.now(), self.last_news());
        if now.since(seen) > NEWS_TIMEOUT {
            return Vec::new();
        }
        let peers = self.peers();
        let members = self.members();
        let gone = members.iter().filter(|(_, member)| {
            member.health.is_absent(now, seen) && member.health.silence(seen) > ROW_KEEP_TIME
        });
        let own = gone.filter(|(name, _)| {
            let alive = peers.iter().filter(|(_, peer)| Peer::is_alive(peer));
            let names = alive.map(|(name, _)| name.as_str()).chain([self.name.as_str()]);
            hash::owner(names, name) == Some(&self.name)
        });
        own.map(|(name, member)| (name.clone(), member.health.newest_row())).collect()
    }

    async fn delete_member(&self, name: &str, version: u64) -> Result<(), Error> {
        let key = key::member(name);
        let delete = Transaction::new().with_condition(key.clone(), version).with_delete(key);
        // After a conflict, the feed brings the newer row.
        self.table.commit(delete).await?;
        self.record_store_contact();
        Ok(())
    }
}

/// Calls the roll when this relay is in doubt, and deletes the rows of relays that are gone, until the
/// relay stops.
pub async fn run(shared: Arc<Shared>) {
    let mut period = interval(TICK_PERIOD);
    let mut cleaned_at = Instant::now();
    while *shared.phase.borrow() == Phase::Running {
        period.tick().await;
        if shared.tick_roll_call() {
            event!(RollCalled, members = shared.members().len());
            if let Err(error) = shared.write_roll_call().await {
                event!(PlatformUnreachable, service = "table", error:% = error);
            }
        }
        if cleaned_at.elapsed() < CLEANUP_PERIOD {
            continue;
        }
        cleaned_at = Instant::now();
        for (name, version) in shared.outdated_members() {
            if let Err(error) = shared.delete_member(&name, version).await {
                event!(PlatformUnreachable, service = "table", error:% = error);
            }
        }
    }
}
