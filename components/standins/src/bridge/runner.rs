//! Stand-in for a runner, which answers with event streams and plain bodies and can inject faults.
//!
//! It writes the bytes of its responses itself, because HTTP libraries do not write malformed ones.

use std::{
    collections::HashMap,
    future::{pending, poll_fn},
    io,
    net::{self, IpAddr, Shutdown, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    select,
    sync::watch,
    time::sleep,
};

use crate::bridge::{End, Run, links::reset};

/// Time from the start of a request that crashes the runner to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time from a crash until the runner has started again.
const RESTART_TIME: Duration = Duration::from_millis(1_000);
/// Slots that an entry states unless they are limited.
const DEFAULT_SLOTS: usize = 8;
/// Bytes of a body from which it counts as long.
const EARLY_BODY_BYTES: usize = 64 << 10;
/// Bytes of such a body that wait in the system.
const EARLY_BUFFER_BYTES: usize = 8 << 10;
/// Time between the part of a response and the reset of its connection.
const EARLY_RESET_DELAY: Duration = Duration::from_millis(100);
/// Time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(8);

/// Time between two comments of a stalled stream.
const COMMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of a slow stream.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Bytes that an endless response sends at once.
const ENDLESS_CHUNK_BYTES: usize = 16 << 10;
/// Bytes of the data of a large event.
const LARGE_EVENT_BYTES: usize = 60 << 10;
/// Time from a response to its repetition on an idle connection.
const IDLE_REPEAT_DELAY: Duration = Duration::from_millis(30);
/// Time between two writes of an endless response that is slow.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(100);

/// A fault injected into one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Refuses the request with 503 and `Not-Run`, without running it.
    NotRun,
    /// The same, without the id of the request.
    NotRunUnnamed,
    /// The same as `NotRun`, after a time.
    LateNotRun(Duration),
    /// Sends the head of the response after a time.
    LateHead(Duration),
    /// Closes the connection after this many events and half of another one, or in the middle of a
    /// plain body.
    CutAfter(u64),
    /// Sends neither length nor chunks and closes the connection after this many events, or in the
    /// middle of a plain body, in the same way as after a complete response.
    CloseAfter(u64),
    /// The same, with a transfer coding that marks no end.
    CloseCoded(u64),
    /// The same as `CloseAfter`, and crashes at that moment.
    KilledAfter(u64),
    /// Sends neither length nor chunks, and nothing after this many events, or after half of a plain body,
    /// until the runner crashes.
    HangAfter(u64),
    /// Ends the head after the stamp, before what tells the type and the end of the body, and closes the
    /// connection.
    ShortHead,
    /// Sends nothing but comments after this many events of a stream.
    StallAfter(u64),
    /// Pauses for more than a second after this many events of a stream, or before a plain response, and
    /// goes on.
    PauseAfter(u64),
    /// The same, for a given time.
    QuietAfter(u64, Duration),
    /// Leaves out the ids of the events, and breaks off after this many of them.
    OmitIds(u64),
    /// Leaves out the events of a new stream before this one.
    StartAt(u64),
    /// Sends the id of another request in the response.
    WrongId,
    /// Sends a second response after a complete plain one.
    SecondAnswer,
    /// Runs the request but sends no response.
    Silent,
    /// Responds with 500.
    Failed,
    /// Responds with this status after it has run the request, and names a time to retry.
    Status(u16),
    /// Responds with 422.
    Impossible,
    /// Sends bytes that are no answer until the caller closes the connection.
    Endless(Endless),
    /// Leaves out the ids of the events, and pauses like `PauseAfter` after this many of them.
    PauseUnnumbered(u64),
    /// Sends a response and writes it once more on the same connection.
    Repeated(Repeated),
}

/// How the part of a response is framed that is written before the body of its request is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Early {
    /// With neither length nor chunks, so that the close of the connection marks the end.
    Unframed,
    /// In chunks, without the last one.
    Chunked,
}

/// A response that is written twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeated {
    pub answer: Answer,
    pub naming: Naming,
    pub moment: Moment,
    /// Mark that only the repetition bears.
    pub mark: Option<Mark>,
}

impl Repeated {
    /// Creates a response that is repeated with the id of its request before the answer to the next
    /// one.
    pub const fn new(answer: Answer) -> Self {
        Self { answer, naming: Naming::Both, moment: Moment::Next, mark: None }
    }

    pub const fn with_naming(self, naming: Naming) -> Self {
        Self { naming, ..self }
    }

    pub const fn with_moment(self, moment: Moment) -> Self {
        Self { moment, ..self }
    }

    pub const fn with_mark(self, mark: Mark) -> Self {
        Self { mark: Some(mark), ..self }
    }
}

/// A response without a body of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 503 with `Not-Run`, without running the request.
    NotRun,
    /// 421, without running the request.
    Misdirected,
    /// 500 after the request has run.
    Failed,
}

/// Which of the two copies bear the id of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    Both,
    /// The first one, which answers the request.
    First,
    Neither,
}

/// When a response is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// While the connection is idle, unless the next request comes within `IDLE_REPEAT_DELAY`.
    Idle,
    /// Before the answer to the next request on the connection.
    Next,
    /// Before the answer to the request after that.
    Later,
}

/// What the headers of a response say of the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It is leaving.
    Leaving,
    /// It takes one request in ten seconds.
    Limit,
}

impl Mark {
    const fn header(self) -> (&'static str, &'static str) {
        match self {
            Self::Leaving => ("Server-Leaving", "1"),
            Self::Limit => ("Server-Limit", "0.1"),
        }
    }
}

/// A response that is still to be repeated on a connection.
struct Stray {
    head: String,
    /// Requests to come before the one at which it is written.
    requests_before: u32,
}

/// Where the bytes of an endless response are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// In a header line.
    Head,
    /// In a plain body.
    Body,
    /// In a plain body, a few bytes at a time.
    SlowBody,
    /// In one event of a stream.
    Event,
    /// In one event of a stream, a few bytes at a time.
    SlowEvent,
    /// In complete events of a stream.
    Events,
    /// In complete events of a stream that are near the limit on one event.
    LargeEvents,
}

/// A run that takes one of the slots until it is dropped.
struct Occupancy<'a> {
    runner: &'a Runner,
    /// Index of the run.
    run: usize,
    end: End,
}

impl Drop for Occupancy<'_> {
    fn drop(&mut self) {
        let mut state = self.runner.state();
        state.occupied -= 1;
        state.runs[self.run].ended = Some((Instant::now(), self.end));
    }
}

#[derive(Default)]
struct State {
    /// `None` while the runner is down.
    listener: Option<TcpListener>,
    /// Open connections, by the number of connections before them.
    sockets: HashMap<usize, net::TcpStream>,
    faults: Vec<Fault>,
    runs: Vec<Run>,
    connections: usize,
    /// Requests that may run at the same time; without a limit if it is `None`.
    slots: Option<usize>,
    /// Requests that run.
    occupied: usize,
    leaving: Option<&'static str>,
    /// Number of starts before this one, which the entry states after the first.
    restarts: u64,
    /// Whether responses have neither length nor chunks and end with their connections.
    is_unframed: bool,
    /// Whether the data of events names the version.
    names_version: bool,
    /// Text at the end of each event.
    fill: String,
    /// Requests a second that the responses name (`Server-Limit`).
    limit: Option<f64>,
    /// How requests with long bodies are answered before these are read; `None` if they are not.
    early: Option<Early>,
    /// Value of `Keep-Alive` in the responses.
    keep_alive: Option<String>,
    /// Part of a prompt under which the runner crashes.
    fatal_part: Option<String>,
    /// Body of a request under which the runner crashes.
    fatal_body: Option<String>,
    crashes: Vec<Instant>,
    /// Time from the close of the connections in a crash to that of the listener.
    listener_delay: Duration,
    /// Ids of the requests whose responses were closed early, without a crash.
    early_closes: Vec<String>,
}

impl State {
    /// Accepts a connection, and keeps its socket for a crash.
    fn poll_accept(&mut self, context: &mut Context<'_>) -> Poll<io::Result<(usize, TcpStream)>> {
        let Some(listener) = &self.listener else { return Poll::Pending };
        let stream = match ready!(listener.poll_accept(context)) {
            Ok((stream, _)) => stream.into_std()?,
            Err(error) => return Poll::Ready(Err(error)),
        };
        let number = self.connections;
        self.connections += 1;
        self.sockets.insert(number, stream.try_clone()?);
        Poll::Ready(Ok((number, TcpStream::from_std(stream)?)))
    }
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    /// Version of its software.
    pub version: String,
    /// Data centre that its entry states.
    pub data_centre: String,
    state: Arc<Mutex<State>>,
    /// Number of crashes so far. A crash closes all connections.
    crashed: watch::Sender<usize>,
}

impl Runner {
    /// Starts a runner that listens on a free port of `host`.
    pub async fn start(host: IpAddr, id: &str) -> io::Result<Self> {
        Self::start_version(host, id, "v1", "a").await
    }

    /// Starts a runner with a version of the software, whose entry states a data centre. Events of
    /// other versions than v1 have the version as their type.
    pub async fn start_version(
        host: IpAddr,
        id: &str,
        version: &str,
        data_centre: &str,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let runner = Self {
            id: id.to_owned(),
            address,
            version: version.into(),
            data_centre: data_centre.into(),
            state: Arc::default(),
            crashed: watch::Sender::new(0),
        };
        runner.state().listener = Some(listener);
        tokio::spawn(runner.clone().accept());
        Ok(runner)
    }

    /// Returns the value of its row in the store's `servers` table.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        let (slots, restarts) = {
            let state = self.state();
            (state.slots.unwrap_or(DEFAULT_SLOTS), state.restarts)
        };
        let mut entry = json!({
            "Service": service, "Address": self.address, "Zone": self.data_centre, "Version": self.version,
            "Slots": slots, "State": state, "ColdLeftMs": 0, "CallSeq": 0
        });
        if restarts > 0 {
            entry["born"] = json!(restarts);
        }
        entry
    }

    /// Crashes and starts again under the same id, as another start that is not leaving.
    pub fn restart(&self) {
        self.crash();
        let mut state = self.state();
        state.restarts += 1;
        state.leaving = None;
    }

    /// Refuses requests as not run while this many run. Entries from then on state the number.
    pub fn limit_slots(&self, slots: usize) {
        self.state().slots = Some(slots);
    }

    /// Forgets the faults that no response has had yet.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// Queues faults for the next responses, one fault for each response in this order.
    pub fn queue_faults(&self, faults: &[Fault]) {
        self.state().faults.extend_from_slice(faults);
    }

    /// Crashes under each further request with this part in its prompt, before its first event. The
    /// runner closes all its connections, refuses new ones for a second, and serves again.
    pub fn crash_under(&self, part: &str) {
        self.state().fatal_part = Some(part.to_owned());
    }

    /// Crashes under each further request with this body, before its first event, like
    /// [`Self::crash_under`].
    pub fn crash_under_body(&self, body: &str) {
        self.state().fatal_body = Some(body.to_owned());
    }

    /// Ceases to crash under requests.
    pub fn mend(&self) {
        let mut state = self.state();
        (state.fatal_part, state.fatal_body) = (None, None);
    }

    /// Crashes at once: closes all connections, refuses new ones for a second, and serves again.
    pub fn crash(&self) {
        let mut state = self.state();
        state.crashes.push(Instant::now());
        // The kernel closes the files of a process that was killed in this order.
        for socket in std::mem::take(&mut state.sockets).into_values() {
            // The peer may have closed the connection.
            let _ = socket.shutdown(Shutdown::Both);
        }
        let (listener, delay) = (state.listener.take(), state.listener_delay);
        if !delay.is_zero() {
            tokio::spawn(async move {
                sleep(delay).await;
                drop(listener);
            });
        }
        self.crashed.send_modify(|count| *count += 1);
    }

    /// Keeps the listener open for a time after the connections were closed in a crash, as a busy vm
    /// does with a process that was killed. Nothing is accepted from its queue.
    pub fn delay_listener(&self, delay: Duration) {
        self.state().listener_delay = delay;
    }

    /// Returns the times of the crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    /// Returns the ids of the requests whose responses this runner closed early by
    /// [`Fault::CloseAfter`].
    pub fn early_closes(&self) -> Vec<String> {
        self.state().early_closes.clone()
    }

    /// Ceases to say that this runner is leaving, as its next start does.
    pub fn stay(&self) {
        self.state().leaving = None;
    }

    /// Says in all further responses that this runner is leaving. Its entry stays as it is.
    pub fn announce_leaving(&self) {
        self.state().leaving = Some("1");
    }

    /// Says in all further responses that this runner is not leaving.
    pub fn deny_leaving(&self) {
        self.state().leaving = Some("0");
    }

    /// Sends all further successful responses without length or chunks, so that they end with their
    /// connections.
    pub fn omit_framing(&self) {
        self.state().is_unframed = true;
    }

    /// Writes the version into the data of all further events, so that the texts of batch items tell
    /// which versions wrote them.
    pub fn name_version(&self) {
        self.state().names_version = true;
    }

    /// Answers all further requests with long bodies before it reads these, with a part of a response, and resets
    /// their connections.
    pub fn reset_uploads(&self, early: Early) {
        self.state().early = Some(early);
    }

    /// States an idle timeout in all further responses.
    pub fn set_keep_alive(&self, value: &str) {
        self.state().keep_alive = Some(value.to_owned());
    }

    /// Adds a text to the data of all further events.
    pub fn fill_events(&self, fill: &str) {
        fill.clone_into(&mut self.state().fill);
    }

    /// Names a limit in all further responses, or none. The runner goes on serving what exceeds it.
    pub fn set_limit(&self, requests_per_s: Option<f64>) {
        self.state().limit = requests_per_s;
    }

    /// Returns the requests that ran here, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self) {
        let mut crashed = self.crashed.subscribe();
        loop {
            let accepted = select! {
                biased;
                _ = crashed.changed() => {
                    sleep(RESTART_TIME).await;
                    let Ok(listener) = TcpListener::bind(self.address).await else { return };
                    let mut state = self.state();
                    state.listener = Some(listener);
                    // It does not crash while it is down.
                    crashed.mark_unchanged();
                    continue;
                }
                accepted = poll_fn(|context| self.state().poll_accept(context)) => accepted,
            };
            let Ok((number, stream)) = accepted else { continue };
            let runner = self.clone();
            let mut crashed = crashed.clone();
            tokio::spawn(async move {
                select! {
                    // An I/O error only ends this connection, which the peer notices by itself.
                    _ = runner.serve(stream) => {}
                    _ = crashed.changed() => {}
                }
                runner.state().sockets.remove(&number);
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut stray: Option<Stray> = None;
        loop {
            if self.state().early.is_some() {
                let head = Request::read_head(&mut stream, &mut buffer).await?;
                let has_body = |(request, length): &(Request, usize)| {
                    *length > EARLY_BODY_BYTES && request.header("expect-instance") == self.id
                };
                if let Some((request, _)) = head.filter(has_body) {
                    // Otherwise the system takes the whole body, and its sender has nothing left to write.
                    SockRef::from(&stream).set_recv_buffer_size(EARLY_BUFFER_BYTES)?;
                    return self.answer_early(stream, &request).await;
                }
            }
            let Some(request) = Request::read(&mut stream, &mut buffer).await? else { break };
            match stray.take() {
                Some(Stray { head, requests_before: 0 }) => {
                    stream.write_all(head.as_bytes()).await?;
                }
                Some(Stray { head, requests_before }) => {
                    stray = Some(Stray { head, requests_before: requests_before - 1 });
                }
                None => {}
            }
            if !self.handle(&mut stream, &request, &mut stray).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Writes a part of a response while the body of the request is still written, of which nothing is read, and
    /// resets the connection.
    async fn answer_early(&self, mut stream: TcpStream, request: &Request) -> io::Result<()> {
        let early = self.state().early;
        let _occupancy = self.occupy(request);
        let headers = [("Request-Id", request.header("request-id")), ("Server-Stamp", "stamp")];
        let mut head = unframed_head("200 OK", &headers);
        let part = match request.events() {
            Some(_) => {
                head += "Content-Type: text/event-stream\r\n";
                self.event(1, None)
            }
            None => "part".to_owned(),
        };
        let part = match early {
            Some(Early::Chunked) => {
                head += "Transfer-Encoding: chunked\r\n";
                format!("{:x}\r\n{part}\r\n", part.len())
            }
            Some(Early::Unframed) | None => part,
        };
        stream.write_all(format!("{head}\r\n{part}").as_bytes()).await?;
        sleep(EARLY_RESET_DELAY).await;
        reset(&stream);
        Ok(())
    }

    /// Writes a response and repeats it at once or keeps it for later.
    async fn write_repeated(
        &self,
        stream: &mut TcpStream,
        id: &str,
        repeated: Repeated,
        stray: &mut Option<Stray>,
    ) -> io::Result<()> {
        let (status, header) = match repeated.answer {
            Answer::NotRun => ("503 Service Unavailable", ("Not-Run", "1")),
            Answer::Misdirected => ("421 Misdirected Request", ("Instance-Id", "another")),
            Answer::Failed => ("500 Internal Server Error", ("Server-Stamp", "stamp")),
        };
        let name = ("Request-Id", id);
        let (first, second) = match repeated.naming {
            Naming::Both => (Some(name), Some(name)),
            Naming::First => (Some(name), None),
            Naming::Neither => (None, None),
        };
        let headers: Vec<_> = [header].into_iter().chain(first).collect();
        write_plain(stream, status, &headers, "").await?;
        let mark = repeated.mark.map(Mark::header);
        let headers: Vec<_> = [header].into_iter().chain(second).chain(mark).collect();
        let head = response_head(status, &headers, 0);
        match repeated.moment {
            Moment::Idle => {
                sleep(IDLE_REPEAT_DELAY).await;
                stream.write_all(head.as_bytes()).await?;
            }
            Moment::Next => *stray = Some(Stray { head, requests_before: 0 }),
            Moment::Later => *stray = Some(Stray { head, requests_before: 1 }),
        }
        Ok(())
    }

    /// Handles one request. Returns whether the connection stays open.
    async fn handle(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        stray: &mut Option<Stray>,
    ) -> io::Result<bool> {
        let id = request.header("request-id");
        if request.header("expect-instance") != self.id {
            write_plain(stream, "421 Misdirected Request", &[("Instance-Id", &self.id)], "")
                .await?;
            return Ok(true);
        }
        if id.is_empty() {
            write_plain(stream, "400 Bad Request", &[("Not-Run", "1")], "").await?;
            return Ok(true);
        }
        let is_full = {
            let state = self.state();
            state.slots.is_some_and(|slots| state.occupied >= slots)
        };
        if is_full {
            let headers = [("Not-Run", "1"), ("Request-Id", id)];
            write_plain(stream, "503 Service Unavailable", &headers, "").await?;
            return Ok(true);
        }
        let fault = {
            let mut state = self.state();
            if state.faults.is_empty() { None } else { Some(state.faults.remove(0)) }
        };
        if let Some(refusal @ (Fault::NotRun | Fault::NotRunUnnamed)) = fault {
            let headers = [("Not-Run", "1"), ("Request-Id", id)];
            let count = if refusal == Fault::NotRun { 2 } else { 1 };
            write_plain(stream, "503 Service Unavailable", &headers[..count], "").await?;
            return Ok(true);
        }
        if let Some(Fault::LateNotRun(delay)) = fault {
            wait(stream, delay).await?;
            let headers = [("Not-Run", "1"), ("Request-Id", id)];
            write_plain(stream, "503 Service Unavailable", &headers, "").await?;
            return Ok(true);
        }
        if let Some(Fault::Repeated(repeated)) = fault
            && repeated.answer != Answer::Failed
        {
            self.write_repeated(stream, id, repeated, stray).await?;
            return Ok(true);
        }
        let mut occupancy = self.occupy(request);
        let result = self.run(stream, request, fault, stray).await;
        if result.is_ok() {
            occupancy.end = End::Written;
        }
        result
    }

    fn occupy(&self, request: &Request) -> Occupancy<'_> {
        let mut state = self.state();
        state.occupied += 1;
        state.runs.push(Run {
            id: request.header("request-id").to_owned(),
            after: request.header("last-event-id").parse().ok(),
            deadline_ms: request.header("deadline-ms").parse().ok(),
            tenant: request.header("tenant").to_owned(),
            has_key: request.headers.contains_key("authorization"),
            started: Instant::now(),
            ended: None,
        });
        Occupancy { runner: self, run: state.runs.len() - 1, end: End::Dropped }
    }

    /// Runs a request. Returns whether the connection stays open.
    async fn run(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        fault: Option<Fault>,
        stray: &mut Option<Stray>,
    ) -> io::Result<bool> {
        let id = request.header("request-id");
        if self.is_fatal(request) {
            sleep(CRASH_DELAY).await;
            self.crash();
            return Ok(false);
        }
        let id = if fault == Some(Fault::WrongId) { "another" } else { id };
        let mut headers = vec![("Request-Id", id), ("Server-Stamp", "stamp")];
        let leaving = self.state().leaving;
        headers.extend(leaving.map(|value| ("Server-Leaving", value)));
        let limit = self.state().limit.map(|limit| limit.to_string());
        if let Some(limit) = &limit {
            headers.push(("Server-Limit", limit));
        }
        let keep_alive = self.state().keep_alive.clone();
        if let Some(keep_alive) = &keep_alive {
            headers.push(("Keep-Alive", keep_alive));
        }
        match fault {
            Some(Fault::Silent) => {
                sleep(Duration::from_secs(30)).await;
                return Ok(false);
            }
            Some(Fault::LateHead(delay)) => wait(stream, delay).await?,
            Some(Fault::ShortHead) => {
                let head = unframed_head("200 OK", &headers) + "\r\n";
                stream.write_all(head.as_bytes()).await?;
                return Ok(false);
            }
            Some(Fault::Endless(place)) => {
                self.write_endless(stream, &headers, place).await?;
                return Ok(false);
            }
            Some(Fault::Failed) => {
                write_plain(stream, "500 Internal Server Error", &headers, "failed").await?;
                return Ok(true);
            }
            Some(Fault::Status(status)) => {
                headers.push(("Retry-After", "0.1"));
                write_plain(stream, &format!("{status:03} Status"), &headers, "answer").await?;
                return Ok(true);
            }
            Some(Fault::Repeated(repeated)) => {
                self.write_repeated(stream, id, repeated, stray).await?;
                return Ok(true);
            }
            Some(Fault::Impossible) => {
                write_plain(stream, "422 Unprocessable Entity", &headers, "impossible").await?;
                return Ok(true);
            }
            _ => {}
        }
        let Some(events) = request.events() else {
            match fault {
                Some(Fault::PauseAfter(_)) => sleep(PAUSE).await,
                Some(Fault::QuietAfter(_, pause)) => wait(stream, pause).await?,
                _ => {}
            }
            let body = format!("answer to {}", String::from_utf8_lossy(&request.body));
            if self.is_unframed(fault) {
                let end = if fault.is_some() { body.len() / 2 } else { body.len() };
                let head = unframed_head("200 OK", &headers);
                stream.write_all(format!("{head}\r\n{}", &body[..end]).as_bytes()).await?;
                match fault {
                    Some(Fault::KilledAfter(_)) => self.crash(),
                    Some(Fault::HangAfter(_)) => pending().await,
                    _ => {}
                }
                return Ok(false);
            }
            let cut = matches!(fault, Some(Fault::CutAfter(_)));
            if cut {
                let head = response_head("200 OK", &headers, body.len());
                stream.write_all(format!("{head}{}", &body[..body.len() / 2]).as_bytes()).await?;
                return Ok(false);
            }
            write_plain(stream, "200 OK", &headers, &body).await?;
            if fault == Some(Fault::SecondAnswer) {
                write_plain(stream, "200 OK", &headers, "stray bytes").await?;
            }
            return Ok(true);
        };
        let first = match (request.header("last-event-id").parse::<u64>(), fault) {
            (Ok(last), _) => last + 1,
            (Err(_), Some(Fault::StartAt(event))) => event,
            (Err(_), _) => 1,
        };
        self.write_stream(stream, &headers, first, events, fault).await
    }

    /// Writes a response that never ends, until the caller closes the connection.
    async fn write_endless(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        place: Endless,
    ) -> io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += match place {
            Endless::Head => "X-Filler: ",
            Endless::Body | Endless::SlowBody => "\r\n",
            Endless::Event | Endless::SlowEvent => {
                "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
            }
            Endless::Events | Endless::LargeEvents => "Content-Type: text/event-stream\r\n\r\n",
        };
        stream.write_all(head.as_bytes()).await?;
        let mut event = 0;
        loop {
            match place {
                Endless::Head | Endless::Body | Endless::Event => {
                    stream.write_all(&[b'x'; ENDLESS_CHUNK_BYTES]).await?;
                }
                Endless::SlowBody | Endless::SlowEvent => {
                    stream.write_all(b"xx").await?;
                    sleep(ENDLESS_INTERVAL).await;
                }
                Endless::Events | Endless::LargeEvents => {
                    event += 1;
                    let bytes = match place {
                        Endless::LargeEvents => LARGE_EVENT_BYTES,
                        _ => ENDLESS_CHUNK_BYTES,
                    };
                    let data = "x".repeat(bytes);
                    let text = format!("id: {event}\ndata: {data}\n\n");
                    stream.write_all(text.as_bytes()).await?;
                }
            }
        }
    }

    fn is_fatal(&self, request: &Request) -> bool {
        let state = self.state();
        let is_part =
            |part: &String| request.header("prompt-prefix").split(',').any(|entry| entry == part);
        let is_body = |body: &String| request.body == body.as_bytes();
        state.fatal_part.as_ref().is_some_and(is_part)
            || state.fatal_body.as_ref().is_some_and(is_body)
    }

    /// Writes the events from `first` to `events`. Returns whether the connection stays open.
    async fn write_stream(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        first: u64,
        events: u64,
        fault: Option<Fault>,
    ) -> io::Result<bool> {
        let is_unframed = self.is_unframed(fault);
        let mut head = unframed_head("200 OK", headers) + "Content-Type: text/event-stream\r\n";
        if !is_unframed {
            head += "Transfer-Encoding: chunked\r\n";
        }
        if matches!(fault, Some(Fault::CloseCoded(_))) {
            head += "Transfer-Encoding: identity\r\n";
        }
        head += "\r\n";
        stream.write_all(head.as_bytes()).await?;
        let has_slots = self.state().slots.is_some();
        for event in first..=events {
            match has_slots {
                // A run that is dropped frees its slot at once.
                true => wait(stream, EVENT_INTERVAL).await?,
                false => sleep(EVENT_INTERVAL).await,
            }
            let text = self.event(event, fault);
            if let Some(
                Fault::CloseAfter(count) | Fault::CloseCoded(count) | Fault::KilledAfter(count),
            ) = fault
                && event >= first + count
            {
                if matches!(fault, Some(Fault::KilledAfter(_))) {
                    self.crash();
                } else {
                    self.state().early_closes.push(headers[0].1.to_owned());
                }
                return Ok(false);
            }
            if let Some(Fault::HangAfter(count)) = fault
                && event >= first + count
            {
                return pending().await;
            }
            if let Some(Fault::StallAfter(count)) = fault
                && event >= first + count
            {
                return write_comments(stream).await;
            }
            match fault {
                Some(Fault::PauseAfter(count) | Fault::PauseUnnumbered(count))
                    if event == first + count =>
                {
                    sleep(PAUSE).await;
                }
                Some(Fault::QuietAfter(count, pause)) if event == first + count => {
                    wait(stream, pause).await?;
                }
                _ => {}
            }
            if is_unframed {
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            if let Some(Fault::CutAfter(count) | Fault::OmitIds(count)) = fault
                && event >= first + count
            {
                let half = &text[..text.len() / 2];
                stream.write_all(format!("{:x}\r\n{half}\r\n", half.len()).as_bytes()).await?;
                return Ok(false);
            }
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
        }
        if is_unframed {
            return Ok(false);
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }

    /// Returns the text of an event with this number.
    fn event(&self, number: u64, fault: Option<Fault>) -> String {
        let kind = match self.version.as_str() {
            "v1" => String::new(),
            version => format!("event: {version}\n"),
        };
        let id = match fault {
            Some(Fault::OmitIds(_) | Fault::PauseUnnumbered(_)) => String::new(),
            _ => format!("id: {number}\n"),
        };
        let fill = self.state().fill.clone();
        let suffix = match self.state().names_version {
            true => format!(" {}{fill}", self.version),
            false => fill,
        };
        format!("{kind}{id}data: piece {number}{suffix}\n\n")
    }

    /// Whether a successful response has neither length nor chunks.
    fn is_unframed(&self, fault: Option<Fault>) -> bool {
        match fault {
            Some(
                Fault::CloseAfter(_)
                | Fault::CloseCoded(_)
                | Fault::KilledAfter(_)
                | Fault::HangAfter(_),
            ) => true,
            Some(_) => false,
            None => self.state().is_unframed,
        }
    }
}

struct Request {
    headers: HashMap<String, String>,
    body: Vec<u8>,
    /// Bytes of the head.
    end: usize,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the number of events that the response has, or `None` if it is a plain one.
    fn events(&self) -> Option<u64> {
        self.header("token-counts").split_once(',')?.1.parse().ok()
    }

    /// Reads the head of the next request, which stays in the buffer, and the length of its body. Returns `None` if
    /// the connection ends before a complete head.
    async fn read_head(
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> io::Result<Option<(Self, usize)>> {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            // No more than the head and some of the body.
            let mut bytes = [0; 1_024];
            let count = stream.read(&mut bytes).await?;
            if count == 0 {
                return Ok(None);
            }
            buffer.extend(&bytes[..count]);
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let headers: HashMap<String, String> = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize =
            headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        Ok(Some((Self { headers, body: Vec::new(), end }, length)))
    }

    /// Reads the next request. Returns `None` if the connection ends before a complete request.
    async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Self>> {
        let Some((request, length)) = Self::read_head(stream, buffer).await? else {
            return Ok(None);
        };
        let end = request.end;
        while buffer.len() < end + length {
            if stream.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        }
        let body = buffer[end..end + length].to_vec();
        buffer.drain(..end + length);
        Ok(Some(Self { body, ..request }))
    }
}

fn response_head(status: &str, headers: &[(&str, &str)], length: usize) -> String {
    unframed_head(status, headers) + &format!("Content-Length: {length}\r\n\r\n")
}

/// Returns the head of a response up to the headers that tell where its body ends.
fn unframed_head(status: &str, headers: &[(&str, &str)]) -> String {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head
}

/// Waits for a time, and fails when the peer closes the connection meanwhile.
async fn wait(stream: &TcpStream, pause: Duration) -> io::Result<()> {
    let closed = async {
        match stream.peek(&mut [0]).await {
            Ok(0) => io::ErrorKind::ConnectionAborted.into(),
            Ok(_) => pending().await,
            Err(error) => error,
        }
    };
    select! {
        () = sleep(pause) => Ok(()),
        error = closed => Err(error),
    }
}

/// Writes comments until the caller closes the connection.
async fn write_comments(stream: &mut TcpStream) -> io::Result<bool> {
    loop {
        stream.write_all(b"9\r\n: alive\n\n\r\n").await?;
        sleep(COMMENT_INTERVAL).await;
    }
}

async fn write_plain(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let head = response_head(status, headers, body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await
}
