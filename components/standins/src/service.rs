//! Stand-in for an HTTP service upstream that counts how often it ran each idempotency key.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    faults::Switches,
    server::{self, Answer, Handler},
};

/// Body of the response to `GET /_runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs for each `Idempotency-Key`.
    pub keys: BTreeMap<String, u64>,
    /// Number of runs without a key.
    pub without_key: u64,
    /// Number of all runs.
    pub total: u64,
}

/// A service that accepts `POST` on every path.
#[derive(Debug)]
pub struct Service {
    switches: Arc<Switches>,
    work_time: Duration,
    runs: Mutex<Runs>,
}

impl Service {
    /// Creates a service that takes `work_time` for each call, multiplied by the slow factor of the
    /// fault switches.
    pub fn new(switches: Arc<Switches>, work_time: Duration) -> Self {
        Self { switches, work_time, runs: Mutex::default() }
    }

    /// Counts a run and returns how often this key has run; 1 for a call without a key.
    fn record_run(&self, key: Option<&str>) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.total += 1;
        let Some(key) = key else {
            runs.without_key += 1;
            return 1;
        };
        let count = runs.keys.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if path == "/_runs" {
            let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return Ok(server::json(StatusCode::OK, &runs));
        }
        if !self.switches.admit("service").await {
            return Ok(server::error(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        if request.method() != Method::POST {
            return Ok(server::error(StatusCode::METHOD_NOT_ALLOWED, "use POST"));
        }
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(server::error(StatusCode::BAD_REQUEST, "the body was cut off"));
        };
        let key = head.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
        let run = self.record_run(key);
        sleep(self.work_time.mul_f64(self.switches.faults().slow_factor)).await;
        self.switches.wait_while_frozen().await;
        self.switches.check_reply("service")?;
        let size = body.to_bytes().len();
        Ok(server::json(StatusCode::OK, &json!({"path": path, "run": run, "bytes": size})))
    }
}
