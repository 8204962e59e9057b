//! Size, settings and configuration of a test fleet.

use cyclamengrade_configuration::{Client, Deployment, Document, Model, Version};
use serde_json::{Value, json};

/// Name of the engines' deployment.
pub const DEPLOYMENT: &str = "telaio-lm";

/// Name of the plain services' deployment.
pub const SERVICE: &str = "print-relay";

/// Model that the engines serve.
pub const MODEL: &str = "telaio";

/// Version of the model that the engines serve.
pub const VERSION: &str = "7";

/// Client account that all calls use.
pub const CLIENT: &str = "tessiture";

/// Bearer token of the client account.
pub const TOKEN: &str = "token-of-tessiture";

/// Description of a fleet to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub daemons: usize,
    pub engines: usize,
    pub services: usize,
    /// Data centres, to which the vms of each kind are assigned in turn.
    pub data_centres: Vec<String>,
    /// Command-line arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Command-line arguments of the services.
    pub service_arguments: Vec<String>,
    /// Settings of the daemons, without names and addresses.
    pub settings: Value,
    /// Configuration document.
    pub document: Value,
    engine_arguments: Vec<String>,
}

impl Plan {
    /// Creates a plan with short probe, lease and poll periods, so that failures are detected
    /// within seconds.
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
            engine_arguments: Vec::new(),
        }
    }

    /// Merges changes into the settings of the daemons.
    pub fn with_settings(mut self, settings: &Value) -> Self {
        merge(&mut self.settings, settings);
        self
    }

    /// Merges changes into the configuration document.
    pub fn with_document(mut self, document: &Value) -> Self {
        merge(&mut self.document, document);
        self
    }

    /// Adds command-line arguments of the engines.
    pub fn with_engine_arguments<I: IntoIterator<Item: Into<String>>>(
        mut self,
        arguments: I,
    ) -> Self {
        self.engine_arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    /// Adds command-line arguments of the platform.
    pub fn with_platform_arguments<I: IntoIterator<Item: Into<String>>>(
        mut self,
        arguments: I,
    ) -> Self {
        self.platform_arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    /// Returns the data centre of the vm with this number among those of its kind.
    pub fn data_centre(&self, number: usize) -> &str {
        match self.data_centres.len() {
            0 => "biella",
            count => &self.data_centres[number % count],
        }
    }

    /// Returns all command-line arguments of an engine.
    pub(super) fn engine_arguments(&self, _number: usize) -> Vec<String> {
        let mut arguments = vec!["--models".to_owned(), format!("{MODEL}@{VERSION}")];
        arguments.extend(self.engine_arguments.iter().cloned());
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

/// Merges `changes` into `value`. Objects are merged field by field; other values are replaced.
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
