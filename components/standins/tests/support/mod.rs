//! Stand-ins as processes of their own.

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use cyclamengrade_standins::{
    client::{Call, Client, Reply},
    process::Process,
};
use googletest::prelude::*;
use serde_json::Value;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

/// A stand-in process.
pub struct Standin {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

impl Standin {
    /// Starts a stand-in with these arguments.
    pub fn start(kind: &str, arguments: &[&str]) -> Result<Self> {
        let binary = Path::new(env!("CARGO_BIN_EXE_standin"));
        let arguments = [kind].into_iter().chain(arguments.iter().copied());
        let (process, address) = Process::standin(binary, arguments, Path::new("/dev/null"))?;
        Ok(Self { address, process })
    }

    /// Sets fault switches.
    pub async fn faults(&self, switches: Value) -> Result<Reply> {
        let call = Call::post(self.address, "/_faults").with_json(&switches);
        let reply = Client::new().send(call).await?;
        verify_that!(reply.status, eq(200))?;
        Ok(reply)
    }
}

/// Waits until the probe gives a value.
pub async fn eventually<T>(mut probe: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fail!("the condition was not met within {LIMIT:?}").map(|()| unreachable!())
}
