//! One attempt: waits for a slot, prefills the prompt, sends the tokens.

use std::cmp::Reverse;
use std::time::Duration;

use actix_web_lab::sse;
use serde_json::{Value, json};
use tokio::sync::mpsc::Sender;

use poplarvale_lib::routing::BLOCK_TOKENS;

use super::state::Engine;
use crate::words::word;

/// An attempt to answer a prompt.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: String,
    pub(crate) prompt: String,
    pub(crate) prefix_hashes: Vec<u64>,
    pub(crate) model: String,
    pub(crate) chat: bool,
    /// Tokens that the caller already has; the answer resumes after them.
    pub(crate) from: u32,
    /// Length of the whole answer in tokens.
    pub(crate) count: u32,
    pub(crate) priority: u8,
}

/// Slot or queue ticket of an attempt; freed on drop, also when the caller disconnects.
struct Slot {
    engine: Engine,
    ticket: (Reverse<u8>, u64),
    /// Prompt tokens still counted as waiting for prefill.
    tokens: u64,
    started: bool,
    finished: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end_prefill();
        if self.started {
            self.engine.lock().counts.running -= 1;
        } else {
            self.engine.dequeue(self.ticket);
        }
        if !self.finished {
            self.engine.lock().counts.cancelled += 1;
        }
    }
}

impl Slot {
    /// Removes the prompt from the count of tokens that wait for prefill.
    fn end_prefill(&mut self) {
        self.engine.lock().counts.pending -= self.tokens;
        self.tokens = 0;
    }
}

/// Runs an attempt until it is complete, cancelled or broken off by a fault.
pub(crate) async fn run(engine: Engine, job: Job, out: Sender<sse::Event>) {
    let tokens = job.prefix_hashes.len() as u64 * u64::from(BLOCK_TOKENS);
    let ticket = engine.enqueue(job.priority, tokens);
    let mut slot = Slot {
        engine: engine.clone(),
        ticket,
        tokens,
        started: false,
        finished: false,
    };
    while !engine.try_start(ticket) {
        if out.is_closed() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    slot.started = true;
    prefill(&engine, &job).await;
    slot.end_prefill();
    slot.finished = decode(&engine, &job, &out).await;
}

async fn prefill(engine: &Engine, job: &Job) {
    let uncached = {
        let mut state = engine.lock();
        let hit = state.cache.hit(&job.prefix_hashes);
        let uncached = job.prefix_hashes.len() - hit;
        state.counts.attempts += 1;
        state.counts.cached += hit as u64;
        state.counts.computed += uncached as u64;
        let mut missing = state.faults.missing;
        state.cache.insert(&job.prefix_hashes, &mut missing);
        state.faults.missing = missing;
        uncached
    };
    let micros = engine.speed.block_us * uncached as u64;
    tokio::time::sleep(Duration::from_micros(micros)).await;
}

/// Sends all tokens; returns whether the answer is complete.
async fn decode(engine: &Engine, job: &Job, out: &Sender<sse::Event>) -> bool {
    for at in job.from..job.count {
        let faults = engine.lock().faults.clone();
        let micros = engine.speed.token_us + faults.slow_ms * 1_000;
        tokio::time::sleep(Duration::from_micros(micros)).await;
        if faults.stalled {
            out.closed().await;
            return false;
        }
        if faults.break_after.is_some_and(|n| at - job.from >= n) || is_cancelled(engine, job) {
            return false;
        }
        for event in events(engine, job, at) {
            if out.send(event).await.is_err() {
                return false;
            }
        }
        engine.lock().counts.tokens += 1;
    }
    let done = sse::Event::Data(sse::Data::new("[DONE]"));
    out.send(done).await.is_ok()
}

fn is_cancelled(engine: &Engine, job: &Job) -> bool {
    engine.lock().cancelled.contains(&job.attempt)
}

/// The events for a token: one, or what an active fault turns it into.
fn events(engine: &Engine, job: &Job, at: u32) -> Vec<sse::Event> {
    let mut state = engine.lock();
    let mut attempt = job.attempt.clone();
    if state.faults.swapped > 0 {
        state.faults.swapped -= 1;
        attempt = format!("{:032x}", 0xdead);
    }
    let mut copies = 1;
    if state.faults.doubled > 0 {
        state.faults.doubled -= 1;
        copies = 2;
    }
    drop(state);
    let data = sse::Data::new(chunk(job, at).to_string()).id(format!("{attempt}-{at}"));
    vec![sse::Event::Data(data); copies]
}

fn chunk(job: &Job, at: u32) -> Value {
    let text = word(&job.prompt, at);
    let finish = (at + 1 == job.count).then_some("length");
    let choice = if job.chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    };
    let object = if job.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    json!({"id": job.attempt, "object": object, "model": job.model, "choices": [choice]})
}
