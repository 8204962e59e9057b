//! TCP proxy that only copies bytes. Its CPU time is the lower bound for any process between a
//! caller and an engine.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
};

/// Starts a proxy on the current runtime that connects callers to the engines in turn.
pub async fn start(engines: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut connections = 0;
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(relay(socket, engines[connections % engines.len()]));
            connections += 1;
        }
    });
    address
}

async fn relay(mut caller: TcpStream, engine: SocketAddr) -> Option<()> {
    let mut engine = TcpStream::connect(engine).await.ok()?;
    caller.set_nodelay(true).ok()?;
    engine.set_nodelay(true).ok()?;
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_engine, mut to_engine) = engine.split();
    let requests = copy(&mut from_caller, &mut to_engine);
    let responses = async {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let count = from_engine.read(&mut buffer).await.ok()?;
            if count == 0 {
                return Some(());
            }
            to_caller.write_all(&buffer[..count]).await.ok()?;
        }
    };
    tokio::select! {
        _ = requests => None,
        end = responses => end,
    }
}
