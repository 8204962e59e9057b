//! State and handles that the parts of one daemon share.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use cyclamengrade_configuration::Document;
pub use cyclamengrade_control::drain::Phase;
use cyclamengrade_control::{fleet::Vm, time::Time, traffic::Demand};
use cyclamengrade_platform as platform;
use cyclamengrade_settings as settings;
use tokio::{runtime::Handle, sync::watch};

/// Service name of daemons in the platform's list of vms.
pub const SERVICE: &str = "cyclamengrade";

/// What the parts of a daemon share.
pub struct Node {
    /// Settings of the process.
    pub settings: settings::Daemon,
    /// The platform's table service.
    pub table: Arc<dyn platform::Table>,
    /// The platform's object store.
    pub objects: Arc<dyn platform::Objects>,
    /// The platform's list of vms.
    pub vms: Arc<dyn platform::Vms>,
    /// Clock for all decisions.
    pub clock: Clock,
    /// Runtime of the traffic threads.
    pub traffic: Handle,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<Accepted>>,
    /// Vms as the platform listed them last.
    pub fleet: watch::Receiver<Arc<Vec<Vm>>>,
    /// Live daemons, this one included.
    pub members: watch::Receiver<Arc<Members>>,
    /// Phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// A configuration revision in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accepted {
    /// Number; zero before the first.
    pub revision: u64,
    /// Document.
    pub document: Arc<Document>,
}

/// Live daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Members {
    /// Live daemons in order of name, this one included.
    pub daemons: Vec<Member>,
    /// Demand that the other daemons reported.
    pub demand: Vec<Demand>,
}

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// Monotonic clock whose origin is the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Wall-clock time in milliseconds since the Unix epoch, for records only.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
