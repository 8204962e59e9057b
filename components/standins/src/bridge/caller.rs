//! Callers that use relays in parallel and record what contradicts the relays' promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::{JoinError, JoinHandle},
    time::sleep,
};

use crate::{
    bridge::{ACCOUNTS, Account, HOST, Job, Keyring, Profile, Runner, Size},
    client::{Call, Client, Reply},
};

const DEADLINE_MS: u64 = 5_000;
/// Longer than the deadline, by which a relay has to respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// The same, where relays are stopped.
const STOPPED_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the deadline by which the last byte of an answer has arrived.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Time of a request within which a sound upstream's response is not given up: 7/10 of the deadline.
const WHOLE_TIME: Duration = Duration::from_millis(DEADLINE_MS / 10 * 7);
/// Callers of streams for each caller of other routes where upstreams are full, and of all accounts for each of
/// the account that is over its quota.
const OTHERS_SHARE: usize = 3;
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
    /// A request that was refused with 401, 429 or 503 has not run.
    Refusal,
    /// A request that may not be sent again runs at most once, and has run if it was answered.
    Once,
    /// A request that was answered has a final status of HTTP.
    Status,
    /// Every item of an accepted job is listed once, with all of its text.
    Item,
    /// The response of an upstream that nothing befalls arrives whole, unless most of its time has passed.
    Whole,
    /// Every request has its final answer when its deadline has passed.
    Deadline,
    /// A request runs only with a key that is listed, or was until `accounts.revoke_ms` ago.
    Key,
    /// Upstreams learn the account of the caller's key, and no key.
    Account,
    /// The requests of an account that run within 5 s keep its quota.
    Quota,
    /// A listed key is known, and an account without a quota is never over it.
    Admission,
    /// A job is read and ended with keys of its account only.
    Reader,
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

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    /// Another status than a success or a refusal.
    Status(u16),
    Broken(String),
}

/// A request and what became of it.
#[derive(Debug)]
struct Exchange {
    id: String,
    relay: SocketAddr,
    begin: Instant,
    end: Instant,
    outcome: Outcome,
}

/// Times in which relays were stopped.
#[derive(Debug, Default)]
pub struct Stops(Vec<(SocketAddr, Instant, Option<Instant>)>);

impl Stops {
    /// Notes that a relay is stopped, unless it is.
    pub fn begin(&mut self, relay: SocketAddr) {
        if !self.0.iter().any(|(stopped, _, end)| *stopped == relay && end.is_none()) {
            self.0.push((relay, Instant::now(), None));
        }
    }

    pub fn end(&mut self, relay: SocketAddr) {
        let open = self.0.iter_mut().filter(|(stopped, _, end)| *stopped == relay && end.is_none());
        open.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Returns for how long a relay was stopped between two moments.
    fn time(&self, relay: SocketAddr, begin: Instant, end: Instant) -> Duration {
        let stops = self.0.iter().filter(|(stopped, ..)| *stopped == relay);
        let times = stops.map(|(_, from, to)| {
            to.unwrap_or(end).min(end).saturating_duration_since((*from).max(begin))
        });
        times.sum()
    }
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Record {
    pub refused: BTreeSet<String>,
    /// Requests that may run at most once, and whether they were answered.
    once: BTreeMap<String, bool>,
    exchanges: Vec<Exchange>,
    contradictions: Vec<Contradiction>,
    /// Keys with which requests were sent, by id, and those of the jobs of items.
    keys: BTreeMap<String, String>,
    item_keys: BTreeMap<String, String>,
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

    /// Returns the promises that were broken although nothing failed while the callers used the relays.
    pub fn quiet_contradictions<'a>(
        &self,
        runners: impl Iterator<Item = &'a Runner> + Clone,
        stops: &Stops,
    ) -> Vec<Contradiction> {
        let mut contradictions = Vec::new();
        for Exchange { id, relay, begin, end, outcome } in &self.exchanges {
            let time = *end - *begin;
            let stopped = stops.time(*relay, *begin, *end);
            let mut note = |promise| {
                let mut text = format!("{relay}: {outcome:?} after {time:?}, stopped {stopped:?}");
                for runner in runners.clone() {
                    for run in runner.runs().iter().filter(|run| run.id == *id) {
                        let after = |at: Instant| at.saturating_duration_since(*begin);
                        let (start, end) = (after(run.started), run.ended);
                        let end = end.map(|(at, end)| (after(at), end));
                        text += &format!("; {} ran it from {start:?} to {end:?}", runner.id);
                    }
                }
                contradictions.push(Contradiction::new(promise, id, text));
            };
            if time > Duration::from_millis(DEADLINE_MS) + DEADLINE_SLACK + stopped {
                note(Promise::Deadline);
            }
            if matches!(outcome, Outcome::Status(_) | Outcome::Broken(_)) && time < WHOLE_TIME {
                note(Promise::Whole);
            }
        }
        contradictions
    }

    /// Returns the promises about accounts that were broken.
    pub fn account_contradictions<'a>(
        &self,
        runners: impl Iterator<Item = &'a Runner>,
        keyring: &Keyring,
    ) -> Vec<Contradiction> {
        let mut contradictions = Vec::new();
        let mut note = |promise, id: &str, text| {
            contradictions.push(Contradiction::new(promise, id, text));
        };
        // The first run of each online request, by account.
        let mut starts: BTreeMap<&str, BTreeMap<String, Instant>> = BTreeMap::new();
        for run in runners.flat_map(Runner::runs) {
            let key = self.keys.get(&run.id).or_else(|| self.item_keys.get(&run.id));
            let key = key.map(String::as_str).unwrap_or_default();
            let account = keyring.account(key).unwrap_or_default();
            if run.has_key || run.tenant != account {
                let text = format!("with key {key:?}: {run:?}");
                note(Promise::Account, &run.id, text);
            }
            // Items run on when the key of their job is removed.
            if account.is_empty()
                || (self.keys.contains_key(&run.id) && !keyring.may_run(key, run.started))
            {
                note(Promise::Key, &run.id, format!("ran with key {key:?}: {run:?}; {keyring:?}"));
            }
            if self.keys.contains_key(&run.id) {
                let first = starts.entry(account).or_default().entry(run.id).or_insert(run.started);
                *first = run.started.min(*first);
            }
        }
        for (name, starts) in starts {
            let excess = Account::named(name)
                .and_then(|account| account.excess(starts.into_values().collect()));
            if let Some((first, count)) = excess {
                note(Promise::Quota, name, format!("{count} requests from {first:?} on"));
            }
        }
        for Exchange { id, relay, begin, end, outcome } in &self.exchanges {
            let key = self.keys.get(id).map(String::as_str).unwrap_or_default();
            let account = keyring.account(key).and_then(Account::named);
            let is_wrong = match outcome {
                Outcome::Status(401) => keyring.is_known(key, *begin, *end),
                Outcome::Status(429) => account.is_none_or(|account| !account.has_quota()),
                _ => false,
            };
            if is_wrong {
                let text =
                    format!("{outcome:?} from {relay} for key {key:?}: {begin:?} to {end:?}");
                note(Promise::Admission, id, text);
            }
        }
        contradictions
    }

    /// Returns for each account the number of online requests that were over its quota.
    pub fn over_quota(&self, keyring: &Keyring) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for exchange in &self.exchanges {
            if exchange.outcome == Outcome::Status(429)
                && let Some(account) =
                    self.keys.get(&exchange.id).and_then(|key| keyring.account(key))
            {
                *counts.entry(account).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of requests whose keys were rejected.
    pub fn unauthorized(&self) -> usize {
        self.exchanges.iter().filter(|exchange| exchange.outcome == Outcome::Status(401)).count()
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
    pub fn start(
        profile: Profile,
        size: Size,
        seed: u64,
        addresses: Vec<SocketAddr>,
        keyring: Keyring,
    ) -> Self {
        let shared = Arc::new(Shared { addresses: Mutex::new(addresses), ..Shared::default() });
        let start = |number| {
            let caller = Caller {
                client: Client::new(),
                shared: shared.clone(),
                random: StdRng::seed_from_u64(seed * 1_000 + number),
                keyring: keyring.clone(),
                account: "",
                uses: match profile {
                    Profile::Faulty => Uses::All,
                    Profile::Accounts if number < size.callers as u64 => Uses::Accounts,
                    Profile::Accounts => Uses::Loud,
                    Profile::Quiet if number < size.callers as u64 => Uses::Streams,
                    Profile::Quiet => Uses::Others,
                },
            };
            tokio::spawn(caller.run())
        };
        let count = match profile {
            Profile::Faulty => size.callers,
            Profile::Accounts | Profile::Quiet => {
                size.callers + size.callers.div_ceil(OTHERS_SHARE)
            }
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

/// Routes that a caller uses.
#[derive(Clone, Copy)]
enum Uses {
    All,
    /// Online requests of streams alone.
    Streams,
    /// Plain requests and jobs.
    Others,
    /// All routes, with keys, and jobs of any account.
    Accounts,
    /// Plain requests of the account that is over its quota.
    Loud,
}

struct Caller {
    uses: Uses,
    client: Client,
    shared: Arc<Shared>,
    random: StdRng,
    keyring: Keyring,
    /// Account for which it sends the current request or stream; empty without accounts.
    account: &'static str,
}

impl Caller {
    async fn run(mut self) {
        while !self.shared.is_stopped.load(Ordering::Relaxed) {
            match self.uses {
                Uses::Accounts => self.account = Keyring::choose_account(&mut self.random),
                Uses::Loud => self.account = ACCOUNTS[0].name,
                Uses::All | Uses::Streams | Uses::Others => {}
            }
            let choices = match self.uses {
                Uses::All => 0..20,
                Uses::Accounts => 0..22,
                Uses::Loud => 12..18,
                Uses::Streams => 0..12,
                Uses::Others => 12..20,
            };
            match self.random.random_range(choices) {
                0..10 => self.stream("stream", STREAM_REQUESTS).await,
                10..12 => self.stream("once", 1).await,
                12..18 => self.single().await,
                18..20 => self.submit().await,
                _ => self.access().await,
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

    /// Chooses a key of the account.
    fn key(&mut self) -> String {
        match self.account {
            "" => String::new(),
            account => self.keyring.choose(&mut self.random, account),
        }
    }

    fn call(&mut self, route: &str, id: &str) -> Call {
        let key = self.key();
        self.shared.record().keys.insert(id.to_owned(), key.clone());
        Call::post(self.address(), format!("/{route}/path"))
            .with_header("host", HOST)
            .with_header("request-id", id)
            .with_header("deadline-ms", DEADLINE_MS.to_string())
            .with_body(id.to_owned())
            .with_key(&key)
            .with_timeout(self.timeout())
    }

    const fn timeout(&self) -> Duration {
        match self.uses {
            Uses::All | Uses::Accounts | Uses::Loud => CALL_TIMEOUT,
            Uses::Streams | Uses::Others => STOPPED_TIMEOUT,
        }
    }

    fn record(&self, id: &str, relay: SocketAddr, begin: Instant, outcome: Outcome) {
        let (id, end) = (id.to_owned(), Instant::now());
        self.shared.record().exchanges.push(Exchange { id, relay, begin, end, outcome });
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
        let (relay, begin) = (call.address(), Instant::now());
        let mut response = match self.client.open(call).await {
            Ok(response) => response,
            Err(error) => {
                self.record(id, relay, begin, Outcome::Broken(error.to_string()));
                return false;
            }
        };
        match response.status {
            200 => {}
            503 => {
                self.shared.record().refused.insert(id.to_owned());
                self.record(id, relay, begin, Outcome::Refused);
                return false;
            }
            status => {
                if let 401 | 429 = status {
                    self.shared.record().refused.insert(id.to_owned());
                }
                self.record(id, relay, begin, Outcome::Status(status));
                return false;
            }
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
                    self.record(id, relay, begin, Outcome::Answered);
                    self.end(route, stream, id);
                    return true;
                }
                Err(error) => {
                    let text = format!("{error} after event {}", stream.last);
                    self.record(id, relay, begin, Outcome::Broken(text));
                    return false;
                }
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
        let Some(reply) = self.send(&id, call, 200).await else { return };
        if !(200..600).contains(&reply.status) {
            self.note(Promise::Status, &id, format!("status {}", reply.status));
        }
        match reply.status {
            401 | 429 | 503 => _ = self.shared.record().refused.insert(id),
            200 if reply.text() != format!("answer to {id}") => {
                self.note(Promise::Answer, &id, format!("answer {:?}", reply.text()));
            }
            200 if is_once => _ = self.shared.record().once.insert(id, true),
            _ => {}
        }
    }

    /// Sends a plain request, whose answer has the status `success`.
    async fn send(&self, id: &str, call: Call, success: u16) -> Option<Reply> {
        let (relay, begin) = (call.address(), Instant::now());
        match self.client.send(call).await {
            Ok(reply) => {
                let outcome = match reply.status {
                    status if status == success => Outcome::Answered,
                    503 => Outcome::Refused,
                    status => Outcome::Status(status),
                };
                self.record(id, relay, begin, outcome);
                Some(reply)
            }
            Err(error) => {
                self.record(id, relay, begin, Outcome::Broken(error.to_string()));
                None
            }
        }
    }

    async fn submit(&mut self) {
        let mut job = Job::new(&self.id(), self.random.random_range(1..6));
        job.key = self.key();
        {
            let mut record = self.shared.record();
            record.keys.insert(job.id.clone(), job.key.clone());
            record.item_keys.extend(job.items.iter().map(|item| (item.clone(), job.key.clone())));
        }
        let call = job
            .submission(self.address(), "batch", ITEM_EVENTS)
            .with_header("deadline-ms", DEADLINE_MS.to_string())
            .with_timeout(self.timeout());
        let Some(reply) = self.send(&job.id, call, 202).await else { return };
        match reply.status {
            202 => self.shared.record().jobs.push(job),
            401 | 429 | 503 => self.shared.record().refused.extend(job.items),
            _ => {}
        }
    }

    /// Reads an accepted job, or ends one of another account.
    async fn access(&mut self) {
        let jobs: Vec<(String, String)> = {
            let record = self.shared.record();
            record.jobs.iter().map(|job| (job.id.clone(), job.key.clone())).collect()
        };
        if jobs.is_empty() {
            return;
        }
        let (id, owner) = &jobs[self.random.random_range(0..jobs.len())];
        let (key, address) = (self.key(), self.address());
        let is_own = self.keyring.account(&key) == self.keyring.account(owner);
        let method = match !is_own && self.random.random_bool(0.3) {
            true => Method::DELETE,
            false => Method::GET,
        };
        let begin = Instant::now();
        let call = Call::new(method, address, format!("/-/lots/{id}?After=0"))
            .with_header("host", HOST)
            .with_key(&key)
            .with_timeout(self.timeout());
        let Ok(reply) = self.client.send(call).await else { return };
        if (200..300).contains(&reply.status) && !(is_own && self.keyring.may_run(&key, begin)) {
            let text = format!("{} from {address} for key {key:?}, not {owner:?}", reply.status);
            self.note(Promise::Reader, id, text);
        }
    }
}
