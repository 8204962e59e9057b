//! Inputs and actions of the order decisions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::Document;
use serde::{Deserialize, Serialize};

use crate::fleet::Vm;

/// Content of an upstream's order row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Daemon that gives the orders.
    pub holder: String,
    /// Epoch of that daemon.
    pub epoch: u64,
    /// Fencing number.
    pub fence: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; sent every second.
    Tick,
    /// The configuration or the list of vms changed.
    Fleet {
        /// Vms that serve as upstreams.
        vms: Arc<Vec<Vm>>,
        /// Configuration in force.
        document: Arc<Document>,
    },
    /// The set of live daemons changed, this one included.
    Members(Vec<String>),
    /// An upstream reported the models that it has.
    Models {
        /// Name of the upstream.
        upstream: String,
        /// Labels of the models.
        models: Vec<String>,
    },
    /// The row of an upstream was read.
    RowRead {
        /// Name of the upstream.
        upstream: String,
        /// Version and content of the row; version zero when there is none.
        row: Option<(u64, Option<Ownership>)>,
    },
    /// The claim of a row ended.
    Claimed {
        /// Name of the upstream.
        upstream: String,
        /// Whether this daemon holds the row now.
        held: bool,
    },
    /// An order was answered, or was not.
    Ordered {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream accepted the order.
        accepted: bool,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the row of an upstream.
    ReadRow {
        /// Name of the upstream.
        upstream: String,
    },
    /// Write the row of an upstream if it still has this version.
    Claim {
        /// Name of the upstream.
        upstream: String,
        /// Version of the row; zero when there is none.
        version: u64,
        /// New content.
        ownership: Ownership,
    },
    /// Send an order, provided that this daemon's lease has not ended.
    Order {
        /// Name of the upstream.
        upstream: String,
        /// Address of the upstream.
        address: SocketAddr,
        /// Fencing number.
        fence: u64,
        /// Labels of the models to have.
        models: Vec<String>,
    },
}

/// Parameters of the order decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Epoch of this daemon.
    pub epoch: u64,
    /// Time for which a claimed row is trusted without reading it again.
    pub lease: Duration,
    /// Additional time before a new holder gives its first order to an upstream that ignores
    /// fencing numbers.
    pub margin: Duration,
    /// Longest time that a request can need a version after requests have moved to another one.
    pub longest_request: Duration,
}
