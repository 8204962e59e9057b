//! Measures the CPU time that the daemon needs and the bytes that it sends for each token of a
//! streamed completion.
//!
//! `cargo run --release --example token_cost -- streams=400 gap_ms=20 seconds=5 threads=2`
//!
//! With `relay=1`, a TCP proxy that only copies bytes takes the place of the daemon, which gives
//! the lower bound of the cost.
//!
//! The engines, the daemon and the callers run in one process on separate threads; only the CPU
//! time of the daemon's threads is counted.
#![allow(clippy::unwrap_used)]

mod bench;
#[path = "../tests/support/node.rs"]
mod node;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bench::{argument, cpu::Usage, engine, relay, runtime, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Totals of all callers.
#[derive(Default)]
struct Totals {
    tokens: AtomicU64,
    bytes: AtomicU64,
    reads: AtomicU64,
    complete_responses: AtomicU64,
}

fn main() {
    let streams = argument("streams", 400.0) as usize;
    let gap = Duration::from_secs_f64(argument("gap_ms", 20.0) / 1e3);
    let seconds = argument("seconds", 5.0);
    let traffic = runtime("traffic", argument("threads", 2.0) as usize);
    let engines = runtime("engine", 2);
    let callers = runtime("caller", 2);
    let addresses: Vec<_> = (0..4).map(|_| engines.block_on(engine::start(gap))).collect();
    let daemon = if argument("relay", 0.0) > 0.0 {
        traffic.block_on(relay::start(addresses))
    } else {
        serve(&traffic, &addresses)
    };

    // The streams run for one second more than is measured, before and after.
    let tokens = ((seconds + 2.0) / gap.as_secs_f64()) as u32;
    let totals = Arc::new(Totals::default());
    for number in 0..streams {
        let totals = Arc::clone(&totals);
        let delay = gap.mul_f64(number as f64 / streams as f64);
        callers.spawn(async move {
            sleep(delay).await;
            read_stream(daemon, tokens, &totals).await;
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
    let counters = || [read(&totals.tokens), read(&totals.bytes), read(&totals.reads)];
    let before = (Usage::of("traffic"), Usage::of("control"), counters(), Instant::now());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let elapsed = before.3.elapsed().as_secs_f64();
    let (traffic_usage, control_usage) =
        (Usage::of("traffic") - before.0, Usage::of("control") - before.1);
    let after = counters();
    let [tokens, bytes, reads] = std::array::from_fn(|at| after[at] - before.2[at]);
    println!(
        "{streams} streams, {:.0} tokens/s: traffic {:.2} us/token ({:.1}% of a core, {:.2} \
         switches/token), control {:.3} us/token ({:.2}% of a core), {:.0} bytes/token, {:.2} \
         reads/token",
        tokens / elapsed,
        traffic_usage.micros / tokens,
        traffic_usage.micros / elapsed / 1e4,
        traffic_usage.switches / tokens,
        control_usage.micros / tokens,
        control_usage.micros / elapsed / 1e4,
        bytes / tokens,
        reads / tokens,
    );
    let end = Instant::now() + Duration::from_secs(20);
    while read(&totals.complete_responses) < streams as f64 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("complete responses: {}", totals.complete_responses.load(Ordering::Relaxed));
    std::process::exit(0);
}

/// Requests a completion and counts what arrives until it ends.
async fn read_stream(daemon: SocketAddr, tokens: u32, totals: &Totals) {
    let mut socket = TcpStream::connect(daemon).await.unwrap();
    let body = format!(
        r#"{{"model":"wording-llm","prompt":"hello","max_tokens":{tokens},"stream":true}}"#
    );
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer t\r\n\
         x-deadline-ms: 600000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = socket.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        let data = &buffer[..count];
        let events = data.windows(2).filter(|pair| pair == b"\n\n").count();
        totals.tokens.fetch_add(events as u64, Ordering::Relaxed);
        totals.bytes.fetch_add(count as u64, Ordering::Relaxed);
        totals.reads.fetch_add(1, Ordering::Relaxed);
        if data.windows(6).any(|window| window == b"[DONE]") {
            totals.complete_responses.fetch_add(1, Ordering::Relaxed);
            return;
        }
    }
}
