//! Parts that the benchmarks of online requests share: a fake engine, a daemon, a proxy for
//! comparison and counters of CPU time.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod backend;
pub mod cpu;
pub mod engine;
pub mod relay;

use std::{net::SocketAddr, sync::Arc};

use cyclamengrade_caller::{Options, Server};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
};

use crate::node::{self, Daemon};

/// Creates a runtime whose threads have the given name, so that [`cpu::Usage`] can find them.
pub fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

/// Returns the value of a command-line argument `name=value`.
pub fn argument(name: &str, default: f64) -> f64 {
    let prefix = format!("{name}=");
    std::env::args()
        .find_map(|argument| argument.strip_prefix(&prefix).map(|value| value.parse().unwrap()))
        .unwrap_or(default)
}

/// Starts a daemon with the given engines on the runtime `traffic` and a thread named `control`;
/// returns the address at which it listens.
pub fn serve(traffic: &Runtime, engines: &[SocketAddr]) -> SocketAddr {
    let vms = node::vms("wording-llm", engines);
    let handle = traffic.handle().clone();
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let control = Builder::new_current_thread().enable_all().build().unwrap();
            control.block_on(async move {
                let settings = node::settings();
                let daemon = Daemon::start_on(handle.clone(), vms, None, settings).await;
                let backend = backend::Online(daemon.online.clone());
                let listener = handle
                    .spawn(async { TcpListener::bind("127.0.0.1:0").await.unwrap() })
                    .await
                    .unwrap();
                sender.send(listener.local_addr().unwrap()).unwrap();
                let server = Server::new(Arc::new(backend), Options::default());
                handle
                    .spawn(async move { server.serve(listener, std::future::pending()).await })
                    .await
                    .unwrap();
                drop(daemon);
            });
        })
        .unwrap();
    receiver.recv().unwrap()
}
