//! A fleet of daemons, platform and upstreams, each in a process of its own.

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
    process::{Process, hold_starts},
};

/// Longest wait for a condition of the fleet.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
pub const POLL: Duration = Duration::from_millis(25);

/// Environment variable that keeps the temporary folder with settings and logs.
pub const KEEP: &str = "CYCLAMENGRADE_KEEP_LOGS";

/// Why a fleet did not do what was asked.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// a process failed: {0}
    Io(io::Error),
    /// a call failed: {0}
    Call(client::Error),
    /// a call was answered with status {0}: {1}
    Refused(u16, String),
    /// {0} was not reached within {1:?}
    Limit(String, Duration),
    /// callers were told something else than what happened: {0:#?}
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

/// One daemon process.
#[derive(Debug)]
pub struct Daemon {
    /// Name of its vm.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// The process; absent after it was killed or stopped.
    pub process: Option<Process>,
    settings: PathBuf,
    starts: u32,
}

/// A running fleet. All processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Client for all calls.
    pub client: Client,
    /// The platform.
    pub platform: Standin,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The model engines.
    pub engines: Vec<Standin>,
    /// The plain services.
    pub services: Vec<Standin>,
    /// Names of upstreams that the list of vms shows as leaving.
    pub leaving: Vec<String>,
    plan: Plan,
    folder: PathBuf,
    host: IpAddr,
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until the daemons serve.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let folder = folder()?;
        let host = own_address();
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

    /// Folder with settings and logs.
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
        expect(self.client.send(call).await?, 204)?;
        Ok(())
    }

    /// Applies a document on top of the newest revision; returns the new revision.
    pub async fn apply(&self, document: Value) -> Result<u64, Error> {
        let start = Instant::now();
        let change_id = format!("change-{}-{:?}", process::id(), start);
        loop {
            let result = self.try_apply(&document, &change_id).await;
            match result {
                Ok(revision) => return Ok(revision),
                Err(error) if start.elapsed() > LIMIT => return Err(error),
                Err(_) => sleep(POLL).await,
            }
        }
    }

    async fn try_apply(&self, document: &Value, change_id: &str) -> Result<u64, Error> {
        let daemon = &self.daemons[0];
        let call = Call::get(daemon.address, "/admin/config").with_timeout(Duration::from_secs(5));
        let current: Value = expect(self.client.send(self.admin(call)).await?, 200)?.json()?;
        let change = json!({
            "expected_revision": current["revision"],
            "change_id": change_id,
            "author": "fleet",
            "document": document,
        });
        let call = Call::post(daemon.address, "/admin/config")
            .with_json(&change)
            .with_timeout(Duration::from_secs(5));
        let accepted: Value = expect(self.client.send(self.admin(call)).await?, 200)?.json()?;
        Ok(accepted["revision"].as_u64().unwrap_or(0))
    }

    /// Waits until a probe of every running daemon gives the status.
    pub async fn await_status(&self, path: &str, status: u16) -> Result<(), Error> {
        for number in 0..self.daemons.len() {
            if self.daemons[number].process.is_some() {
                self.await_daemon(number, path, status).await?;
            }
        }
        Ok(())
    }

    /// Waits until a probe of one daemon gives the status.
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

    /// Waits until every running daemon sees every upstream as ready.
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

    /// The upstreams as a daemon sees them.
    pub async fn upstreams(&self, daemon: SocketAddr) -> Result<Vec<Upstream>, Error> {
        let call = Call::get(daemon, "/admin/upstreams").with_timeout(Duration::from_secs(2));
        Ok(expect(self.client.send(self.admin(call)).await?, 200)?.json()?)
    }

    /// Adds the operators' token, when the settings have one.
    fn admin(&self, call: Call) -> Call {
        match self.plan.settings["admin_token"].as_str() {
            Some(token) => call.with_token(token),
            None => call,
        }
    }

    /// Waits until the probe gives a value.
    pub async fn eventually<T>(
        &self,
        what: &str,
        mut probe: impl AsyncFnMut() -> Option<T>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        loop {
            if let Some(value) = probe().await {
                return Ok(value);
            }
            if start.elapsed() > LIMIT {
                return Err(Error::Limit(what.into(), LIMIT));
            }
            sleep(POLL).await;
        }
    }

    /// Rows of the platform's table, whatever its faults.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let call = Call::get(self.platform.address, format!("/_rows?{prefix}"));
        let mut rows: Value = expect(self.client.send(call).await?, 200)?.json()?;
        serde_json::from_value(rows["rows"].take())
            .map_err(|error| client::Error::Malformed(error.to_string()).into())
    }

    /// Starts a daemon, for the first time or again after it has ended.
    pub fn start_daemon(&mut self, number: usize) -> Result<(), Error> {
        let program = binary("cyclamengrade")?;
        let daemon = &mut self.daemons[number];
        daemon.starts += 1;
        let log = self.folder.join(format!("{}.{}.log", daemon.name, daemon.starts));
        let arguments = ["daemon".as_ref(), daemon.settings.as_os_str()];
        daemon.process = Some(Process::program(&program, arguments, &log)?);
        Ok(())
    }

    /// Kills a daemon.
    pub fn kill_daemon(&mut self, number: usize) -> Result<(), Error> {
        match self.daemons[number].process.take() {
            Some(mut process) => Ok(process.kill()?),
            None => Ok(()),
        }
    }

    /// Asks a daemon to end, waits until it has and returns its exit code.
    pub async fn stop_daemon(&mut self, number: usize) -> Result<Option<i32>, Error> {
        let Some(mut process) = self.daemons[number].process.take() else { return Ok(None) };
        process.terminate()?;
        let start = Instant::now();
        loop {
            if let Some(status) = process.status()? {
                return Ok(status.code());
            }
            if start.elapsed() > LIMIT {
                return Err(Error::Limit("the end of a daemon".into(), LIMIT));
            }
            sleep(POLL).await;
        }
    }

    /// The process of a daemon that runs.
    pub fn process(&self, number: usize) -> Result<&Process, Error> {
        let daemon = &self.daemons[number];
        let missing = || io::Error::other(format!("{} does not run", daemon.name));
        Ok(daemon.process.as_ref().ok_or_else(missing)?)
    }

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
        if env::var_os(KEEP).is_some() {
            eprintln!("settings and logs: {}", self.folder.display());
            return;
        }
        // A folder that stays behind does no harm.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// Fails unless the status is the expected one.
pub fn expect(reply: client::Reply, status: u16) -> Result<client::Reply, Error> {
    match reply.status == status {
        true => Ok(reply),
        false => Err(Error::Refused(reply.status, reply.text())),
    }
}

/// Path of a program that was built together with the running one.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let path = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    let missing =
        || io::Error::other(format!("{name} is not built; run `cargo build --workspace`"));
    Ok(path.ok_or_else(missing)?)
}

/// A new temporary folder.
pub(crate) fn folder() -> Result<PathBuf, Error> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("cyclamengrade-fleet-{}-{number}", process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// A loopback address of this fleet alone, so that a port that was found free for a daemon is not
/// taken by another process before the daemon binds it.
pub(crate) fn own_address() -> IpAddr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, 1 + last % 250))
}

/// A port that is free for TCP and UDP.
pub(crate) fn free_port(host: IpAddr, taken: &[SocketAddr]) -> Result<SocketAddr, Error> {
    let _held = hold_starts();
    loop {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        // The system may give the port of a daemon that has not started yet once more.
        if !taken.contains(&address) && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
