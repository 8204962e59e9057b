//! Starts stand-ins in processes of their own and waits for conditions.

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

/// Time limit for waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running stand-in. Dropping it kills the process.
pub struct Standin {
    pub address: SocketAddr,
    pub process: Process,
}

impl Standin {
    /// Starts a stand-in of this kind, without a log.
    pub fn start(kind: &str, arguments: &[&str]) -> Result<Self> {
        let binary = Path::new(env!("CARGO_BIN_EXE_standin"));
        let arguments = [kind].into_iter().chain(arguments.iter().copied());
        let (process, address) = Process::start_standin(binary, arguments, Path::new("/dev/null"))?;
        Ok(Self { address, process })
    }

    /// Changes fault switches; switches that are not named keep their value.
    pub async fn set_faults(&self, switches: Value) -> Result<Reply> {
        let call = Call::post(self.address, "/_faults").with_json(&switches);
        let reply = Client::new().send(call).await?;
        verify_that!(reply.status, eq(200))?;
        Ok(reply)
    }
}

/// Calls `probe` until it returns a value, and returns that value.
pub async fn eventually<T>(mut probe: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fail!("the condition was not met within {WAIT_TIMEOUT:?}").map(|()| unreachable!())
}
