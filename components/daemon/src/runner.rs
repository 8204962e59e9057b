//! Runner that sends batch items to model engines as streaming completions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cyclamengrade_upstream::{Client, Error, Execution, Progress, Stream, StreamRequest, wire};
use tokio::{runtime::Handle, time::sleep};

use crate::batch::{Call, Cancelling, Outcome, Running, Summary, Transcript};

/// Maximum gap between two tokens of a batch item. After a longer one, the run fails.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Attempts to cancel a stream.
const CANCEL_ATTEMPTS: u32 = 2;
/// Time between them.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs batch items through the client of the upstreams.
pub struct Runner {
    client: Client,
    traffic: Handle,
}

impl Runner {
    /// Creates a runner that cancels failed streams on the runtime `traffic`.
    pub const fn new(client: Client, traffic: Handle) -> Self {
        Self { client, traffic }
    }
}

impl crate::batch::Runner for Runner {
    fn run(&self, call: Call, transcript: Transcript) -> Running {
        let (client, traffic) = (self.client.clone(), self.traffic.clone());
        Box::pin(async move {
            let (address, stream) = (call.address, call.stream.clone());
            let mut times = Times::new();
            let outcome = run_call(&client, call, &transcript, &mut times).await;
            if matches!(outcome, Outcome::Failed(_) | Outcome::Interrupted(_)) {
                // An engine that has not noticed a broken connection keeps generating until the
                // stream is cancelled.
                traffic.spawn(async move { cancel(&client, address, &stream).await });
            }
            times.finish(outcome)
        })
    }

    fn cancel(&self, address: SocketAddr, stream: String) -> Cancelling {
        let client = self.client.clone();
        Box::pin(async move { cancel(&client, address, &stream).await })
    }
}

/// Cancels a stream. Returns whether the engine accepts no connection, that is, has crashed.
///
/// A crashing engine may still accept the connection and then close it, so that one further attempt
/// tells.
async fn cancel(client: &Client, address: SocketAddr, stream: &str) -> bool {
    for _ in 0..CANCEL_ATTEMPTS {
        match client.cancel(address, stream).await {
            Err(Error::Connect { .. }) => return true,
            Err(Error::Broken { .. }) => sleep(CANCEL_RETRY_DELAY).await,
            // The engine also stops when it notices the closed connection.
            Ok(()) | Err(Error::Refused { .. } | Error::Protocol { .. }) => return false,
        }
    }
    false
}

/// Arrival times of the tokens of one run.
struct Times {
    start: Instant,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    tokens: u32,
}

impl Times {
    fn new() -> Self {
        Self { start: Instant::now(), first_token: None, last_token: None, tokens: 0 }
    }

    fn record(&mut self, tokens: usize) {
        let now = Instant::now();
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.tokens = self.tokens.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    fn finish(&self, outcome: Outcome) -> Summary {
        let first_token = self.first_token.map(|first| first.duration_since(self.start));
        let between_tokens = match (self.first_token, self.last_token) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                Some(last.duration_since(first) / (self.tokens - 1))
            }
            _ => None,
        };
        Summary { outcome, first_token, between_tokens }
    }
}

async fn run_call(
    client: &Client,
    call: Call,
    transcript: &Transcript,
    times: &mut Times,
) -> Outcome {
    let body = wire::Completion {
        model: call.model,
        version: call.version,
        prompt: call.prompt,
        max_tokens: call.max_tokens,
        stream: true,
        resume_from: call.resume_from,
    };
    let request =
        StreamRequest { stream_id: &call.stream, body, traceparent: None, new_connection: false };
    // The engine sends the status line with the first token, so the timeout between tokens also
    // bounds the time to first token.
    match tokio::time::timeout(SILENCE_TIMEOUT, client.open(call.address, request)).await {
        Ok(Ok(stream)) => {
            let outcome = read_stream(stream, transcript, times).await;
            if matches!(outcome, Outcome::Failed(_) | Outcome::Interrupted(_)) {
                client.close_idle(call.address);
            }
            outcome
        }
        Ok(Err(error)) => outcome_for_error(&error),
        Err(_) => {
            client.close_idle(call.address);
            silent()
        }
    }
}

async fn read_stream(mut stream: Stream, transcript: &Transcript, times: &mut Times) -> Outcome {
    let mut tokens = Vec::new();
    loop {
        let progress = tokio::time::timeout(SILENCE_TIMEOUT, stream.next(&mut tokens)).await;
        if !tokens.is_empty() {
            times.record(tokens.len());
        }
        let complete = matches!(progress, Ok(Ok(Progress::End { .. })));
        transcript.extend(tokens.drain(..).map(|token| token.text), complete);
        match progress {
            Ok(Ok(Progress::Tokens)) => {}
            Ok(Ok(Progress::End { .. })) => return Outcome::Done,
            Ok(Err(error)) => return outcome_for_error(&error),
            Err(_) => return silent(),
        }
    }
}

fn outcome_for_error(error: &Error) -> Outcome {
    match error {
        // The request itself is invalid, so every engine would refuse it.
        Error::Refused { status: 400 | 413 | 422, message, .. } => {
            Outcome::Rejected(message.clone())
        }
        _ if error.execution() == Execution::NotStarted => Outcome::NotRun,
        Error::Refused { .. } | Error::Protocol { .. } => Outcome::Failed(error.to_string()),
        Error::Connect { .. } | Error::Broken { .. } => Outcome::Interrupted(error.to_string()),
    }
}

fn silent() -> Outcome {
    Outcome::Interrupted(format!("no token arrived within {SILENCE_TIMEOUT:?}"))
}
