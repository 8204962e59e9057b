//! State and handles that the components of one daemon share.

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

/// Name of the service under which the platform lists the vms that run a daemon.
pub const SERVICE: &str = "cyclamengrade";

/// State and handles that the components of a daemon share.
pub struct Node {
    pub settings: settings::Daemon,
    /// The platform's table service.
    pub table: Arc<dyn platform::Table>,
    /// The platform's object store.
    pub objects: Arc<dyn platform::Objects>,
    /// The platform's list of vms.
    pub vms: Arc<dyn platform::Vms>,
    /// Clock of all state machines.
    pub clock: Clock,
    /// Multi-threaded runtime for requests and other I/O; the state machines run on the control
    /// thread.
    pub traffic: Handle,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Last list of vms that the platform returned.
    pub fleet: watch::Receiver<Arc<Vec<Vm>>>,
    /// Live daemons, including this one, and the demand at the others.
    pub members: watch::Receiver<Arc<Members>>,
    /// Lifecycle phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// The configuration revision that is in force at this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Number of the revision; 0 before the first one.
    pub revision: u64,
    pub document: Arc<Document>,
}

/// The live daemons, and the demand at those other than this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Members {
    /// Live daemons, including this one, sorted by name.
    pub daemons: Vec<Member>,
    /// Estimated total demand at the other live daemons, in requests per second by client and
    /// deployment.
    pub demand: Vec<Demand>,
}

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    pub data_centre: String,
}

/// Monotonic clock whose origin is the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch. It can jump, so it must
    /// not be used to measure durations.
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
