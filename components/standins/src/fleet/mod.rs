//! Test fleet of daemons, a platform and upstreams, each in a process of its own.

mod calls;
mod harness;
mod ledger;
mod plan;
mod standin;

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

pub use cyclamengrade_caller::backend::{Item, ItemResult, Job, JobState, Upstream};
use cyclamengrade_platform::{Vm, table::Row};
use serde_json::{Value, json};
use tokio::time::sleep;

pub use self::{
    calls::{Answer, Completion, complete, submit},
    harness::{Harness, items},
    ledger::{Ledger, Outcome},
    plan::{CLIENT, DEPLOYMENT, MODEL, Plan, SERVICE, TOKEN, VERSION, merge},
    standin::Standin,
};
use crate::{
    client::{self, Call, Client},
    process::{Process, lock_spawns},
};

/// Time limit for waiting for a condition of the fleet.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
pub const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Environment variable that, if set, keeps the temporary folder with settings and logs.
pub const KEEP_LOGS_VARIABLE: &str = "CYCLAMENGRADE_KEEP_LOGS";

/// Failure of an operation on a fleet.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// process or file operation failed: {0}
    Io(io::Error),
    /// call failed: {0}
    Call(client::Error),
    /// call refused with status {0}: {1}
    Refused(u16, String),
    /// condition not reached within {1:?}: {0}
    Timeout(String, Duration),
    /// replies to callers contradict what the stand-ins ran: {0:#?}
    Contradictions(Vec<String>),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Call(error)
    }
}

/// A daemon of the fleet.
#[derive(Debug)]
pub struct Daemon {
    /// Name of its vm.
    pub name: String,
    pub data_centre: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// The process, or `None` before the first start and after it was killed or stopped.
    pub process: Option<Process>,
    settings: PathBuf,
    starts: u32,
}

/// A running fleet. Dropping it kills all processes and removes their files, unless
/// [`KEEP_LOGS_VARIABLE`] is set.
#[derive(Debug)]
pub struct Fleet {
    pub client: Client,
    pub platform: Standin,
    pub daemons: Vec<Daemon>,
    pub engines: Vec<Standin>,
    /// Stand-ins for upstreams that are no model engines.
    pub services: Vec<Standin>,
    /// Names of the upstreams that [`Self::publish_vms`] marks as leaving.
    pub leaving: Vec<String>,
    plan: Plan,
    folder: PathBuf,
    host: IpAddr,
}

impl Fleet {
    /// Starts all processes, applies the configuration, and waits until the daemons are ready and
    /// see all upstreams.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let folder = create_folder()?;
        let host = loopback_address();
        let standin = binary("standin")?;
        let launch = |kind: &str, name: String, data_centre: &str, arguments: &[String]| {
            Standin::start(&standin, kind, name, data_centre, arguments, &folder)
        };
        let platform = launch("platform", "platform".into(), "", &plan.platform_arguments)?;
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let name = format!("{DEPLOYMENT}-{}", number + 1);
            let centre = plan.data_centre(number);
            engines.push(launch("engine", name, centre, &plan.engine_arguments(number))?);
        }
        let mut services = Vec::new();
        for number in 0..plan.services {
            let name = format!("{SERVICE}-{}", number + 1);
            let centre = plan.data_centre(number);
            services.push(launch("service", name, centre, &plan.service_arguments)?);
        }
        let (client, daemons, leaving) = (Client::new(), Vec::new(), Vec::new());
        let mut fleet =
            Self { client, platform, daemons, engines, services, leaving, plan, folder, host };
        for number in 0..fleet.plan.daemons {
            fleet.add_daemon(number)?;
        }
        fleet.publish_vms().await?;
        for number in 0..fleet.daemons.len() {
            fleet.start_daemon(number)?;
        }
        fleet.await_status("/livez", 200).await?;
        fleet.apply(fleet.plan.document.clone()).await?;
        fleet.await_status("/readyz", 200).await?;
        fleet.await_upstreams().await?;
        Ok(fleet)
    }

    /// Returns the folder with the settings and logs of all processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the list of vms to the platform.
    pub async fn publish_vms(&self) -> Result<(), Error> {
        let daemons = self.daemons.iter().map(|daemon| Vm {
            name: daemon.name.clone(),
            address: daemon.peer_address,
            data_centre: daemon.data_centre.clone(),
            service: "cyclamengrade".into(),
            leaving: false,
        });
        let upstreams = self.engines.iter().map(|engine| (engine, DEPLOYMENT));
        let services = self.services.iter().map(|service| (service, SERVICE));
        let upstreams = upstreams.chain(services).map(|(standin, service)| Vm {
            name: standin.name.clone(),
            address: standin.address,
            data_centre: standin.data_centre.clone(),
            service: service.into(),
            leaving: self.leaving.contains(&standin.name),
        });
        let vms: Vec<_> = daemons.chain(upstreams).collect();
        let call = Call::post(self.platform.address, "/_vms").with_json(&json!({"vms": vms}));
        expect_status(self.client.send(call).await?, 204)?;
        Ok(())
    }

    /// Applies a configuration document on top of the newest revision and returns the new revision.
    /// Repeats failed attempts with the same change id until the time limit.
    pub async fn apply(&self, document: Value) -> Result<u64, Error> {
        let start = Instant::now();
        let change_id = format!("change-{}-{:?}", process::id(), start);
        loop {
            let result = self.try_apply(&document, &change_id).await;
            match result {
                Ok(revision) => return Ok(revision),
                Err(error) if start.elapsed() > WAIT_TIMEOUT => return Err(error),
                Err(_) => sleep(POLL_PERIOD).await,
            }
        }
    }

    async fn try_apply(&self, document: &Value, change_id: &str) -> Result<u64, Error> {
        let daemon = &self.daemons[0];
        let call = Call::get(daemon.address, "/admin/config").with_timeout(Duration::from_secs(5));
        let current: Value =
            expect_status(self.client.send(self.with_admin_token(call)).await?, 200)?.json()?;
        let change = json!({
            "expected_revision": current["revision"],
            "change_id": change_id,
            "author": "fleet",
            "document": document,
        });
        let call = Call::post(daemon.address, "/admin/config")
            .with_json(&change)
            .with_timeout(Duration::from_secs(5));
        let accepted: Value =
            expect_status(self.client.send(self.with_admin_token(call)).await?, 200)?.json()?;
        Ok(accepted["revision"].as_u64().unwrap_or(0))
    }

    /// Waits until `GET path` gives this status at every running daemon.
    pub async fn await_status(&self, path: &str, status: u16) -> Result<(), Error> {
        for number in 0..self.daemons.len() {
            if self.daemons[number].process.is_some() {
                self.await_daemon(number, path, status).await?;
            }
        }
        Ok(())
    }

    /// Waits until `GET path` gives this status at one daemon.
    pub async fn await_daemon(&self, number: usize, path: &str, status: u16) -> Result<(), Error> {
        let daemon = &self.daemons[number];
        let what = format!("{path} of {} with status {status}", daemon.name);
        self.eventually(&what, async || {
            let call = Call::get(daemon.address, path).with_timeout(Duration::from_secs(2));
            let reply = self.client.send(call).await.ok()?;
            (reply.status == status).then_some(())
        })
        .await
    }

    /// Waits until every running daemon sees as many ready upstreams as are not leaving.
    pub async fn await_upstreams(&self) -> Result<(), Error> {
        let expected = self.engines.len() + self.services.len() - self.leaving.len();
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
            let what = format!("{expected} ready upstreams at {}", daemon.name);
            self.eventually(&what, async || {
                let upstreams = self.upstreams(daemon.address).await.ok()?;
                let ready = upstreams.iter().filter(|upstream| upstream.state == "ready");
                (ready.count() >= expected).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the upstreams as a daemon sees them.
    pub async fn upstreams(&self, daemon: SocketAddr) -> Result<Vec<Upstream>, Error> {
        let call = Call::get(daemon, "/admin/upstreams").with_timeout(Duration::from_secs(2));
        Ok(expect_status(self.client.send(self.with_admin_token(call)).await?, 200)?.json()?)
    }

    /// Adds the operators' token, if the settings have one.
    fn with_admin_token(&self, call: Call) -> Call {
        match self.plan.settings["admin_token"].as_str() {
            Some(token) => call.with_token(token),
            None => call,
        }
    }

    /// Calls `probe` until it returns a value, and returns that value.
    ///
    /// # Errors
    ///
    /// The probe returned no value within [`WAIT_TIMEOUT`]. The error names `condition`.
    pub async fn eventually<T>(
        &self,
        condition: &str,
        mut probe: impl AsyncFnMut() -> Option<T>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        loop {
            if let Some(value) = probe().await {
                return Ok(value);
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(Error::Timeout(condition.into(), WAIT_TIMEOUT));
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the rows of the platform's table with this key prefix. Injected faults do not affect
    /// this call.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let call = Call::get(self.platform.address, format!("/_rows?{prefix}"));
        let mut rows: Value = expect_status(self.client.send(call).await?, 200)?.json()?;
        serde_json::from_value(rows["rows"].take())
            .map_err(|error| client::Error::Malformed(error.to_string()).into())
    }

    /// Starts a daemon, for the first time or after it was killed or stopped. Each start has a log
    /// file of its own.
    pub fn start_daemon(&mut self, number: usize) -> Result<(), Error> {
        let program = binary("cyclamengrade")?;
        let daemon = &mut self.daemons[number];
        daemon.starts += 1;
        let log = self.folder.join(format!("{}.{}.log", daemon.name, daemon.starts));
        let arguments = ["daemon".as_ref(), daemon.settings.as_os_str()];
        daemon.process = Some(Process::start_program(&program, arguments, &log)?);
        Ok(())
    }

    /// Kills a daemon, if it is running.
    pub fn kill_daemon(&mut self, number: usize) -> Result<(), Error> {
        match self.daemons[number].process.take() {
            Some(mut process) => Ok(process.kill()?),
            None => Ok(()),
        }
    }

    /// Stops a daemon gracefully and returns its exit code, or `None` if it was not running.
    pub async fn stop_daemon(&mut self, number: usize) -> Result<Option<i32>, Error> {
        let Some(mut process) = self.daemons[number].process.take() else { return Ok(None) };
        process.terminate()?;
        let start = Instant::now();
        loop {
            if let Some(status) = process.status()? {
                return Ok(status.code());
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(Error::Timeout("the end of a daemon".into(), WAIT_TIMEOUT));
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the process of a running daemon.
    pub fn process(&self, number: usize) -> Result<&Process, Error> {
        let daemon = &self.daemons[number];
        let missing = || io::Error::other(format!("{} is not running", daemon.name));
        Ok(daemon.process.as_ref().ok_or_else(missing)?)
    }

    /// Writes the settings of a new daemon, without starting it.
    fn add_daemon(&mut self, number: usize) -> Result<(), Error> {
        let name = format!("entry-{}", number + 1);
        let data_centre = self.plan.data_centre(number).to_owned();
        let mut taken: Vec<SocketAddr> = Vec::new();
        for daemon in &self.daemons {
            taken.extend([daemon.address, daemon.peer_address]);
        }
        let address = free_port(self.host, &taken)?;
        taken.push(address);
        let peer_address = free_port(self.host, &taken)?;
        let platform = self.platform.address;
        let mut settings = self.plan.settings.clone();
        merge(
            &mut settings,
            &json!({
                "name": name,
                "data_centre": data_centre,
                "listen": address,
                "peer_listen": peer_address,
                "platform": {"table": platform, "objects": platform, "vms": platform},
            }),
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        self.daemons.push(Daemon {
            name,
            data_centre,
            address,
            peer_address,
            process: None,
            settings: file,
            starts: 0,
        });
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if env::var_os(KEEP_LOGS_VARIABLE).is_some() {
            eprintln!("settings and logs: {}", self.folder.display());
            return;
        }
        // A temporary folder that cannot be removed does no harm.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the reply if it has the expected status.
///
/// # Errors
///
/// The reply has another status.
pub fn expect_status(reply: client::Reply, status: u16) -> Result<client::Reply, Error> {
    match reply.status == status {
        true => Ok(reply),
        false => Err(Error::Refused(reply.status, reply.text())),
    }
}

/// Returns the path of a program that was built together with the running one.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let path = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    let missing =
        || io::Error::other(format!("{name} is not built; run `cargo build --workspace`"));
    Ok(path.ok_or_else(missing)?)
}

/// Creates a temporary folder with a name of its own.
pub(crate) fn create_folder() -> Result<PathBuf, Error> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("cyclamengrade-fleet-{}-{number}", process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Returns a loopback address that no other fleet uses, so that a port that was found free for a
/// daemon is not taken by another process before the daemon binds it.
pub(crate) fn loopback_address() -> IpAddr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, 1 + last % 250))
}

/// Returns an address of `host` whose port is free for TCP and UDP and not in `taken`.
pub(crate) fn free_port(host: IpAddr, taken: &[SocketAddr]) -> Result<SocketAddr, Error> {
    let _guard = lock_spawns();
    loop {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        // The system may return a port in `taken`, because its daemon has not started yet.
        if !taken.contains(&address) && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
