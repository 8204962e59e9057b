//! Stand-in processes of a fleet.

use std::{io, net::SocketAddr, path::Path};

use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Error, expect_status};
use crate::{
    client::{Call, Client},
    process::Process,
};

/// A stand-in in a process of its own.
#[derive(Debug)]
pub struct Standin {
    /// Name of its vm.
    pub name: String,
    pub data_centre: String,
    pub address: SocketAddr,
    pub process: Process,
}

impl Standin {
    /// Starts a stand-in and waits until it listens. Its log goes to the file `NAME.log` in the
    /// folder.
    pub fn start(
        binary: &Path,
        kind: &str,
        name: String,
        data_centre: &str,
        arguments: &[String],
        folder: &Path,
    ) -> io::Result<Self> {
        let arguments = [kind].into_iter().chain(arguments.iter().map(String::as_str));
        let log = folder.join(format!("{name}.log"));
        let (process, address) = Process::start_standin(binary, arguments, &log)?;
        Ok(Self { name, data_centre: data_centre.into(), address, process })
    }

    /// Changes fault switches; switches that are not named keep their value.
    pub async fn set_faults(&self, client: &Client, switches: &Value) -> Result<(), Error> {
        let call = Call::new(Method::POST, self.address, "/_faults").with_json(switches);
        expect_status(client.send(call).await?, 200).map(drop)
    }

    /// Reads counters: `/_runs` of an engine or a service, or `/_stats` of the platform.
    pub async fn read<T: DeserializeOwned>(&self, client: &Client, path: &str) -> Result<T, Error> {
        Ok(expect_status(client.send(Call::get(self.address, path)).await?, 200)?.json()?)
    }
}
