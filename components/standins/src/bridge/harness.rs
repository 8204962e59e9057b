//! Harness for tests and the demo: a store and runners in this process, relays in processes of
//! their own, and a client that calls them.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    bridge::{Cut, Links, Runner, Store},
    client::{Call, Client, Reply},
    fleet::{Error, binary, create_folder, loopback_address},
    process::Process,
};

/// Host name of all routes.
pub(super) const HOST: &str = "calls.example";

/// Time limit for waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of lines from the end of a log that an error shows.
const ERROR_LOG_LINES: usize = 20;

/// First port of the first relay.
const FIRST_RELAY_PORT: u16 = 20_000;

/// Ports that one relay listens on.
const PORTS_PER_RELAY: u16 = 4;

/// Interval between two checks of a condition.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A relay, whose process is `None` while it does not run.
struct Relay {
    process: Option<Process>,
    listen: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Starts of the process so far.
    starts: usize,
    /// Its connections to the runners, if they can be cut.
    links: Option<Arc<Links>>,
}

/// A submitted batch job.
#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    /// Key of the job's account; empty without one.
    pub key: String,
}

impl Job {
    /// Creates a job with `count` items, whose ids begin with that of the job.
    pub fn new(id: &str, count: usize) -> Self {
        let items = (0..count).map(|item| format!("{id}-{item}")).collect();
        Self { id: id.to_owned(), items, key: String::new() }
    }

    /// Builds the request that submits this job to a relay; each item asks for `events` events.
    pub fn submission(&self, relay: SocketAddr, route: &str, events: u64) -> Call {
        let entries = self.items.iter().map(|item| {
            json!({
                "Id": item, "Path": "/batch/item", "Tokens": 10 + events,
                "Headers": {"Token-Counts": format!("10,{events}"), "Model": "m"},
                "Body": STANDARD.encode(item)
            })
        });
        let body = json!({"Items": entries.collect::<Vec<_>>()});
        Call::post(relay, format!("/{route}/{}", self.id))
            .with_header("host", HOST)
            .with_header("request-id", &self.id)
            .with_json(&body)
            .with_key(&self.key)
    }

    /// Builds the request for the results of this job with a key.
    pub(super) fn query(&self, relay: SocketAddr, key: &str) -> Call {
        Call::get(relay, format!("/-/lots/{}?After=0", self.id))
            .with_header("host", HOST)
            .with_key(key)
    }
}

/// A store, runners and relays. Dropping it kills the relays and removes their files.
pub struct Harness {
    pub store: Store,
    /// Runners of the service `model`.
    pub runners: Vec<Runner>,
    /// The runner of the service `plain`.
    pub plain: Runner,
    /// Time from the submission of a job until its items may be abandoned, in seconds; routes have it
    /// from the next configuration on.
    pub retention_s: u64,
    /// Connections that each runner accepts by the next configuration; the runners do not refuse more.
    pub max_connections: usize,
    /// Service of the resumable streams, from the next configuration on.
    pub stream_service: &'static str,
    /// Client accounts from the next configuration on; null for no list of accounts.
    pub accounts: Value,
    /// Setting `accounts.revoke_ms` of the relays that are added later.
    pub revoke_ms: Option<u64>,
    /// Limits of callers from the next configuration on; `None` for the default ones.
    pub limits: Option<Value>,
    /// Setting `memory_bytes` of the relays that are added later.
    pub memory_bytes: u64,
    /// Setting `stop.leave_ms` of the relays that are added later.
    pub leave_ms: u64,
    relays: Vec<Relay>,
    program: PathBuf,
    /// Program of an older build, which relays run at every other start.
    older_program: Option<PathBuf>,
    client: Client,
    folder: PathBuf,
    host: IpAddr,
    /// Whether the connections to runners can be cut of the relays that are added later.
    pub is_linked: bool,
    version: u64,
}

impl Harness {
    /// Starts a store, two runners of the service `model`, one of the service `plain`, and relays,
    /// and waits until the relays are ready.
    ///
    /// # Errors
    ///
    /// A process does not start or does not become ready in time.
    pub async fn start(relays: usize) -> Result<Self, Error> {
        Self::start_program(relays, binary("cyclamengrade")?, false).await
    }

    /// The same, with connections of the relays to the runners that can be cut.
    ///
    /// # Errors
    ///
    /// A process does not start or does not become ready in time.
    pub async fn start_linked(relays: usize) -> Result<Self, Error> {
        Self::start_program(relays, binary("cyclamengrade")?, true).await
    }

    /// The same, with relays of which the first `strict` ones have the setting `accounts.revoke_ms`.
    ///
    /// # Errors
    ///
    /// A process does not start or does not become ready in time.
    pub async fn start_strict(strict: usize, relays: usize, revoke_ms: u64) -> Result<Self, Error> {
        let mut harness = Self::start_linked(0).await?;
        for number in 0..relays {
            harness.revoke_ms = (number < strict).then_some(revoke_ms);
            harness.add_relay(number)?;
        }
        for number in 0..relays {
            harness.await_ready(number).await?;
        }
        Ok(harness)
    }

    /// The same, with relays of another build, and connections that can be cut if `is_linked`.
    ///
    /// # Errors
    ///
    /// A process does not start or does not become ready in time.
    pub async fn start_program(
        relays: usize,
        program: PathBuf,
        is_linked: bool,
    ) -> Result<Self, Error> {
        Self::start_mixed(relays, program, None, is_linked).await
    }

    /// The same, with relays that run another program at every other start.
    ///
    /// # Errors
    ///
    /// A process does not start or does not become ready in time.
    pub async fn start_mixed(
        relays: usize,
        program: PathBuf,
        older_program: Option<PathBuf>,
        is_linked: bool,
    ) -> Result<Self, Error> {
        let host = loopback_address();
        let store = Store::start(host).await?;
        let runners = vec![Runner::start(host, "m-1").await?, Runner::start(host, "m-2").await?];
        let plain = Runner::start(host, "p-1").await?;
        for runner in &runners {
            store.put("servers", &runner.id, &runner.entry("model", "ready"));
        }
        store.put("servers", &plain.id, &plain.entry("plain", "ready"));
        let folder = create_folder()?;
        let mut harness = Self {
            store,
            runners,
            plain,
            retention_s: 60,
            max_connections: 100,
            stream_service: "model",
            accounts: Value::Null,
            revoke_ms: None,
            limits: None,
            memory_bytes: 16 << 20,
            leave_ms: 300,
            relays: Vec::new(),
            program,
            older_program,
            client: Client::new(),
            folder,
            host,
            is_linked,
            version: 0,
        };
        harness.configure(json!([]));
        for number in 0..relays {
            harness.add_relay(number)?;
        }
        for number in 0..relays {
            harness.await_ready(number).await?;
        }
        Ok(harness)
    }

    /// Returns the version of the newest configuration.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Writes a new version of the configuration with the default routes and `extra_routes`.
    pub fn configure(&mut self, extra_routes: Value) {
        self.write_configuration(extra_routes, &[]);
    }

    /// Writes a new version of the configuration with the default routes except for those with these names.
    pub fn configure_without(&mut self, names: &[&str]) {
        self.write_configuration(json!([]), names);
    }

    /// Writes a new version of the configuration in which a default route is replaced by `route`.
    pub fn configure_route(&mut self, name: &str, route: &Value) {
        self.write_configuration(json!([route]), &[name]);
    }

    fn write_configuration(&mut self, extra_routes: Value, omitted: &[&str]) {
        self.version += 3;
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
                "TimeoutMs": 5_000, "TargetLatencyMs": 400, "Priority": 0, "MaxAttempts": 2,
                "Service": service, "Resumable": name == "stream", "GapAimMs": 400,
                "CompletionTargetMs": 18_000, "RetentionS": if name == "brief" { 2 } else { self.retention_s }
            })
        };
        let mut routes = vec![
            route("stream", "stream", self.stream_service),
            route("once", "stream", "model"),
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain"),
            route("batch", "batch", "model"),
            route("brief", "batch", "model"),
        ];
        routes.retain(|route| !omitted.iter().any(|name| route["Name"] == *name));
        routes.extend(extra_routes.as_array().cloned().unwrap_or_default());
        let services = json!([
            {"Name": "model", "HealthPath": "/healthz", "MaxConns": self.max_connections},
            {"Name": "other", "HealthPath": "/healthz", "MaxConns": self.max_connections},
            {"Name": "plain", "HealthPath": "/healthz", "MaxConns": self.max_connections}
        ]);
        let default_limits = json!({
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_048_576, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000
        });
        let limits = self.limits.as_ref().unwrap_or(&default_limits);
        let mut manifest = json!({
            "Version": self.version, "Routes": routes, "Services": services, "Limits": limits
        });
        if !self.accounts.is_null() {
            manifest["Tenants"] = self.accounts.clone();
        }
        self.store.put("op", "config", &manifest);
    }

    /// Writes a new version of the configuration that has one more route, of the kind `safe`.
    pub fn add_route(&mut self, name: &str) {
        self.configure(json!([{
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": "safe",
            "TimeoutMs": 5_000, "TargetLatencyMs": 400, "MaxAttempts": 2, "Service": "plain"
        }]));
    }

    /// Writes a new version of the configuration that has further routes which cannot be read, or only in part.
    pub fn add_odd_routes(&mut self) {
        self.configure(json!([
            "odd",
            {"Name": "odd", "PathPrefix": ["/odd/"], "Kind": "safe", "Service": "plain"},
            {
                "Name": 7, "Host": HOST, "PathPrefix": "/odd/", "Kind": "duplex", "TimeoutMs": "long",
                "MaxAttempts": -1, "Split": {}
            }
        ]));
    }

    /// Returns the number of relays so far, including those that do not run.
    pub const fn relays(&self) -> usize {
        self.relays.len()
    }

    /// Starts a further relay; `number` is the number of relays so far.
    ///
    /// # Errors
    ///
    /// The process does not start, or the store cannot listen for it.
    pub fn add_relay(&mut self, number: usize) -> Result<(), Error> {
        // No other process uses the address of this harness, and the system does not assign ports
        // below its ephemeral range.
        let first = FIRST_RELAY_PORT + PORTS_PER_RELAY * number as u16;
        let ports: Vec<SocketAddr> =
            (first..first + PORTS_PER_RELAY).map(|port| (self.host, port).into()).collect();
        let links = self.is_linked.then(|| Arc::new(Links::new(self.host)));
        let store = match &links {
            Some(links) => self.store.serve_links(links.clone())?,
            None => self.store.address,
        };
        let mut settings = json!({
            "name": format!("vm-{number}"), "data_centre": "a", "listen": ports[0],
            "ready_listen": ports[1], "metrics_listen": ports[2], "peer_listen": ports[3],
            "dialect": "bridge", "store": {"address": store, "keep_s": 1},
            "memory_bytes": self.memory_bytes, "stop": {"grace_s": 4.0, "leave_ms": self.leave_ms}
        });
        if let Some(revoke_ms) = self.revoke_ms {
            settings["accounts"] = json!({"revoke_ms": revoke_ms});
        }
        let path = self.folder.join(format!("vm-{number}.json"));
        fs::write(&path, settings.to_string())?;
        self.relays.push(Relay {
            process: None,
            listen: ports[0],
            ready: ports[1],
            peer: ports[3],
            settings: path,
            log: self.folder.join(format!("vm-{number}.log")),
            starts: 0,
            links,
        });
        self.start_relay(number)
    }

    /// Cuts the connections of a relay to all runners, or lets them go on. Without effect if they cannot
    /// be cut.
    pub fn cut_links(&self, relay: usize, cut: Cut) {
        if let Some(links) = &self.relays[relay].links {
            links.set_cut(cut);
        }
    }

    /// Has the store refuse the calls of a relay, or answer them again. Without effect if its connections
    /// cannot be cut.
    pub fn refuse_relay(&self, relay: usize, is_refused: bool) {
        if let Some(links) = &self.relays[relay].links {
            links.set_refused(is_refused);
        }
    }

    /// Starts a runner with a version of the software in a data centre. The relays, which are in the
    /// data centre `a`, do not know it before it is listed.
    ///
    /// # Errors
    ///
    /// The runner cannot listen.
    pub async fn add_runner(
        &mut self,
        id: &str,
        version: &str,
        data_centre: &str,
    ) -> Result<Runner, Error> {
        let runner = Runner::start_version(self.host, id, version, data_centre).await?;
        self.runners.push(runner.clone());
        Ok(runner)
    }

    /// Lists a runner of the service `model` in the store, and waits until a relay knows it.
    ///
    /// # Errors
    ///
    /// The relay does not learn of the runner in time.
    pub async fn list(&self, runner: &Runner, relay: usize) -> Result<(), Error> {
        self.store.put("servers", &runner.id, &runner.entry("model", "ready"));
        self.await_upstream(relay, "upstream_added", &runner.id).await
    }

    /// Removes the entry of a runner, and waits until a relay has dropped it.
    ///
    /// # Errors
    ///
    /// The relay does not learn of it in time.
    pub async fn unlist(&self, runner: &Runner, relay: usize) -> Result<(), Error> {
        self.store.remove("servers", &runner.id);
        self.await_upstream(relay, "upstream_removed", &runner.id).await
    }

    async fn await_upstream(&self, relay: usize, event: &str, id: &str) -> Result<(), Error> {
        self.eventually(&format!("{event} {id}"), async || {
            let lines = self.events(relay, event);
            lines.iter().any(|line| line["upstream"] == id).then_some(())
        })
        .await
    }

    /// Starts the process of a relay that is not running.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub fn start_relay(&mut self, number: usize) -> Result<(), Error> {
        let relay = &mut self.relays[number];
        if relay.starts > 0 {
            fs::rename(&relay.log, relay.log.with_extension(format!("{}.log", relay.starts)))?;
        }
        relay.starts += 1;
        let arguments = ["relay".as_ref(), relay.settings.as_os_str()];
        // The first relay begins with this build, the second one with the older one.
        let program = match &self.older_program {
            Some(older) if (number + relay.starts).is_multiple_of(2) => older,
            _ => &self.program,
        };
        relay.process = Some(Process::start_program(program, arguments, &relay.log)?);
        Ok(())
    }

    /// Kills a relay, if it is running.
    ///
    /// # Errors
    ///
    /// The process cannot be killed.
    pub fn kill_relay(&mut self, number: usize) -> Result<(), Error> {
        if let Some(mut process) = self.relays[number].process.take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Kills several relays at the same moment.
    ///
    /// # Errors
    ///
    /// A process cannot be killed.
    pub fn kill_relays(&mut self, numbers: &[usize]) -> Result<(), Error> {
        for number in numbers {
            if let Some(process) = &mut self.relays[*number].process {
                process.send_kill()?;
            }
        }
        numbers.iter().try_for_each(|number| self.kill_relay(*number))
    }

    /// Copies the logs of the relays, and their settings, to a folder, which is created.
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be written.
    pub fn save_logs(&self, folder: &Path) -> Result<(), Error> {
        fs::create_dir_all(folder)?;
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            fs::copy(entry.path(), folder.join(entry.file_name()))?;
        }
        Ok(())
    }

    /// Stops a relay with SIGSTOP, as if its vm were suspended.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn pause_relay(&self, number: usize) -> Result<(), Error> {
        if let Some(process) = &self.relays[number].process {
            process.pause()?;
        }
        Ok(())
    }

    /// Lets a relay that was stopped with SIGSTOP go on.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn resume_relay(&self, number: usize) -> Result<(), Error> {
        if let Some(process) = &self.relays[number].process {
            process.resume()?;
        }
        Ok(())
    }

    /// Whether the process of a relay runs.
    ///
    /// # Errors
    ///
    /// The state of the process cannot be read.
    pub fn is_running(&mut self, number: usize) -> Result<bool, Error> {
        let Some(process) = &mut self.relays[number].process else { return Ok(false) };
        Ok(process.status()?.is_none())
    }

    /// Returns the largest resident memory that the process of a relay has had, in bytes; `None` if it
    /// does not run.
    pub fn peak_memory(&self, number: usize) -> Option<u64> {
        let id = self.relays[number].process.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kib << 10)
    }

    /// Sends SIGTERM to a relay, which starts its graceful shutdown.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn terminate_relay(&self, number: usize) -> Result<(), Error> {
        if let Some(process) = &self.relays[number].process {
            process.terminate()?;
        }
        Ok(())
    }

    /// Changes the settings file of a relay and sends it SIGHUP to reload them.
    ///
    /// # Errors
    ///
    /// The file cannot be written, or the signal cannot be sent.
    pub fn reload_relay(
        &self,
        number: usize,
        change: impl FnOnce(&mut Value),
    ) -> Result<(), Error> {
        let relay = &self.relays[number];
        let text = fs::read_to_string(&relay.settings)?;
        let mut settings = serde_json::from_str(&text).map_err(io::Error::other)?;
        change(&mut settings);
        fs::write(&relay.settings, settings.to_string())?;
        if let Some(process) = &relay.process {
            process.hang_up()?;
        }
        Ok(())
    }

    /// Stops a relay gracefully and returns its exit code, or `None` if it was not running.
    ///
    /// # Errors
    ///
    /// The process does not end within its grace period of 4 s and one second more.
    pub async fn stop_relay(&mut self, number: usize) -> Result<Option<i32>, Error> {
        let Some(mut process) = self.relays[number].process.take() else { return Ok(None) };
        process.terminate()?;
        let start = Instant::now();
        loop {
            if let Some(status) = process.status()? {
                return Ok(status.code());
            }
            if start.elapsed() > Duration::from_secs(5) {
                return Err(io::Error::other("the relay did not stop within 5 s").into());
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Waits until a relay is ready.
    ///
    /// # Errors
    ///
    /// The relay does not become ready in time. The error shows the end of its log.
    pub async fn await_ready(&self, number: usize) -> Result<(), Error> {
        let ready = async || (self.readiness(number).await == Some(200)).then_some(());
        if let Err(error) = self.eventually("a relay is ready", ready).await {
            let log = fs::read_to_string(&self.relays[number].log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().rev().take(ERROR_LOG_LINES).collect();
            let text = lines.into_iter().rev().collect::<Vec<_>>().join("\n");
            return Err(io::Error::other(format!("{error}; end of its log:\n{text}")).into());
        }
        Ok(())
    }

    /// Returns the address at which a relay accepts requests.
    pub fn address(&self, relay: usize) -> SocketAddr {
        self.relays[relay].listen
    }

    /// Returns the address at which a relay receives the datagrams of other relays.
    pub fn peer_address(&self, relay: usize) -> SocketAddr {
        self.relays[relay].peer
    }

    /// Returns the status of a relay's readiness probe, or `None` if it does not respond.
    pub async fn readiness(&self, number: usize) -> Option<u16> {
        let call = Call::get(self.relays[number].ready, "/-/readyz");
        self.client.send(call).await.ok().map(|reply| reply.status)
    }

    /// Calls `probe` until it returns a value, and returns that value.
    ///
    /// # Errors
    ///
    /// The probe returned no value within the time limit. The error names `condition`.
    pub async fn eventually<T>(
        &self,
        condition: &str,
        probe: impl AsyncFn() -> Option<T>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(found) = probe().await {
                return Ok(found);
            }
            sleep(POLL_PERIOD).await;
        }
        Err(io::Error::other(format!("not reached within {WAIT_TIMEOUT:?}: {condition}")).into())
    }

    /// Builds a request to a relay on a route, with a deadline of 4 s and the id as its body.
    pub fn call(&self, relay: usize, route: &str, id: &str) -> Call {
        Call::post(self.relays[relay].listen, format!("/{route}/path"))
            .with_header("host", HOST)
            .with_header("request-id", id)
            .with_header("deadline-ms", "4000")
            .with_body(id.to_owned())
    }

    /// Requests a stream of `events` events on a route and reads it to its end.
    pub async fn stream(
        &self,
        relay: usize,
        route: &str,
        id: &str,
        events: u64,
    ) -> Result<Reply, crate::client::Error> {
        let call = self.call(relay, route, id).with_header("token-counts", format!("10,{events}"));
        self.client.send(call).await
    }

    pub async fn send(&self, call: Call) -> Result<Reply, crate::client::Error> {
        self.client.send(call).await
    }

    /// Submits a job of `count` items on the route `batch`. Returns it with the status of the
    /// response.
    pub async fn submit(
        &self,
        relay: usize,
        id: &str,
        count: usize,
        events: u64,
    ) -> Result<(Job, u16), crate::client::Error> {
        self.submit_to(relay, "batch", id, count, events).await
    }

    /// Submits a job on a route. Returns it with the status of the response. On the route `brief`,
    /// items may be abandoned after 2 s, and jobs are deleted a second later.
    pub async fn submit_to(
        &self,
        relay: usize,
        route: &str,
        id: &str,
        count: usize,
        events: u64,
    ) -> Result<(Job, u16), crate::client::Error> {
        let (job, reply) = self.submission(relay, route, id, count, events).await?;
        Ok((job, reply.status))
    }

    /// Submits a job on a route. Returns it with the response.
    pub async fn submission(
        &self,
        relay: usize,
        route: &str,
        id: &str,
        count: usize,
        events: u64,
    ) -> Result<(Job, Reply), crate::client::Error> {
        let job = Job::new(id, count);
        let call = job.submission(self.relays[relay].listen, route, events);
        let reply = self.client.send(call).await?;
        Ok((job, reply))
    }

    /// Submits a job on the route `batch` whose items have the given ids and shared parts of their
    /// prompts. Returns the status of the response.
    pub async fn submit_prompts(
        &self,
        relay: usize,
        id: &str,
        items: &[(&str, &str)],
        events: u64,
    ) -> Result<u16, crate::client::Error> {
        let entries = items.iter().map(|(item, part)| {
            json!({
                "Id": item, "Path": "/batch/item", "Tokens": 10 + events,
                "Headers": {
                    "Token-Counts": format!("10,{events}"),
                    "Prompt-Prefix": format!("{part},{item}:3")
                },
                "Body": STANDARD.encode(item)
            })
        });
        let body = json!({"Items": entries.collect::<Vec<_>>()});
        let call = Call::post(self.relays[relay].listen, format!("/batch/{id}"))
            .with_header("host", HOST)
            .with_header("request-id", id)
            .with_json(&body);
        Ok(self.client.send(call).await?.status)
    }

    /// Requests the results of a job after a position; the relay waits up to 500 ms for new ones.
    pub async fn results(
        &self,
        relay: usize,
        id: &str,
        after: usize,
    ) -> Result<Reply, crate::client::Error> {
        let call = Call::get(self.relays[relay].listen, format!("/-/lots/{id}?After={after}"))
            .with_header("host", HOST)
            .with_header("wait-ms", "500");
        self.client.send(call).await
    }

    /// Requests the result body of an item.
    pub async fn item(
        &self,
        relay: usize,
        job: &str,
        item: &str,
    ) -> Result<Reply, crate::client::Error> {
        let call = Call::get(self.relays[relay].listen, format!("/-/items/{job}?Id={item}"));
        self.client.send(call.with_header("host", HOST)).await
    }

    /// Sends the `DELETE` request that ends a job.
    pub async fn end_job(&self, relay: usize, job: &str) -> Result<Reply, crate::client::Error> {
        let path = format!("/-/lots/{job}");
        let call = Call::new(hyper::Method::DELETE, self.relays[relay].listen, path);
        self.client.send(call.with_header("host", HOST)).await
    }

    /// Waits until every item of a job has a result, and returns the results in their order.
    ///
    /// # Errors
    ///
    /// An item has no result in time.
    pub async fn await_results(&self, relay: usize, job: &Job) -> Result<Vec<Value>, Error> {
        self.eventually("all results of a job", async || {
            let page: Value = self.results(relay, &job.id, 0).await.ok()?.json().ok()?;
            let results = page["Results"].as_array()?;
            (results.len() == job.items.len()).then(|| results.clone())
        })
        .await
    }

    /// Returns the ids of the items whose text has all of its `events` events.
    pub fn complete_items(results: &[Value], events: u64) -> Vec<&str> {
        let texts: Vec<String> = (1..=events).map(|event| format!("piece {event}")).collect();
        let text = texts.join("\n");
        let complete = results.iter().filter(|result| result["Text"] == text.as_str());
        complete.filter_map(|result| result["Id"].as_str()).collect()
    }

    /// Returns the log of a relay.
    pub fn log(&self, relay: usize) -> String {
        fs::read_to_string(&self.relays[relay].log).unwrap_or_default()
    }

    /// Returns the lines of a relay's log that have this event name.
    pub fn events(&self, relay: usize, name: &str) -> Vec<Value> {
        let text = self.log(relay);
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["name"] == name).collect()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.relays.clear();
        // A temporary folder that cannot be removed does no harm.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}
