//! What this relay believes of the configuration, the upstreams, the relays and the jobs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyclamengrade_control::{relay::fleet::Upstream, time::Time};
use cyclamengrade_platform::feed::{Change, Changes, Content};
use cyclamengrade_telemetry::event;
use kameo::{
    Actor,
    message::{Context, Message},
};
use serde::de::DeserializeOwned;

use crate::{
    job::{
        key::{self, Subject},
        row,
    },
    shared::{Listed, Member, Shared},
};

/// Time without an answer of the store after which entries may have lapsed for want of renewal.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Changes of a table.
pub struct Update {
    /// The table.
    pub table: String,
    /// The changes.
    pub changes: Changes,
    /// Whether the changes are all rows of the table.
    pub is_snapshot: bool,
}

/// Removes upstreams whose entries lapsed during an outage and did not return.
pub struct Sweep;

/// An upstream as the store lists it.
struct Entry {
    version: u64,
    upstream: Upstream,
    /// When it counts as gone although the store was away when its entry lapsed.
    gone_at: Option<Time>,
}

/// Believes what the store says, and keeps to it while the store is away.
#[derive(Actor)]
pub struct Directory {
    shared: Arc<Shared>,
    /// Time after the store is back in which lapsed entries may return.
    return_time: Duration,
    upstreams: BTreeMap<String, Entry>,
    /// Newest version seen of each table, so that a read that lags behind changes nothing.
    version: BTreeMap<String, u64>,
    /// When the store came back from its last outage.
    back_at: Option<Time>,
    last_heard: Time,
}

impl Directory {
    /// A directory that knows nothing.
    pub fn new(shared: Arc<Shared>, return_time: Duration) -> Self {
        let last_heard = shared.clock.now();
        Self {
            shared,
            return_time,
            upstreams: BTreeMap::new(),
            version: BTreeMap::new(),
            back_at: None,
            last_heard,
        }
    }

    fn update(&mut self, update: Update) {
        let known = self.version.entry(update.table.clone()).or_default();
        if update.is_snapshot && update.changes.version < *known {
            // A read that lags behind what was already seen.
            return;
        }
        *known = update.changes.version.max(*known);
        let now = self.shared.clock.now();
        let sources = self.shared.dialect.sources().clone();
        if update.table == sources.configuration_table {
            self.configuration(&sources.configuration_key, update.changes);
        } else if update.table == sources.upstream_table {
            self.upstreams(now, update);
        } else {
            self.fleet(now, update);
        }
    }

    fn configuration(&self, key: &str, changes: Changes) {
        for change in changes.rows.into_iter().filter(|change| change.key == key) {
            let Content::Value(value) = &change.content else {
                damaged(&change);
                continue;
            };
            match self.shared.dialect.configuration(value) {
                Err(error) => {
                    event!(RowUnusable, key:% = key, version = change.version, error:% = error);
                }
                Ok(table) if table.version <= self.shared.routes.load().version => {}
                Ok(table) => {
                    event!(ConfigurationInForce, revision = table.version, digest = change.version);
                    self.shared.routes.store(Arc::new(table));
                    self.shared.batch_changed.notify_one();
                }
            }
        }
        let is_known = !self.shared.routes.load().is_empty();
        self.shared.known.send_if_modified(|known| {
            std::mem::replace(&mut known.configuration, is_known) != is_known
        });
    }

    fn upstreams(&mut self, now: Time, update: Update) {
        let Update { changes, is_snapshot, table } = update;
        let lapse = self.lapse(now);
        if is_snapshot {
            let listed: Vec<&str> =
                changes.rows.iter().filter_map(|change| id(&table, &change.key)).collect();
            let missing: Vec<String> = self
                .upstreams
                .keys()
                .filter(|id| !listed.contains(&id.as_str()))
                .cloned()
                .collect();
            for id in missing {
                self.remove(&id, lapse);
            }
        }
        for change in &changes.rows {
            let Some(id) = id(&table, &change.key) else { continue };
            self.change_upstream(id, change, lapse);
        }
        self.publish();
        self.shared.known.send_if_modified(|known| !std::mem::replace(&mut known.upstreams, true));
    }

    fn change_upstream(&mut self, id: &str, change: &Change, lapse: Option<Time>) {
        let known = self.upstreams.get(id).map_or(0, |entry| entry.version);
        if change.version < known {
            return;
        }
        let value = match &change.content {
            Content::Deleted => return self.remove(id, lapse),
            Content::Value(value) => value,
            Content::Damaged(_) => {
                damaged(change);
                return self.remove(id, None);
            }
        };
        match self.shared.dialect.upstream(id, value) {
            Err(error) => {
                event!(RowUnusable, key:% = change.key, version = change.version, error:% = error);
                self.remove(id, None);
            }
            Ok(upstream) => {
                let before = self.upstreams.get(id).map(|entry| &entry.upstream);
                match before {
                    None => event!(
                        UpstreamAdded,
                        upstream:% = id,
                        deployment:% = upstream.deployment
                    ),
                    Some(before) if upstream.leaving && !before.leaving => event!(
                        UpstreamLeaving,
                        upstream:% = id,
                        deployment:% = upstream.deployment
                    ),
                    Some(_) => {}
                }
                let entry = Entry { version: change.version, upstream, gone_at: None };
                self.upstreams.insert(id.to_owned(), entry);
            }
        }
    }

    /// When an entry that is missing now counts as gone; `None` for at once.
    fn lapse(&mut self, now: Time) -> Option<Time> {
        if now.since(self.last_heard) > OUTAGE {
            self.back_at = Some(now);
        }
        self.last_heard = now;
        let until = self.back_at? + self.return_time;
        (now < until).then_some(until)
    }

    fn remove(&mut self, id: &str, lapse: Option<Time>) {
        match (lapse, self.upstreams.get_mut(id)) {
            (_, None) => {}
            (Some(until), Some(entry)) if !entry.upstream.leaving => {
                if entry.gone_at.is_none() {
                    event!(UpstreamLapsed, upstream:% = id);
                    entry.gone_at = Some(until);
                }
            }
            (_, Some(entry)) => {
                event!(
                    UpstreamRemoved,
                    upstream:% = id,
                    deployment:% = entry.upstream.deployment
                );
                self.upstreams.remove(id);
            }
        }
    }

    fn publish(&self) {
        let listed =
            self.upstreams.iter().map(|(id, entry)| (id.clone(), entry.upstream.clone())).collect();
        let gone = self.shared.fleet().list(&listed);
        self.shared.pool.forget(&gone);
        self.shared.batch_changed.notify_one();
    }

    fn sweep(&mut self) {
        let now = self.shared.clock.now();
        if self.shared.store_age() < OUTAGE {
            self.last_heard = now;
        }
        let overdue: Vec<String> = self
            .upstreams
            .iter()
            .filter(|(_, entry)| entry.gone_at.is_some_and(|gone_at| gone_at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &overdue {
            self.remove(id, None);
        }
        if !overdue.is_empty() {
            self.publish();
        }
    }

    fn fleet(&self, now: Time, update: Update) {
        let Update { changes, is_snapshot, .. } = update;
        if is_snapshot {
            let listed: Vec<&str> = changes.rows.iter().map(|change| change.key.as_str()).collect();
            self.shared.members().retain(|name, _| listed.contains(&key::member(name).as_str()));
        }
        for change in &changes.rows {
            match key::subject(&change.key) {
                Some(Subject::Member(name)) if name == self.shared.name => {
                    // A deleted or damaged row counts as one of another start.
                    let row = decode::<row::Member>(change);
                    self.shared.set_own_listing(Some(row.map_or(0, |row| row.incarnation)));
                }
                Some(Subject::Member(name)) => self.member(now, name, change),
                Some(Subject::Job(id)) => self.job(id, change),
                None => {}
            }
        }
        self.shared.known.send_if_modified(|known| !std::mem::replace(&mut known.fleet, true));
    }

    fn member(&self, now: Time, name: &str, change: &Change) {
        let mut members = self.shared.members();
        match decode::<row::Member>(change) {
            Some(row) => {
                let known = members.get(name).map(|member| member.incarnation);
                if known != Some(row.incarnation) {
                    event!(MemberJoined, member:% = name, incarnation = row.incarnation);
                    let member = Member {
                        address: row.address,
                        incarnation: row.incarnation,
                        heard: now,
                        store_age: Duration::ZERO,
                        leaving: false,
                        sequence: 0,
                    };
                    members.insert(name.to_owned(), member);
                }
            }
            None => {
                if members.remove(name).is_some() {
                    event!(MemberGone, member:% = name);
                }
                self.shared.fleet().forget(name);
            }
        }
    }

    fn job(&self, id: &str, change: &Change) {
        let mut jobs = self.shared.jobs();
        if jobs.get(id).is_some_and(|known| known.version > change.version) {
            return;
        }
        match decode::<row::Job>(change) {
            Some(row) => {
                if row.state == row::State::Ended {
                    event!(JobEnded, job:% = id);
                }
                jobs.insert(id.to_owned(), Listed { version: change.version, row });
            }
            None => {
                jobs.remove(id);
            }
        }
        self.shared.batch_changed.notify_one();
    }
}

impl Message<Update> for Directory {
    type Reply = ();

    async fn handle(&mut self, update: Update, _: &mut Context<Self, ()>) {
        self.update(update);
    }
}

impl Message<Sweep> for Directory {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, ()>) {
        self.sweep();
    }
}

/// The id in a key of the table.
fn id<'a>(table: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(table)?.strip_prefix("//")
}

fn damaged(change: &Change) {
    if let Content::Damaged(error) = &change.content {
        event!(RowUnusable, key:% = change.key, version = change.version, error:% = error);
    }
}

fn decode<T: DeserializeOwned>(change: &Change) -> Option<T> {
    let error = match &change.content {
        Content::Deleted => return None,
        Content::Value(value) => match T::deserialize(value) {
            Ok(value) => return Some(value),
            Err(error) => error.to_string(),
        },
        Content::Damaged(error) => error.clone(),
    };
    event!(RowUnusable, key:% = change.key, version = change.version, error:% = error);
    None
}
