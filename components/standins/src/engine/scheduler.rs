//! Continuous batching: in each step, every running stream prefills a part of its prompt or
//! generates one token.

use std::{process, time::Duration};

use cyclamengrade_upstream::wire::Chunk;
use tokio::time::{Instant, sleep_until};

use super::{Engine, Event, State, Stream};
use crate::{answer, server::FAULT_EXIT_CODE};

/// Lag behind schedule above which missed steps are skipped instead of being caught up.
const MAX_STEP_LAG: Duration = Duration::from_millis(100);

/// Runs steps until the process ends. Waits without polling while there is no stream.
pub async fn run(engine: &Engine) {
    let mut next = Instant::now();
    loop {
        if engine.is_idle() {
            engine.work.notified().await;
            next = Instant::now();
            continue;
        }
        engine.switches.wait_while_frozen().await;
        let step_ms = engine.begin_step();
        let slow_factor = engine.switches.faults().slow_factor;
        next += Duration::from_secs_f64(step_ms * slow_factor / 1_000.0);
        sleep_until(next).await;
        if Instant::now() > next + MAX_STEP_LAG {
            next = Instant::now();
        }
        engine.switches.wait_while_frozen().await;
        engine.end_step(step_ms, step_ms * slow_factor);
    }
}

impl Engine {
    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && state.running.is_empty()
    }

    /// Fills free slots from the head of the queue. Returns the nominal duration of the step in
    /// milliseconds.
    fn begin_step(&self) -> f64 {
        let mut state = self.lock();
        while state.running.len() < self.options.slots {
            let Some(mut stream) = state.queue.pop_front() else { break };
            if stream.is_abandoned() {
                continue;
            }
            let cached = state.cache.touch(answer::prefix_hash(&stream.prompt));
            let share = if cached { self.options.cached_share } else { 1.0 };
            stream.prefill_left_ms *= share;
            state.update_runs(&stream.prompt, |runs| match stream.resumed {
                true => runs.resumed += 1,
                false => runs.started += 1,
            });
            state.running.push(stream);
        }
        self.options.step_ms + self.options.stream_ms * state.running.len() as f64
    }

    /// Advances every running stream by one step. `step_ms` is the nominal duration of the step and
    /// `elapsed_ms` the duration with the slow factor.
    fn end_step(&self, step_ms: f64, elapsed_ms: f64) {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.busy_ms += if state.running.is_empty() { 0.0 } else { elapsed_ms };
        let elapsed_us = (elapsed_ms * 1_000.0) as u64;
        for mut stream in std::mem::take(&mut state.running) {
            state.update_runs(&stream.prompt, |runs| runs.slot_us += elapsed_us);
            if state.step(&mut stream, step_ms) {
                state.running.push(stream);
            }
        }
    }
}

impl State {
    /// Advances one stream by one step. Returns whether it stays in its slot.
    fn step(&mut self, stream: &mut Stream, step_ms: f64) -> bool {
        if stream.is_abandoned() {
            self.update_runs(&stream.prompt, |runs| runs.cancelled += 1);
            return false;
        }
        if stream.prefill_left_ms > step_ms {
            stream.prefill_left_ms -= step_ms;
            return true;
        }
        stream.prefill_left_ms = 0.0;
        if stream.prompt.contains(answer::KILL_MARKER) {
            process::exit(FAULT_EXIT_CODE);
        }
        // Sending fails if the receiver has disconnected. `is_abandoned` detects this in the next
        // step.
        if stream.prompt.contains(answer::FAIL_MARKER) {
            let _sent = stream.sender.send(Event::Failed);
            return false;
        }
        let index = stream.next_index;
        let last = index + 1 >= stream.end_index;
        if index < stream.end_index {
            let chunk = Chunk {
                index,
                text: answer::token(&stream.prompt, &stream.version, index),
                finish_reason: last.then(|| stream.finish_reason.to_owned()),
            };
            let _sent = stream.sender.send(Event::Token(chunk));
            self.update_runs(&stream.prompt, |runs| runs.tokens += 1);
        }
        stream.next_index += 1;
        if last {
            let _sent = stream.sender.send(Event::End);
            self.update_runs(&stream.prompt, |runs| runs.finished += 1);
        }
        !last
    }
}

impl Stream {
    /// Returns whether the stream was cancelled or its receiver has disconnected.
    fn is_abandoned(&self) -> bool {
        self.cancelled || self.sender.is_closed()
    }
}
