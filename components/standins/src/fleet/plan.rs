//! What a fleet consists of.

use cyclamengrade_configuration::{Client, Deployment, Document, Model, Version};
use serde_json::{Value, json};

/// Deployment of the engines.
pub const DEPLOYMENT: &str = "telaio-lm";

/// Deployment of the plain services.
pub const SERVICE: &str = "print-relay";

/// Model of the engines.
pub const MODEL: &str = "telaio";

/// Version of the model.
pub const VERSION: &str = "7";

/// Client account of all calls.
pub const CLIENT: &str = "tessiture";

/// Bearer token of the client account.
pub const TOKEN: &str = "token-of-tessiture";

/// What a fleet consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Data centres, which vms take in turn.
    pub data_centres: Vec<String>,
    /// Arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Arguments of the services.
    pub service_arguments: Vec<String>,
    /// Settings of the daemons without names and addresses.
    pub settings: Value,
    /// Configuration document.
    pub document: Value,
    arguments: Vec<String>,
}

impl Plan {
    /// A fleet with short periods, so that failures are noticed within seconds.
    pub fn new(daemons: usize, engines: usize, services: usize) -> Self {
        let settings = json!({
            "platform": {"timeout_ms": 1_000},
            "peer": {"probe_period_ms": 200, "probe_timeout_ms": 80, "suspicion_ms": 800},
            "lease": {"length_ms": 2_000, "renewal_ms": 500, "margin_ms": 500},
            "timers": {
                "config_poll_ms": 200,
                "vms_poll_ms": 200,
                "load_poll_ms": 200,
                "jobs_poll_ms": 200,
                "leave_ms": 300,
                "drain_ms": 20_000,
            },
            "policy": {"seed": 1},
        });
        Self {
            daemons,
            engines,
            services,
            data_centres: ["biella", "como", "bergamo"].map(Into::into).to_vec(),
            platform_arguments: Vec::new(),
            service_arguments: Vec::new(),
            settings,
            document: serde_json::to_value(document()).unwrap_or_default(),
            arguments: Vec::new(),
        }
    }

    /// Changes settings of the daemons.
    pub fn with_settings(mut self, settings: &Value) -> Self {
        merge(&mut self.settings, settings);
        self
    }

    /// Changes the configuration document.
    pub fn with_document(mut self, document: &Value) -> Self {
        merge(&mut self.document, document);
        self
    }

    /// Adds arguments of the engines.
    pub fn with_engine_arguments<I: IntoIterator<Item: Into<String>>>(
        mut self,
        arguments: I,
    ) -> Self {
        self.arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    /// Adds arguments of the platform.
    pub fn with_platform_arguments<I: IntoIterator<Item: Into<String>>>(
        mut self,
        arguments: I,
    ) -> Self {
        self.platform_arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    /// Data centre of the vm with this number.
    pub fn data_centre(&self, number: usize) -> &str {
        match self.data_centres.len() {
            0 => "biella",
            count => &self.data_centres[number % count],
        }
    }

    /// All arguments of an engine.
    pub(super) fn engine_arguments(&self, _number: usize) -> Vec<String> {
        let mut arguments = vec!["--models".to_owned(), format!("{MODEL}@{VERSION}")];
        arguments.extend(self.arguments.iter().cloned());
        arguments
    }
}

fn document() -> Document {
    let version = Version { weights: format!("weights/{MODEL}/{VERSION}") };
    let model = Model { versions: [(VERSION.to_owned(), version)].into() };
    let lm = Deployment::model(MODEL, VERSION);
    let service = Deployment::service().with_idempotent(false);
    Document {
        deployments: [(DEPLOYMENT.to_owned(), lm), (SERVICE.to_owned(), service)].into(),
        models: [(MODEL.to_owned(), model)].into(),
        clients: [(CLIENT.to_owned(), Client::new(TOKEN))].into(),
    }
}

/// Writes the fields of `changes` into `value`, object by object.
pub fn merge(value: &mut Value, changes: &Value) {
    match (value, changes) {
        (Value::Object(fields), Value::Object(changes)) => {
            for (name, change) in changes {
                merge(fields.entry(name.clone()).or_insert(Value::Null), change);
            }
        }
        (value, changes) => *value = changes.clone(),
    }
}
