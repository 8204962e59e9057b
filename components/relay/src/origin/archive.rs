//! Origins of streams in the store, and since when each deployment has its software versions.
//!
//! Relays that all stop at once lose what they keep for each other. A relay writes the origins of its
//! recent streams to a row of its own, but only while they may be needed, since each call counts.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_control::relay::origin::{Software, Stream};
use cyclamengrade_platform::{
    Error,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::event;
use tokio::{
    sync::{Mutex, Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    job::{key, row, size, store},
    shared::{MONITOR_KEY, MONITORS, Shared, lock},
};

/// Shortest time between two writes of the origins of one relay.
const MIN_WRITE_PERIOD: Duration = Duration::from_millis(10);
/// Writes of origins a second of all relays together: a tenth of what the store takes in large fleets.
const FLEET_WRITES_PER_S: u32 = 400;
/// Limit on the streams in a row; those that may be continued for the longest time are kept.
const MAX_STORED_STREAMS: usize = 1_000;
/// Longest entry of a stream in a row, in bytes.
const STREAM_BYTES: usize = 64;
/// Time after which the origins in the store are read again for a stream that is not among them.
const RELOAD_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of reading the origins, while a caller waits.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a read of the row of the versions, for which callers that continue a stream wait.
const VERSIONS_TIMEOUT: Duration = Duration::from_millis(300);
/// Rows of origins that are read at once.
const PAGE_ROWS: usize = 500;
/// Time between two comparisons of the versions in the store with the listed upstreams, and between two
/// tries to write after an error.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Longest time for which the first event of a stream waits until its origin is written. Most writes
/// take a fraction of it; while the store is slow, callers do not wait for it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// State of the reads and writes of origins.
#[derive(Default)]
pub struct Archive {
    /// Wakes the task that writes the origins.
    changed: Notify,
    /// Number of changes so far.
    changes: AtomicU64,
    /// Number of changes that are written.
    written: watch::Sender<u64>,
    /// Time of the last read of all origins; `None` before the first one.
    loaded_at: Mutex<Option<Instant>>,
}

impl Archive {
    /// Has the origins written soon. Returns the number of the change.
    pub fn mark_changed(&self) -> u64 {
        let change = self.changes.fetch_add(1, Ordering::Relaxed) + 1;
        self.changed.notify_one();
        change
    }

    /// Waits until a change is written, or until that takes too long.
    pub async fn await_written(&self, change: u64) {
        let mut written = self.written.subscribe();
        // After the timeout, the stream goes on without a record in the store.
        let _ = timeout(WRITE_TIMEOUT, written.wait_for(|written| *written >= change)).await;
    }
}

impl Shared {
    /// Reads the origins that all relays have written, unless that was done just now.
    pub async fn load_origins(&self) {
        let mut loaded_at = self.origins.archive.loaded_at.lock().await;
        if loaded_at.is_some_and(|time| time.elapsed() < RELOAD_PERIOD) {
            return;
        }
        let load = async {
            for prefix in key::all_origins() {
                self.load_part(prefix).await?;
            }
            Ok::<(), Error>(())
        };
        match timeout(LOAD_TIMEOUT, load).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => event!(PlatformUnreachable, service = "table", error:% = error),
            Err(error) => event!(PlatformUnreachable, service = "table", error:% = error),
        }
        *loaded_at = Some(Instant::now());
    }

    async fn load_part(&self, prefix: String) -> Result<(), Error> {
        let mut after = String::new();
        loop {
            let rows = self.table.scan(prefix.clone(), after, PAGE_ROWS).await?;
            let is_last = rows.len() < PAGE_ROWS;
            after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
            for row in rows {
                if let Some(origins) = store::decode_or_log(&row) {
                    self.keep_stored(&origins);
                }
            }
            if is_last {
                return Ok(());
            }
        }
    }

    fn keep_stored(&self, row: &row::Origins) {
        let (Some(now_ms), now) = (self.clock.store_ms(), self.clock.now()) else { return };
        let mut kept = lock(&self.origins.kept);
        for (stream, software, expires_ms) in &row.streams {
            let left = Duration::from_millis(expires_ms.saturating_sub(now_ms));
            if !left.is_zero() {
                kept.record(now, Stream(*stream), Software(*software), left);
            }
        }
    }

    /// Reads since when the deployments have their versions. Returns whether the store answered.
    pub async fn reload_versions(&self) -> bool {
        let read = timeout(VERSIONS_TIMEOUT, self.table.read(vec![key::versions()])).await;
        let rows = match read.map_err(|_| Error::Unreachable("no answer in time".into())).flatten()
        {
            Ok(rows) => rows,
            Err(error) => {
                event!(PlatformUnreachable, service = "table", error:% = error);
                return false;
            }
        };
        let row = rows.into_iter().flatten().next();
        if let Some(versions) = row.as_ref().and_then(store::decode_or_log) {
            self.origins.set_versions(versions, self.clock.store_ms());
        }
        true
    }

    /// Takes over the origins that an earlier start of this relay wrote, before they are replaced.
    async fn recover_own_origins(&self) -> Result<(), Error> {
        let rows = self.table.read(vec![key::origins(&self.name)]).await?;
        let row = rows.into_iter().flatten().next();
        let Some(row) = row.as_ref().and_then(store::decode_or_log::<row::Origins>) else {
            return Ok(());
        };
        let (Some(now_ms), now) = (self.clock.store_ms(), self.clock.now()) else { return Ok(()) };
        let mut own = lock(&self.origins.own);
        for (stream, software, expires_ms) in row.streams {
            let left = Duration::from_millis(expires_ms.saturating_sub(now_ms));
            own.record(now, Stream(stream), Software(software), left);
        }
        Ok(())
    }

    async fn write_origins(&self) -> Result<(), Error> {
        let (Some(now_ms), now) = (self.clock.store_ms(), self.clock.now()) else { return Ok(()) };
        let mut streams: Vec<(u64, u32, u64)> = lock(&self.origins.own)
            .alive(now)
            .map(|(stream, software, left)| {
                (stream.0, software.0, now_ms + left.as_millis() as u64)
            })
            .collect();
        streams.sort_unstable_by_key(|(_, _, expires_ms)| std::cmp::Reverse(*expires_ms));
        streams.truncate(MAX_STORED_STREAMS.min(size::max_row_bytes(self) / STREAM_BYTES));
        let value = store::encode(&row::Origins { streams })?;
        let write = Transaction::new().with_write(key::origins(&self.name), value);
        self.table.commit(write).await.map(|_| ())
    }

    /// Returns the row of the versions if it differs from the listed upstreams.
    fn changed_versions(&self) -> Option<row::Versions> {
        let now_ms = self.clock.store_ms()?;
        let known = lock(&self.origins.versions).clone();
        let mut versions = known.clone();
        let selector = self.selector();
        for deployment in selector.deployments() {
            let software: BTreeSet<u32> =
                selector.deployment_software(deployment).iter().map(|version| version.0).collect();
            let entry = versions.deployments.get(deployment);
            if entry.is_some_and(|entry| entry.software == software) {
                continue;
            }
            // Before the first entry, no relay has seen another version.
            let since_ms = entry.map_or(0, |_| now_ms);
            versions
                .deployments
                .insert(deployment.to_owned(), row::VersionSet { software, since_ms });
        }
        (versions != known).then_some(versions)
    }

    async fn write_versions(&self) -> Result<(), Error> {
        let key = key::versions();
        let stored = self.table.read(vec![key.clone()]).await?.into_iter().next().flatten();
        if let Some(known) = stored.as_ref().and_then(store::decode_or_log) {
            self.origins.set_versions(known, self.clock.store_ms());
        }
        let Some(versions) = self.changed_versions() else { return Ok(()) };
        let version = stored.map_or(0, |row| row.version);
        let write = Transaction::new()
            .with_condition(key.clone(), version)
            .with_write(key, store::encode(&versions)?);
        // After a conflict, the feed brings what another relay wrote.
        if let Commit::Done { .. } = self.table.commit(write).await? {
            event!(VersionsChanged, versions:% = format_versions(&versions));
            self.origins.set_versions(versions, self.clock.store_ms());
        }
        Ok(())
    }
}

fn format_versions(versions: &row::Versions) -> String {
    let sets = versions.deployments.iter().map(|(name, set)| {
        let software: Vec<String> =
            set.software.iter().map(|version| format!("{version:08x}")).collect();
        format!("{name}={}", software.join("+"))
    });
    sets.collect::<Vec<_>>().join(",")
}

/// Writes the origins of this relay's recent streams after changes, until the process ends.
pub async fn write_changes(shared: Arc<Shared>) {
    let mut is_recovered = false;
    loop {
        let archive = &shared.origins.archive;
        archive.changed.notified().await;
        let change = archive.changes.load(Ordering::Relaxed);
        let written = async {
            if !is_recovered {
                shared.recover_own_origins().await?;
            }
            shared.write_origins().await
        };
        match written.await {
            Ok(()) => {
                is_recovered = true;
                archive.written.send_replace(change);
                let relays = shared.relay_count() as u32;
                let share = Duration::from_secs(1) * relays / FLEET_WRITES_PER_S;
                sleep(share.max(MIN_WRITE_PERIOD)).await;
            }
            Err(error) => {
                event!(PlatformUnreachable, service = "table", error:% = error);
                archive.changed.notify_one();
                sleep(CHECK_PERIOD).await;
            }
        }
    }
}

/// Keeps the row of the versions up to date while this relay is a monitor, until the process ends.
pub async fn watch_versions(shared: Arc<Shared>) {
    loop {
        let _ = timeout(CHECK_PERIOD, shared.origins.upstreams_changed.notified()).await;
        if !shared.readiness.borrow().is_ready() || shared.changed_versions().is_none() {
            continue;
        }
        let monitors = shared.servers(MONITOR_KEY, MONITORS, shared.clock.now());
        if !monitors.iter().any(|(name, _)| *name == shared.name) {
            continue;
        }
        if let Err(error) = shared.write_versions().await {
            event!(PlatformUnreachable, service = "table", error:% = error);
            sleep(CHECK_PERIOD).await;
        }
    }
}
