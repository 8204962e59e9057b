//! Inputs, actions and settings of the order state machine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::Document;
use serde::{Deserialize, Serialize};

use crate::fleet::Vm;

/// Content of an upstream's order row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Daemon that sends the orders.
    pub holder: String,
    /// Epoch of that daemon's process.
    pub epoch: u64,
    /// Fencing number, which every new holder increases. Orders carry it, so that the upstream can
    /// refuse those of earlier holders.
    pub fence: u64,
}

/// Event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; sent every second.
    Tick,
    /// The configuration or the list of vms has changed.
    Fleet {
        /// Vms that serve as upstreams.
        vms: Arc<Vec<Vm>>,
        /// Configuration in force.
        document: Arc<Document>,
    },
    /// The set of live daemons has changed; includes this daemon.
    Members(Vec<String>),
    /// An upstream has reported the models that it has loaded.
    Models {
        /// Name of the upstream.
        upstream: String,
        /// Labels of the loaded models.
        models: Vec<String>,
    },
    /// The read of an upstream's row has ended.
    RowRead {
        /// Name of the upstream.
        upstream: String,
        /// Version and content of the row, version 0 if there is none; `None` if the read failed.
        row: Option<(u64, Option<Ownership>)>,
    },
    /// The claim of an upstream's row has ended.
    Claimed {
        /// Name of the upstream.
        upstream: String,
        /// Whether this daemon now holds the row.
        held: bool,
    },
    /// An order has been accepted or refused, or got no answer.
    Ordered {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream accepted the order; false also if it did not answer.
        accepted: bool,
    },
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the row of an upstream and pass the result back as `Input::RowRead`.
    ReadRow {
        /// Name of the upstream.
        upstream: String,
    },
    /// Write the row of an upstream if it still has this version, and pass the result back as
    /// `Input::Claimed`.
    Claim {
        /// Name of the upstream.
        upstream: String,
        /// Expected version of the row; 0 if there is none.
        version: u64,
        /// New content of the row.
        ownership: Ownership,
    },
    /// Send an order, unless this daemon's lease has ended.
    Order {
        /// Name of the upstream.
        upstream: String,
        /// Address of the upstream.
        address: SocketAddr,
        /// Fencing number under which this daemon holds the row.
        fence: u64,
        /// Labels of the models that the upstream must have loaded.
        models: Vec<String>,
    },
}

/// Parameters of the order decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub daemon: String,
    /// Epoch of this daemon's process.
    pub epoch: u64,
    /// Time for which a claimed row is trusted without reading it again.
    pub lease: Duration,
    /// Additional time that a new holder waits before its first order to an upstream that ignores
    /// fencing numbers.
    pub margin: Duration,
    /// Maximum duration of a request, and so the time for which a request may still need a version
    /// after new requests have moved to another one.
    pub longest_request: Duration,
}
