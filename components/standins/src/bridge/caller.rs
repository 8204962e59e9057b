//! Callers that use relays in parallel and record what contradicts the relays' promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::{JoinError, JoinHandle},
    time::sleep,
};

use crate::{
    bridge::{HOST, Job, Runner},
    client::{Call, Client},
};

const DEADLINE_MS: u64 = 5_000;
/// Longer than the deadline, by which a relay has to respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// Events of each batch item.
pub const ITEM_EVENTS: u64 = 30;
/// Requests for one stream, including those that continue it.
const STREAM_REQUESTS: u32 = 5;

/// A promise of the relays that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// The events of a stream are in order, without gaps and repetitions.
    Order,
    /// One software version writes a stream, or the text of an item.
    Version,
    /// A stream that ends as complete has all of its events.
    End,
    /// The same for a stream that may not be sent again.
    OnceEnd,
    /// A whole answer is that of the request.
    Answer,
    /// A request that was refused with 503 has not run.
    Refusal,
    /// A request that may not be sent again runs at most once, and has run if it was answered.
    Once,
    /// Every item of an accepted job is listed once, with all of its text.
    Item,
}

/// Evidence that a promise was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    pub promise: Promise,
    /// Id of the request or the item.
    pub id: String,
    pub text: String,
}

impl Contradiction {
    pub fn new(promise: Promise, id: &str, text: String) -> Self {
        Self { promise, id: id.to_owned(), text }
    }
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Record {
    pub refused: BTreeSet<String>,
    /// Requests that may run at most once, and whether they were answered.
    once: BTreeMap<String, bool>,
    contradictions: Vec<Contradiction>,
    /// Streams that were read to their end.
    pub streams: u64,
    /// Requests that continued a stream at another relay.
    pub continued: u64,
    /// Accepted jobs.
    pub jobs: Vec<Job>,
}

impl Record {
    /// Returns the promises that were broken, according to the callers and what ran at the upstreams.
    pub fn contradictions<'a>(
        &self,
        runners: impl Iterator<Item = &'a Runner> + Clone,
    ) -> Vec<Contradiction> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in runners.clone().flat_map(Runner::runs) {
            *runs.entry(run.id).or_default() += 1;
        }
        let count = |id: &String| runs.get(id).copied().unwrap_or_default();
        let refused = self.refused.iter().filter(|id| count(id) > 0).map(|id| {
            Contradiction::new(Promise::Refusal, id, "was refused as not run, and ran".to_owned())
        });
        let once = self.once.iter().filter_map(|(id, is_answered)| {
            let count = count(id);
            let text = format!("ran {count} times, answered: {is_answered}");
            (count > 1 || (*is_answered && count == 0))
                .then(|| Contradiction::new(Promise::Once, id, text))
        });
        // An upstream that lives and closes a stream which may not be sent again ends it.
        let closed: BTreeSet<String> = runners.flat_map(Runner::early_closes).collect();
        let seen = self.contradictions.iter().filter(|contradiction| {
            contradiction.promise != Promise::OnceEnd || !closed.contains(&contradiction.id)
        });
        seen.cloned().chain(refused).chain(once).collect()
    }
}

/// State that all callers share.
#[derive(Default)]
struct Shared {
    addresses: Mutex<Vec<SocketAddr>>,
    record: Mutex<Record>,
    next_id: AtomicU64,
    is_stopped: AtomicBool,
}

impl Shared {
    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn addresses(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Callers that send random requests, one at a time each, to random relays.
pub struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers whose choices follow from `seed`.
    pub fn start(count: usize, seed: u64, addresses: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Shared { addresses: Mutex::new(addresses), ..Shared::default() });
        let start = |number| {
            let caller = Caller {
                client: Client::new(),
                shared: shared.clone(),
                random: StdRng::seed_from_u64(seed * 1_000 + number),
            };
            tokio::spawn(caller.run())
        };
        let tasks = (0..count as u64).map(start).collect();
        Self { shared, tasks }
    }

    /// Replaces the addresses of the relays.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.shared.addresses() = addresses;
    }

    /// Waits for the requests under way, and returns what the callers saw.
    ///
    /// # Errors
    ///
    /// A caller panicked.
    pub async fn stop(&mut self) -> Result<Record, JoinError> {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        for task in self.tasks.drain(..) {
            task.await?;
        }
        Ok(std::mem::take(&mut *self.shared.record()))
    }
}

/// What has arrived of a stream.
struct Stream {
    /// Id of the request that began it.
    origin: String,
    /// Number of events that it has in all.
    events: u64,
    /// Number of the last event that arrived.
    last: u64,
    version: Option<String>,
}

impl Stream {
    fn accept(&mut self, event: &str) -> Result<(), (Promise, String)> {
        let field = |name: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        let (number, version) = (field("id:"), field("event:"));
        if number != (self.last + 1).to_string() {
            let text = format!("event {number} after event {}", self.last);
            return Err((Promise::Order, text));
        }
        if !format!("{} ", field("data:")).starts_with(&format!("piece {number} ")) {
            return Err((Promise::Order, format!("event {number} has the data of another")));
        }
        if self.version.get_or_insert_with(|| version.clone()) != &version {
            return Err((Promise::Version, format!("event {number} has another version")));
        }
        self.last += 1;
        Ok(())
    }
}

struct Caller {
    client: Client,
    shared: Arc<Shared>,
    random: StdRng,
}

impl Caller {
    async fn run(mut self) {
        while !self.shared.is_stopped.load(Ordering::Relaxed) {
            match self.random.random_range(0..20) {
                0..10 => self.stream("stream", STREAM_REQUESTS).await,
                10..12 => self.stream("once", 1).await,
                12..18 => self.single().await,
                _ => self.submit().await,
            }
            self.pause(5, 60).await;
        }
    }

    async fn pause(&mut self, min_ms: u64, max_ms: u64) {
        let pause = self.random.random_range(min_ms..max_ms);
        sleep(Duration::from_millis(pause)).await;
    }

    fn id(&self) -> String {
        format!("r-{}", self.shared.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn address(&mut self) -> SocketAddr {
        let addresses = self.shared.addresses();
        addresses[self.random.random_range(0..addresses.len())]
    }

    fn call(&mut self, route: &str, id: &str) -> Call {
        Call::post(self.address(), format!("/{route}/path"))
            .with_header("host", HOST)
            .with_header("request-id", id)
            .with_header("deadline-ms", DEADLINE_MS.to_string())
            .with_body(id.to_owned())
            .with_timeout(CALL_TIMEOUT)
    }

    fn note(&self, promise: Promise, id: &str, text: String) {
        self.shared.record().contradictions.push(Contradiction::new(promise, id, text));
    }

    /// Reads a stream, and continues it at another relay when it breaks off.
    async fn stream(&mut self, route: &str, requests: u32) {
        let events = match self.random.random_bool(0.2) {
            true => self.random.random_range(60..300),
            false => self.random.random_range(3..60),
        };
        let mut stream = Stream { origin: self.id(), events, last: 0, version: None };
        let mut id = stream.origin.clone();
        for request in 0..requests {
            if request > 0 {
                if stream.last == 0 {
                    // Nothing of the stream has arrived: the next request would begin a new stream.
                    return;
                }
                self.pause(20, 300).await;
                self.shared.record().continued += 1;
                id = self.id();
            }
            if self.read(route, &mut stream, &id).await {
                return;
            }
        }
    }

    /// Requests what is missing of a stream. Returns whether nothing is left to do.
    async fn read(&mut self, route: &str, stream: &mut Stream, id: &str) -> bool {
        let mut call = self.call(route, id);
        call = call.with_header("token-counts", format!("9,{}", stream.events));
        if stream.last > 0 {
            call = call
                .with_header("last-event-id", stream.last.to_string())
                .with_header("resumes", stream.origin.clone());
        }
        if route == "once" {
            self.shared.record().once.insert(id.to_owned(), false);
        }
        let Ok(mut response) = self.client.open(call).await else { return false };
        if response.status == 503 {
            self.shared.record().refused.insert(id.to_owned());
        }
        if response.status != 200 {
            return false;
        }
        loop {
            match response.next_event().await {
                Ok(Some(event)) => {
                    if let Err((promise, text)) = stream.accept(&event) {
                        self.note(promise, id, format!("{text}; stream {}", stream.origin));
                        return true;
                    }
                }
                Ok(None) => {
                    self.end(route, stream, id);
                    return true;
                }
                Err(_) => return false,
            }
        }
    }

    /// Notes that a stream ended as complete.
    fn end(&self, route: &str, stream: &Stream, id: &str) {
        let is_once = route == "once";
        if stream.last == stream.events {
            let mut record = self.shared.record();
            record.streams += 1;
            if is_once {
                record.once.insert(id.to_owned(), true);
            }
            return;
        }
        let promise = if is_once { Promise::OnceEnd } else { Promise::End };
        let (last, events) = (stream.last, stream.events);
        let text = format!("complete after {last} of {events}; stream {}", stream.origin);
        self.note(promise, id, text);
    }

    async fn single(&mut self) {
        let id = self.id();
        let route = if self.random.random_bool(0.5) { "safe" } else { "unsafe" };
        let is_once = route == "unsafe";
        if is_once {
            self.shared.record().once.insert(id.clone(), false);
        }
        let call = self.call(route, &id);
        let Ok(reply) = self.client.send(call).await else { return };
        match reply.status {
            503 => _ = self.shared.record().refused.insert(id),
            200 if reply.text() != format!("answer to {id}") => {
                self.note(Promise::Answer, &id, format!("answer {:?}", reply.text()));
            }
            200 if is_once => _ = self.shared.record().once.insert(id, true),
            _ => {}
        }
    }

    async fn submit(&mut self) {
        let job = Job::new(&self.id(), self.random.random_range(1..6));
        let call = job
            .submission(self.address(), "batch", ITEM_EVENTS)
            .with_header("deadline-ms", DEADLINE_MS.to_string())
            .with_timeout(CALL_TIMEOUT);
        let Ok(reply) = self.client.send(call).await else { return };
        match reply.status {
            202 => self.shared.record().jobs.push(job),
            503 => self.shared.record().refused.extend(job.items),
            _ => {}
        }
    }
}
