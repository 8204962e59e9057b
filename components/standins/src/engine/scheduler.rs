//! Continuous batching: in each step every running stream prefills or yields one token.

use std::{process, time::Duration};

use cyclamengrade_upstream::wire::Chunk;
use tokio::time::{Instant, sleep_until};

use super::{Engine, State, Step, Stream};
use crate::{answer, server::EXIT_BY_FAULT};

/// Delay after which missed steps are dropped instead of made up for.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Runs steps until the process ends.
pub async fn run(engine: &Engine) {
    let mut next = Instant::now();
    loop {
        if engine.is_idle() {
            engine.work.notified().await;
            next = Instant::now();
            continue;
        }
        engine.switches.thaw().await;
        let step_ms = engine.begin_step();
        let slow_factor = engine.switches.faults().slow_factor;
        next += Duration::from_secs_f64(step_ms * slow_factor / 1_000.0);
        sleep_until(next).await;
        if Instant::now() > next + MAX_DELAY {
            next = Instant::now();
        }
        engine.switches.thaw().await;
        engine.end_step(step_ms, step_ms * slow_factor);
    }
}

impl Engine {
    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && state.running.is_empty()
    }

    /// Fills free slots in order of arrival; returns the nominal time of the step.
    fn begin_step(&self) -> f64 {
        let mut state = self.lock();
        while state.running.len() < self.options.slots {
            let Some(mut stream) = state.queue.pop_front() else { break };
            if stream.is_gone() {
                continue;
            }
            let cached = state.cache.touch(answer::prefix_hash(&stream.prompt));
            let share = if cached { self.options.cached_share } else { 1.0 };
            stream.prefill_left_ms *= share;
            state.count(&stream.prompt, |runs| match stream.resumed {
                true => runs.resumed += 1,
                false => runs.started += 1,
            });
            state.running.push(stream);
        }
        self.options.step_ms + self.options.stream_ms * state.running.len() as f64
    }

    /// Lets every running stream proceed by one step.
    fn end_step(&self, step_ms: f64, elapsed_ms: f64) {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.busy_ms += if state.running.is_empty() { 0.0 } else { elapsed_ms };
        let elapsed_us = (elapsed_ms * 1_000.0) as u64;
        for mut stream in std::mem::take(&mut state.running) {
            state.count(&stream.prompt, |runs| runs.slot_us += elapsed_us);
            if state.step(&mut stream, step_ms) {
                state.running.push(stream);
            }
        }
    }
}

impl State {
    /// Proceeds with one stream; returns whether it stays in its slot.
    fn step(&mut self, stream: &mut Stream, step_ms: f64) -> bool {
        if stream.is_gone() {
            self.count(&stream.prompt, |runs| runs.cancelled += 1);
            return false;
        }
        if stream.prefill_left_ms > step_ms {
            stream.prefill_left_ms -= step_ms;
            return true;
        }
        stream.prefill_left_ms = 0.0;
        if stream.prompt.contains(answer::KILL_MARKER) {
            process::exit(EXIT_BY_FAULT);
        }
        // A receiver that went away is found at the next step.
        if stream.prompt.contains(answer::FAIL_MARKER) {
            let _gone = stream.sender.send(Step::Failed);
            return false;
        }
        let index = stream.next;
        let last = index + 1 >= stream.end;
        if index < stream.end {
            let chunk = Chunk {
                index,
                text: answer::token(&stream.prompt, &stream.version, index),
                finish_reason: last.then(|| stream.finish_reason.to_owned()),
            };
            let _gone = stream.sender.send(Step::Token(chunk));
            self.count(&stream.prompt, |runs| runs.tokens += 1);
        }
        stream.next += 1;
        if last {
            let _gone = stream.sender.send(Step::End);
            self.count(&stream.prompt, |runs| runs.finished += 1);
        }
        !last
    }
}

impl Stream {
    fn is_gone(&self) -> bool {
        self.cancelled || self.sender.is_closed()
    }
}
