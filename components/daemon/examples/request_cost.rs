//! Measures the CPU time and the latency that the daemon adds to each request.
//!
//! `cargo run --release --example request_cost -- rate=74 rounds=20 tokens=1 threads=2`
//!
//! Rounds of two seconds send requests to an engine directly and through the daemon in turn.
//! Engines, daemon and callers run in one process on separate threads. Only the CPU time of the
//! daemon's threads is counted, less the CPU time that they use without requests.
#![allow(clippy::unwrap_used)]

mod bench;
#[path = "../tests/support/node.rs"]
mod node;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bench::{argument, cpu::Usage, engine, runtime, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
    time::sleep_until,
};

/// Number of callers, each with one connection.
const CALLERS: usize = 16;
const ROUND_DURATION: Duration = Duration::from_secs(2);

fn main() {
    let rate = argument("rate", 74.0);
    let rounds = argument("rounds", 20.0) as usize;
    let tokens = argument("tokens", 1.0) as u32;
    let traffic = runtime("traffic", argument("threads", 2.0) as usize);
    let engines = runtime("engine", 1);
    let callers = runtime("caller", 2);
    let addresses: Vec<_> =
        (0..4).map(|_| engines.block_on(engine::start(Duration::ZERO))).collect();
    let daemon = serve(&traffic, &addresses);

    let usage = || (Usage::of("traffic"), Usage::of("control"));
    let before = usage();
    std::thread::sleep(ROUND_DURATION);
    let idle = (usage().0 - before.0, usage().1 - before.1);
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    let (mut traffic_micros, mut control_micros) = (0.0, 0.0);
    for _ in 0..rounds {
        direct.push(run_round(&callers, addresses[0], rate, tokens));
        let before = usage();
        routed.push(run_round(&callers, daemon, rate, tokens));
        let after = usage();
        traffic_micros += (after.0 - before.0).micros - idle.0.micros;
        control_micros += (after.1 - before.1).micros - idle.1.micros;
    }
    let requests: usize = routed.iter().map(Vec::len).sum();
    println!(
        "{rate:.0} requests/s of {tokens} tokens: traffic {:.0} us/request, control {:.0} \
         us/request; idle {:.2}% and {:.2}% of a core",
        traffic_micros / requests as f64,
        control_micros / requests as f64,
        idle.0.micros / ROUND_DURATION.as_secs_f64() / 1e4,
        idle.1.micros / ROUND_DURATION.as_secs_f64() / 1e4,
    );
    for quantile in [0.5, 0.99] {
        let quantile_of_all = |rounds: &[Vec<f64>]| quantile_of(&rounds.concat(), quantile);
        let added: Vec<f64> = direct
            .iter()
            .zip(&routed)
            .map(|(direct, routed)| quantile_of(routed, quantile) - quantile_of(direct, quantile))
            .collect();
        println!(
            "p{:.0}: direct {:.0} us, routed {:.0} us; added in a round: median {:.0} us, {:.0} to \
             {:.0} us",
            quantile * 100.0,
            quantile_of_all(&direct),
            quantile_of_all(&routed),
            quantile_of(&added, 0.5),
            quantile_of(&added, 0.0),
            quantile_of(&added, 1.0),
        );
    }
    std::process::exit(0);
}

fn quantile_of(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * quantile).round() as usize]
}

/// Sends requests at a fixed rate for one round; returns their latencies in microseconds.
fn run_round(callers: &Runtime, address: SocketAddr, rate: f64, tokens: u32) -> Vec<f64> {
    let period = Duration::from_secs_f64(CALLERS as f64 / rate);
    let start = Instant::now() + Duration::from_millis(10);
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let first = start + period.mul_f64(number as f64 / CALLERS as f64);
            callers.spawn(send_requests(address, first, period, start + ROUND_DURATION, tokens))
        })
        .collect();
    tasks.into_iter().flat_map(|task| callers.block_on(task).unwrap()).collect()
}

/// Sends requests on one connection until `end`, one every `period`; returns their latencies in
/// microseconds.
async fn send_requests(
    address: SocketAddr,
    first: Instant,
    period: Duration,
    end: Instant,
    tokens: u32,
) -> Vec<f64> {
    let body = format!(
        r#"{{"model":"wording-llm","prompt":"hello","max_tokens":{tokens},"stream":true}}"#
    );
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer t\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.set_nodelay(true).unwrap();
    let mut buffer = vec![0; 16 << 10];
    let mut latencies = Vec::new();
    let mut due = first;
    while due < end {
        sleep_until(due.into()).await;
        let sent = Instant::now();
        socket.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n0\r\n\r\n") {
            let count = socket.read(&mut buffer).await.unwrap();
            assert!(count > 0, "the response was truncated");
            response.extend_from_slice(&buffer[..count]);
        }
        assert!(
            response.windows(6).any(|window| window == b"[DONE]"),
            "the response is not complete"
        );
        latencies.push(sent.elapsed().as_secs_f64() * 1e6);
        due += period;
    }
    latencies
}
