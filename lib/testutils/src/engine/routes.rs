//! HTTP routes of an engine.

use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, Responder, web};
use actix_web_lab::sse;
use poplarvale_lib::protos::platform::EngineLoad;
use poplarvale_lib::routing::BLOCK_TOKENS;
use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::faults::Faults;
use super::state::{Engine, Order, Pace, State};
use super::stream::{Job, run};

/// Bytes of a block; engines and daemons agree on it.
const BLOCK_BYTES: usize = 256;
/// Tokens of an answer when the caller names no number.
const DEFAULT_TOKENS: u32 = 16;
/// Events that wait for a slow reader before the engine waits too.
const UNREAD: usize = 64;

impl Engine {
    /// Its HTTP routes.
    pub fn routes(&self, config: &mut web::ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(text))
            .route("/attempts/{attempt}", web::delete().to(cancel))
            .route("/load", web::get().to(load))
            .route("/counts", web::get().to(counts))
            .route("/cache/events", web::get().to(cache_events))
            .route("/kv/export", web::post().to(export))
            .route("/kv/import", web::post().to(import))
            .route("/orders", web::get().to(get_order))
            .route("/orders", web::post().to(put_order))
            .route("/faults", web::post().to(set_faults));
    }
}

async fn chat(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    complete(&engine, &request, &body, true)
}

async fn text(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    complete(&engine, &request, &body, false)
}

fn complete(engine: &Engine, request: &HttpRequest, body: &Value, chat: bool) -> HttpResponse {
    let status = engine.lock().faults.status;
    if let Some(status) = status.and_then(|s| StatusCode::from_u16(s).ok()) {
        return HttpResponse::build(status).json(json!({"error": "ordered"}));
    }
    let job = job(request, body, chat);
    let (out, events) = tokio::sync::mpsc::channel(UNREAD);
    actix_web::rt::spawn(run(engine.clone(), job, out));
    sse::Sse::from_infallible_receiver(events)
        .respond_to(request)
        .map_into_boxed_body()
}

fn job(request: &HttpRequest, body: &Value, chat: bool) -> Job {
    let prompt = &body[if chat { "messages" } else { "prompt" }];
    let prompt = prompt.to_string();
    let count = body["max_tokens"]
        .as_u64()
        .unwrap_or(u64::from(DEFAULT_TOKENS));
    Job {
        attempt: header(request, "x-attempt-id").unwrap_or_default(),
        chain: chain(prompt.as_bytes()),
        prompt,
        model: body["model"].as_str().unwrap_or_default().to_owned(),
        chat,
        from: number(request, "x-resume-from"),
        count: count as u32,
        priority: number(request, "x-priority") as u8,
    }
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn number(request: &HttpRequest, name: &str) -> u32 {
    header(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn chain(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    let mut chain = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        chain.push(hash);
    }
    chain
}

async fn cancel(engine: web::Data<Engine>, attempt: web::Path<String>) -> HttpResponse {
    engine.lock().cancelled.push(attempt.into_inner());
    HttpResponse::NoContent().finish()
}

/// Reports the load, as it was when the last report was due.
async fn load(engine: web::Data<Engine>) -> HttpResponse {
    let mut state = engine.lock();
    let now = Instant::now();
    if now >= state.report_due {
        state.reported = state.counts.clone();
        state.measured = now;
        state.report_due = now + Duration::from_millis(state.faults.lag_ms);
    }
    HttpResponse::Ok().json(report(&state, &engine.pace, now))
}

fn report(state: &State, pace: &Pace, now: Instant) -> EngineLoad {
    let token_us = pace.token_us + state.faults.slow_ms * 1_000;
    let age = now.duration_since(state.measured);
    EngineLoad {
        epoch: state.epoch,
        age_ms: age.as_millis() as u32,
        running: state.reported.running as u32,
        waiting: state.reported.waiting as u32,
        pending: state.reported.pending as u32,
        slots: pace.slots as u32,
        prefill: rate(u64::from(BLOCK_TOKENS), pace.block_us),
        decode: rate(1, token_us),
        export: pace.export,
    }
}

/// Amount a second of what takes some microseconds.
fn rate(amount: u64, micros: u64) -> u32 {
    (amount * 1_000_000 / micros.max(1)) as u32
}

async fn counts(engine: web::Data<Engine>) -> HttpResponse {
    let counts = engine.lock().counts.clone();
    HttpResponse::Ok().json(counts)
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn cache_events(engine: web::Data<Engine>, query: web::Query<After>) -> HttpResponse {
    let events = engine.lock().cache.events(query.after);
    HttpResponse::Ok().json(events)
}

/// Gives out which of the asked blocks are in memory.
async fn export(engine: web::Data<Engine>, blocks: web::Json<Vec<u64>>) -> HttpResponse {
    let hit = engine.lock().cache.hit(&blocks);
    HttpResponse::Ok().json(&blocks[..hit])
}

async fn import(engine: web::Data<Engine>, blocks: web::Json<Vec<u64>>) -> HttpResponse {
    if !engine.pace.import {
        return HttpResponse::InsufficientStorage().finish();
    }
    let mut state = engine.lock();
    let mut missing = state.faults.missing;
    state.cache.take_in(&blocks, &mut missing);
    state.faults.missing = missing;
    HttpResponse::NoContent().finish()
}

async fn get_order(engine: web::Data<Engine>) -> HttpResponse {
    let order = engine.lock().order.clone();
    HttpResponse::Ok().json(order)
}

async fn put_order(engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if engine.fences && order.fence < state.order.fence {
        return HttpResponse::Conflict().json(&state.order);
    }
    state.order = order.into_inner();
    HttpResponse::Ok().json(&state.order)
}

async fn set_faults(engine: web::Data<Engine>, faults: web::Json<Faults>) -> HttpResponse {
    engine.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}
