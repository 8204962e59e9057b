//! Which software version began a stream, also of streams that other relays began.
//!
//! While several versions serve, the relay that forwards the first event of a stream tells a few
//! others, chosen by the id of the stream; when a further version appears, it tells them of its recent
//! streams. A relay that gets a request to continue the stream asks them, and then the store, where
//! [`archive`] keeps the origins in case all relays that know them stop at once.

pub mod archive;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cyclamengrade_control::relay::{
    origin::{Origins, Software, Stream},
    route::Route,
    selector::Upstream,
};
use cyclamengrade_peer::slots::{Content, Origin};
use tokio::{
    sync::{
        Notify,
        mpsc::{self, UnboundedReceiver, UnboundedSender},
    },
    time::{Instant, timeout_at},
};

use self::archive::Archive;
use crate::{
    job::row,
    shared::{Shared, lock},
};

/// Number of other relays that keep the origin of a stream.
const KEEPERS: usize = 3;
/// Number of relays that are asked for an origin. It exceeds [`KEEPERS`], since relays may have
/// joined or stopped in between.
const ASKED: usize = 5;
/// Time within which the asked relays answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of times that relays are asked, because datagrams are lost.
const MAX_QUERIES: u32 = 3;

/// How the origin of a stream became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This relay keeps it.
    Own,
    /// Another relay keeps it.
    Peer,
    /// The store keeps it.
    Store,
    /// Only one version has served for longer than a stream lasts.
    SoleVersion,
}

impl Source {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// Answer of another relay.
struct Answer {
    from: SocketAddr,
    /// `None` if the relay does not know the stream.
    software: Option<Software>,
}

/// Origins that this relay keeps, and its queries for those of others.
#[derive(Default)]
pub struct Cache {
    /// Origins of the streams that this relay began or continued.
    own: Mutex<Origins>,
    /// Origins that other relays asked it to keep.
    kept: Mutex<Origins>,
    queries: Mutex<BTreeMap<Stream, Vec<UnboundedSender<Answer>>>>,
    /// Versions of the deployments as the store has them.
    versions: Mutex<row::Versions>,
    /// Wakes the task that compares the versions in the store with the listed upstreams.
    pub upstreams_changed: Notify,
    archive: Archive,
}

impl Cache {
    fn queries(&self) -> MutexGuard<'_, BTreeMap<Stream, Vec<UnboundedSender<Answer>>>> {
        lock(&self.queries)
    }

    /// Sets the versions of the deployments that the store has. A time after `now_ms`, on the store's clock,
    /// is not one at which a relay wrote them, and counts as this one.
    pub fn set_versions(&self, mut versions: row::Versions, now_ms: Option<u64>) {
        if let Some(now_ms) = now_ms {
            for set in versions.deployments.values_mut() {
                set.since_ms = set.since_ms.min(now_ms);
            }
        }
        *lock(&self.versions) = versions;
    }

    fn open_query(&self, stream: Stream) -> UnboundedReceiver<Answer> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.queries().entry(stream).or_default().push(sender);
        receiver
    }

    /// Forgets the queries for a stream whose receivers were dropped.
    fn close_queries(&self, stream: Stream) {
        let mut queries = self.queries();
        if let Some(senders) = queries.get_mut(&stream) {
            senders.retain(|sender| !sender.is_closed());
            if senders.is_empty() {
                queries.remove(&stream);
            }
        }
    }
}

/// A query for the origin of a stream, which is withdrawn on drop.
struct Query<'a> {
    shared: &'a Shared,
    stream: Stream,
    answers: UnboundedReceiver<Answer>,
}

impl<'a> Query<'a> {
    fn new(shared: &'a Shared, stream: Stream) -> Self {
        Self { shared, stream, answers: shared.origins.open_query(stream) }
    }

    /// Asks other relays, and asks those again that do not answer in time. Returns the first origin
    /// that one of them knows.
    async fn run(mut self, mut relays: BTreeSet<SocketAddr>) -> Option<Software> {
        for _ in 0..MAX_QUERIES {
            for relay in &relays {
                self.shared.send(*relay, Content::Lookup(self.stream));
            }
            let until = Instant::now() + ANSWER_TIMEOUT;
            while !relays.is_empty()
                && let Ok(Some(answer)) = timeout_at(until, self.answers.recv()).await
            {
                if answer.software.is_some() {
                    return answer.software;
                }
                relays.remove(&answer.from);
            }
        }
        None
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.answers.close();
        self.shared.origins.close_queries(self.stream);
    }
}

impl Shared {
    /// Records the software that began a stream of a deployment. Tells other relays and the store unless
    /// its upstreams have had one version for longer than `lifetime`, in which a caller may continue the
    /// stream, and waits for the store, but not for long.
    pub async fn record_origin(&self, stream: Stream, upstream: &Upstream, lifetime: Duration) {
        let software = upstream.software();
        lock(&self.origins.own).record(self.clock.now(), stream, software, lifetime);
        if self.settled_software(&upstream.deployment, lifetime).is_none() {
            self.send_origin(Origin { stream, software, lifetime });
            let change = self.origins.archive.mark_changed();
            self.origins.archive.await_written(change).await;
        }
    }

    /// Tells other relays and the store the origins of this relay's recent streams, after a version has
    /// appeared.
    pub fn publish_origins(&self) {
        self.origins.archive.mark_changed();
        let now = self.clock.now();
        let alive: Vec<_> = lock(&self.origins.own).alive(now).collect();
        for (stream, software, lifetime) in alive {
            self.send_origin(Origin { stream, software, lifetime });
        }
    }

    fn send_origin(&self, origin: Origin) {
        for keeper in self.keepers(origin.stream) {
            self.send(keeper, Content::Origin(origin));
        }
    }

    /// Returns the relays that are to keep the origin of a stream. Those that are silent, or have not
    /// been heard from yet, are used only if there are too few others.
    fn keepers(&self, stream: Stream) -> Vec<SocketAddr> {
        let (now, seen) = (self.clock.now(), self.last_news());
        let members = self.members();
        let (responsive, others): (Vec<&str>, Vec<&str>) = members
            .keys()
            .map(String::as_str)
            .partition(|name| members[*name].health.is_responsive(now, seen));
        let mut names = stream.keepers(responsive, KEEPERS);
        names.extend(stream.keepers(others, KEEPERS - names.len()));
        names.into_iter().map(|name| members[name].address).collect()
    }

    /// Keeps the origin of a stream for the other relays.
    pub fn keep_origin(&self, origin: Origin) {
        let Origin { stream, software, lifetime } = origin;
        lock(&self.origins.kept).record(self.clock.now(), stream, software, lifetime);
    }

    /// Returns the origin of a stream that this relay knows.
    pub fn known_origin(&self, stream: Stream) -> Option<Software> {
        let now = self.clock.now();
        let own = lock(&self.origins.own).find(now, stream);
        own.or_else(|| lock(&self.origins.kept).find(now, stream))
    }

    /// Handles the answer of another relay to a query.
    pub fn handle_found(&self, from: SocketAddr, stream: Stream, software: Option<Software>) {
        let queries = self.origins.queries();
        for sender in queries.get(&stream).into_iter().flatten() {
            // Fails only if the query has ended.
            let _ = sender.send(Answer { from, software });
        }
    }

    /// Returns the software that began a stream of a route, if it is known. `stream` is `None` if the
    /// caller does not say which stream it continues. A stream lasts for `lifetime` at most.
    pub async fn find_origin(
        &self,
        stream: Option<Stream>,
        route: &Route,
        lifetime: Duration,
    ) -> Option<(Software, Source)> {
        let sole = self.sole_software(route, lifetime);
        let known = match stream {
            Some(stream) => self.recorded_origin(stream, sole.is_some()).await,
            None => None,
        };
        if known.is_some() {
            return known;
        }
        let software = sole?;
        let (has_versions, is_current) =
            tokio::join!(self.reload_versions(), self.is_listing_current());
        let is_sole = has_versions && is_current;
        (is_sole && self.sole_software(route, lifetime) == Some(software))
            .then_some((software, Source::SoleVersion))
    }

    /// Returns the software that began a stream, if this relay, another one or the store keeps it. With
    /// one version, which `is_sole` states, the store need not be asked.
    async fn recorded_origin(&self, stream: Stream, is_sole: bool) -> Option<(Software, Source)> {
        if let Some(software) = self.known_origin(stream) {
            return Some((software, Source::Own));
        }
        let relays: BTreeSet<SocketAddr> = {
            let present = self.present_members();
            let members = self.members();
            let names = stream.keepers(present.iter().map(String::as_str), ASKED);
            names
                .iter()
                .filter_map(|name| members.get(*name))
                .map(|member| member.address)
                .collect()
        };
        if let Some(software) = Query::new(self, stream).run(relays).await {
            return Some((software, Source::Peer));
        }
        if is_sole {
            return None;
        }
        self.load_origins().await;
        self.known_origin(stream).map(|software| (software, Source::Store))
    }

    /// Returns the deployment for a request on a route: one that has the given software and accepts
    /// work, or a random one if no software is given.
    pub fn deployment<'a>(&self, route: &'a Route, software: Option<Software>) -> Option<&'a str> {
        if software.is_none() {
            return route.deployment(rand::random());
        }
        let selector = self.selector();
        route.deployments().find(|deployment| selector.accepts(deployment, software))
    }

    /// Returns the software of all upstreams that may serve a route, if all have had the same for
    /// `lifetime`, as far as this relay knows.
    fn sole_software(&self, route: &Route, lifetime: Duration) -> Option<Software> {
        let mut versions = route.deployments().map(|name| self.settled_software(name, lifetime));
        let first = versions.next()??;
        versions.all(|other| other == Some(first)).then_some(first)
    }

    /// Returns the software of all upstreams of a deployment, if it has been the only one for `lifetime`.
    fn settled_software(&self, deployment: &str, lifetime: Duration) -> Option<Software> {
        let software = self.selector().sole_software(deployment)?;
        let now_ms = self.clock.store_ms()?;
        let versions = lock(&self.origins.versions);
        let Some(known) = versions.deployments.get(deployment) else {
            // No relay has seen another version, unless this one has not read the row yet.
            return self.readiness.borrow().fleet.then_some(software);
        };
        let is_same = known.software.len() == 1 && known.software.contains(&software.0);
        let settled_ms = known.since_ms.saturating_add(lifetime.as_millis() as u64);
        (is_same && settled_ms <= now_ms).then_some(software)
    }
}
