//! Runs batch items at model engines.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cyclamengrade_upstream::{Client, Error, Execution, Progress, Stream, StreamRequest, wire};
use tokio::runtime::Handle;

use crate::batch::{Call, Outcome, Running, Summary, Transcript};

/// Longest gap between two tokens of a batch item before its connection counts as silent.
const SILENCE: Duration = Duration::from_secs(15);

/// Runs items through the client of the upstreams.
pub struct Runner {
    client: Client,
    traffic: Handle,
}

impl Runner {
    /// A runner whose cancellations run on the traffic runtime.
    pub const fn new(client: Client, traffic: Handle) -> Self {
        Self { client, traffic }
    }
}

impl crate::batch::Runner for Runner {
    fn run(&self, call: Call, transcript: Transcript) -> Running {
        let cancel = Cancel {
            client: self.client.clone(),
            traffic: self.traffic.clone(),
            address: call.address,
            stream: call.stream.clone(),
            armed: true,
        };
        let client = self.client.clone();
        Box::pin(async move {
            let mut cancel = cancel;
            let mut times = Times::new();
            let end = run(&client, call, &transcript, &mut times).await;
            // An engine goes on with a stream whose connection broke until it is cancelled.
            cancel.armed = matches!(end, Outcome::Failed);
            drop(cancel);
            times.finish(end)
        })
    }
}

/// Cancels a stream at its engine when the run is dropped or failed.
struct Cancel {
    client: Client,
    traffic: Handle,
    address: SocketAddr,
    stream: String,
    armed: bool,
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let client = self.client.clone();
        let stream = std::mem::take(&mut self.stream);
        let address = self.address;
        self.traffic.spawn(async move {
            // The engine also notices the closed connection, so a failure needs no repetition.
            let _ = client.cancel(address, &stream).await;
        });
    }
}

/// When the tokens of one run arrived.
struct Times {
    start: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u32,
}

impl Times {
    fn new() -> Self {
        Self { start: Instant::now(), first: None, last: None, tokens: 0 }
    }

    fn record(&mut self, tokens: usize) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens = self.tokens.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    fn finish(&self, outcome: Outcome) -> Summary {
        let first_token = self.first.map(|first| first.duration_since(self.start));
        let between_tokens = match (self.first, self.last) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                Some(last.duration_since(first) / (self.tokens - 1))
            }
            _ => None,
        };
        Summary { outcome, first_token, between_tokens }
    }
}

async fn run(client: &Client, call: Call, transcript: &Transcript, times: &mut Times) -> Outcome {
    let body = wire::Completion {
        model: call.model,
        version: call.version,
        prompt: call.prompt,
        max_tokens: call.max_tokens,
        stream: true,
        resume_from: call.resume_from,
    };
    let open =
        StreamRequest { stream_id: &call.stream, body, traceparent: None, new_connection: false };
    // The status line comes with the first token, so opening is bounded like a gap.
    match tokio::time::timeout(SILENCE, client.open(call.address, open)).await {
        Ok(Ok(stream)) => {
            let end = relay(stream, transcript, times).await;
            if end == Outcome::Failed {
                client.close_idle(call.address);
            }
            end
        }
        Ok(Err(error)) => end_of(&error),
        Err(_) => {
            client.close_idle(call.address);
            Outcome::Failed
        }
    }
}

async fn relay(mut stream: Stream, transcript: &Transcript, times: &mut Times) -> Outcome {
    let mut tokens = Vec::new();
    loop {
        let progress = tokio::time::timeout(SILENCE, stream.next(&mut tokens)).await;
        if !tokens.is_empty() {
            times.record(tokens.len());
        }
        for token in tokens.drain(..) {
            transcript.push(&token.text);
        }
        match progress {
            Ok(Ok(Progress::Tokens)) => {}
            Ok(Ok(Progress::End { .. })) => return Outcome::Done,
            Ok(Err(_)) | Err(_) => return Outcome::Failed,
        }
    }
}

fn end_of(error: &Error) -> Outcome {
    match error {
        // The engine understood the request and will refuse it everywhere.
        Error::Refused { status: 400 | 413 | 422, message, .. } => {
            Outcome::Rejected(message.clone())
        }
        _ if error.execution() == Execution::NotStarted => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}
