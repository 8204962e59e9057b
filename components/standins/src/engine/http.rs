//! HTTP handlers of the engine protocol.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use cyclamengrade_upstream::wire::{CacheEvents, Chunk, Completion, Order};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use tokio::sync::mpsc;

use super::{Engine, Event, Runs, Stream};
use crate::{
    answer,
    server::{self, Answer, Body, Handler},
};

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if path == "/_runs" {
            let summary = request.uri().query() == Some("summary");
            return Ok(server::json(StatusCode::OK, &self.runs(summary)));
        }
        if !self.switches.admit("engine").await {
            return Ok(server::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable because of an injected fault",
            ));
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.complete(request).await,
            (&Method::GET, "/v1/load") => Ok(self.load_report()),
            (&Method::GET, "/v1/cache-events") => Ok(self.cache_events(&request)),
            (&Method::PUT, "/v1/orders") => Ok(self.accept_order(request).await),
            (&Method::DELETE, _) => match path.strip_prefix("/v1/streams/") {
                Some(id) => Ok(self.cancel(id)),
                None => Ok(server::error(StatusCode::NOT_FOUND, "no such path")),
            },
            _ => Ok(server::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Engine {
    fn runs(&self, summary: bool) -> Runs {
        let state = self.lock();
        let mut runs = match summary {
            true => {
                Runs { prompts: BTreeMap::new(), classes: state.runs.classes.clone(), ..state.runs }
            }
            false => state.runs.clone(),
        };
        runs.busy_ms = state.busy_ms as u64;
        runs
    }

    async fn complete(&self, request: Request<Incoming>) -> Answer {
        let id = request.headers().get("x-stream-id").and_then(|id| id.to_str().ok());
        let id = id.unwrap_or_default().to_owned();
        let completion: Completion = match server::read_json(request).await {
            Ok(completion) => completion,
            Err(message) => return Ok(server::error(StatusCode::BAD_REQUEST, &message)),
        };
        if completion.max_tokens == 0 {
            return Ok(server::error(StatusCode::BAD_REQUEST, "max_tokens must be above 0"));
        }
        let receiver = match self.enqueue(id, &completion) {
            Ok(receiver) => receiver,
            Err((status, message)) => return Ok(server::error(status, &message)),
        };
        if self.switches.check_reply("engine").is_err() {
            return self.run_without_reply(receiver).await;
        }
        match completion.stream {
            true => Ok(self.stream_response(receiver).await),
            false => Ok(self.complete_response(receiver).await),
        }
    }

    fn enqueue(
        &self,
        id: String,
        completion: &Completion,
    ) -> Result<mpsc::UnboundedReceiver<Event>, (StatusCode, String)> {
        let mut state = self.lock();
        let version = state.models.version(&completion.model, completion.version.as_deref());
        let Some(version) = version else {
            let message = format!("model {:?} is not loaded", completion.model);
            return Err((StatusCode::NOT_FOUND, message));
        };
        if state.queue.len() >= self.options.queue {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "the queue is full".into()));
        }
        if self.switches.faults().leaving {
            let since = *state.leaving_since.get_or_insert_with(Instant::now);
            state.runs.accepted_while_leaving += 1;
            state.runs.last_accepted_while_leaving_ms =
                u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let replaces = state.cancel_replaced(&id);
        let prefill_us = match replaces {
            true => 0.0,
            false => completion.prompt.len() as f64 * self.options.prefill_us_per_byte,
        };
        let stream = Stream {
            id,
            prompt: completion.prompt.as_str().into(),
            version: version.into(),
            next_index: completion.resume_from,
            end_index: answer::token_count(&completion.prompt, completion.max_tokens),
            finish_reason: answer::finish_reason(&completion.prompt, completion.max_tokens),
            prefill_left_ms: prefill_us / 1_000.0,
            resumed: replaces || completion.resume_from > 0,
            sender,
            cancelled: false,
        };
        match replaces {
            true => state.queue.push_front(stream),
            false => state.queue.push_back(stream),
        }
        state.runs.longest_queue = state.runs.longest_queue.max(state.queue.len() as u64);
        self.work.notify_one();
        Ok(receiver)
    }

    /// Waits until the stream has ended, then drops its reply.
    async fn run_without_reply(&self, mut receiver: mpsc::UnboundedReceiver<Event>) -> Answer {
        while receiver.recv().await.is_some() {}
        Err(crate::faults::ReplyLost)
    }

    /// Streams the tokens as server-sent events. The status is sent with the first token, because
    /// only then is it known that the item does not fail.
    async fn stream_response(
        &self,
        mut receiver: mpsc::UnboundedReceiver<Event>,
    ) -> Response<Body> {
        let mut next = receiver.recv().await;
        if matches!(next, Some(Event::Failed)) {
            return item_failed();
        }
        let (sender, events) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(event) = next {
                let data = match event {
                    Event::Token(chunk) => serde_json::to_string(&chunk).unwrap_or_default(),
                    Event::End => "[DONE]".to_owned(),
                    Event::Failed => return,
                };
                if sender.send(data).is_err() {
                    return;
                }
                next = tokio::select! {
                    event = receiver.recv() => event,
                    () = sender.closed() => return,
                };
            }
        });
        server::events(events)
    }

    async fn complete_response(
        &self,
        mut receiver: mpsc::UnboundedReceiver<Event>,
    ) -> Response<Body> {
        let mut text = String::new();
        let mut finish_reason = None;
        while let Some(event) = receiver.recv().await {
            match event {
                Event::Failed => return item_failed(),
                Event::End => break,
                Event::Token(Chunk { text: token, finish_reason: reason, .. }) => {
                    text.push_str(&token);
                    finish_reason = reason;
                }
            }
        }
        server::json(StatusCode::OK, &json!({"text": text, "finish_reason": finish_reason}))
    }

    fn load_report(&self) -> Response<Body> {
        let state = self.lock();
        let mut load = state.load.clone();
        let age = state.load_reported.map_or(0, |reported| reported.elapsed().as_millis());
        load.age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        load.leaving = self.switches.faults().leaving;
        server::json(StatusCode::OK, &load)
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = request.uri().query().and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let lag = self.options.cache_lag;
        let events = self.lock().cache.events(after, lag, self.options.cache_gap);
        server::json(StatusCode::OK, &CacheEvents { events })
    }

    async fn accept_order(&self, request: Request<Incoming>) -> Response<Body> {
        let fence = request.headers().get("x-fencing-number");
        let fence = fence.and_then(|fence| fence.to_str().ok()?.parse::<u64>().ok());
        let order: Order = match server::read_json(request).await {
            Ok(order) => order,
            Err(message) => return server::error(StatusCode::BAD_REQUEST, &message),
        };
        let mut state = self.lock();
        match (self.options.fencing_checked, fence) {
            (true, None) => {
                return server::error(StatusCode::BAD_REQUEST, "X-Fencing-Number is missing");
            }
            (true, Some(fence)) if fence < state.models.fence() => {
                return server::error(StatusCode::CONFLICT, "the fencing number is outdated");
            }
            _ => {}
        }
        state.models.order(order.models, fence.unwrap_or(0));
        server::json(StatusCode::OK, &json!({"loaded": state.models.loaded()}))
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let streams = state.running.iter_mut().chain(state.queue.iter_mut());
        let mut found = false;
        for stream in streams.filter(|stream| stream.id == id) {
            stream.cancelled = true;
            found = true;
        }
        match found {
            true => server::bytes(StatusCode::NO_CONTENT, bytes::Bytes::new()),
            false => server::error(StatusCode::NOT_FOUND, "no such stream"),
        }
    }
}

fn item_failed() -> Response<Body> {
    server::error(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the item failed because of a fault marker in its prompt",
    )
}
